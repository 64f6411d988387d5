//! A soak that is terminated ends every process that it started.

use std::fs;
use std::process;
use std::thread;
use std::time;

/// Number of processes in the fleet of a round: log, fault proxy, and two for each host.
const FLEET_PROCESSES: usize = 12;

const TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Ids of the processes whose parent is `parent`.
fn children(parent: u32) -> Vec<u32> {
    let entries = fs::read_dir("/proc").expect("/proc can be listed");
    let ids = entries.flatten().filter_map(|e| e.file_name().to_str()?.parse().ok());
    ids.filter(|id| parent_of(*id) == Some(parent)).collect()
}

fn parent_of(id: u32) -> Option<u32> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The second field, the name in parentheses, may contain spaces.
    stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse().ok()
}

fn wait_until(what: &str, done: impl Fn() -> bool) {
    let deadline = time::Instant::now() + TIMEOUT;
    while !done() {
        assert!(time::Instant::now() < deadline, "{what}: did not happen within {TIMEOUT:?}");
        thread::sleep(time::Duration::from_millis(50));
    }
}

#[test]
fn a_terminated_soak_leaves_no_process() {
    let mut soak = process::Command::new(env!("CARGO_BIN_EXE_dandelionspool-soak"))
        .args(["--seconds", "60"])
        .stdout(process::Stdio::null())
        .stderr(process::Stdio::null())
        .spawn()
        .expect("the soak starts");
    wait_until("start of the whole fleet", || children(soak.id()).len() == FLEET_PROCESSES);
    let fleet = children(soak.id());
    let id = libc::pid_t::try_from(soak.id()).expect("a process id fits pid_t");
    // SAFETY: kill takes two integers; the child has not been waited for, so the id is its own.
    assert_eq!(unsafe { libc::kill(id, libc::SIGTERM) }, 0);
    assert_eq!(soak.wait().expect("the soak ends").code(), Some(2));
    let ended = |id: &u32| !fs::exists(format!("/proc/{id}/exe")).unwrap_or_default();
    wait_until("end of its processes", || fleet.iter().all(ended));
}
