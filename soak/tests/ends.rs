//! The soak takes every process that it started along when it is ended.

use std::fs;
use std::process;
use std::thread;
use std::time;

/// Processes of the fleet of a round: log, fault proxy, and two for each host.
const FLEET: usize = 12;

const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// Ids of the processes whose parent is `parent`.
fn children(parent: u32) -> Vec<u32> {
    let entries = fs::read_dir("/proc").expect("processes are listed");
    let ids = entries.flatten().filter_map(|e| e.file_name().to_str()?.parse().ok());
    ids.filter(|id| parent_of(*id) == Some(parent)).collect()
}

fn parent_of(id: u32) -> Option<u32> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name stands in parentheses and may hold spaces.
    stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse().ok()
}

fn until(what: &str, done: impl Fn() -> bool) {
    let limit = time::Instant::now() + PATIENCE;
    while !done() {
        assert!(time::Instant::now() < limit, "{what}: not within {PATIENCE:?}");
        thread::sleep(time::Duration::from_millis(50));
    }
}

#[test]
fn a_soak_that_is_ended_leaves_no_process() {
    let mut soak = process::Command::new(env!("CARGO_BIN_EXE_dandelionspool-soak"))
        .args(["--seconds", "60"])
        .stdout(process::Stdio::null())
        .stderr(process::Stdio::null())
        .spawn()
        .expect("the soak starts");
    until("a whole fleet", || children(soak.id()).len() == FLEET);
    let fleet = children(soak.id());
    let id = libc::pid_t::try_from(soak.id()).expect("an id is a pid");
    // SAFETY: kill takes two integers; the child has not been waited for, so the id is its own.
    assert_eq!(unsafe { libc::kill(id, libc::SIGTERM) }, 0);
    assert_eq!(soak.wait().expect("it ends").code(), Some(2));
    let gone = |id: &u32| !fs::exists(format!("/proc/{id}/exe")).unwrap_or_default();
    until("its processes end", || fleet.iter().all(gone));
}
