//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::io;
use std::time;

/// Clock ticks per second in `/proc`, the same on every Linux that Rust supports.
const TICKS_PER_SECOND: u64 = 100;
/// Index of the user time among the fields after the process name in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;

/// Resources that a process has used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stat {
    /// Processor time, user and system, in steps of 10 ms.
    pub cpu: time::Duration,
    /// Resident memory, in bytes.
    pub rss: u64,
    /// Largest resident memory so far, in bytes.
    pub peak: u64,
}

impl Stat {
    /// Reads what the process `pid` has used so far.
    pub fn read(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let ticks = ticks(&stat).ok_or(io::ErrorKind::InvalidData)?;
        let cpu = time::Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND);
        Ok(Self { cpu, rss: bytes_of(&status, "VmRSS:"), peak: bytes_of(&status, "VmHWM:") })
    }
}

/// Whether all threads of the process `pid` are stopped by a signal.
///
/// # Errors
///
/// The process does not exist.
pub fn is_stopped(pid: u32) -> io::Result<bool> {
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        // A thread that has just ended can't be read.
        let stat = fs::read_to_string(thread?.path().join("stat")).unwrap_or_default();
        if stat.rsplit_once(") ").is_some_and(|(_, fields)| !fields.starts_with('T')) {
            return Ok(false);
        }
    }
    Ok(true)
}

fn ticks(stat: &str) -> Option<u64> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut times = fields.split(' ').skip(USER_TIME_FIELD).map(str::parse::<u64>);
    Some(times.next()?.ok()? + times.next()?.ok()?)
}

/// The value of the line `name` of `/proc/PID/status`, in bytes; 0 when there is none.
fn bytes_of(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * 1024
}
