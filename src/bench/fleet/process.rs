//! One child process: start, signals, exit.

use std::fs;
use std::io;
use std::os::unix::process::CommandExt;
use std::path;
use std::process;
use std::thread;
use std::time;

use crate::bench::fleet;
use crate::bench::fleet::stat;

/// Size of the last part of the output that is shown when a process exited unexpectedly.
const TAIL_BYTES: usize = 2000;

/// Maximum time that a process may take to stop.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Time between two looks at whether it has stopped.
const STOP_POLL_INTERVAL: time::Duration = time::Duration::from_millis(1);

/// A process started by a fleet. It is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    output: path::PathBuf,
    child: process::Child,
}

impl Process {
    /// Starts `program` with `arguments`; its output is appended to `dir/NAME.out`.
    pub fn start(
        name: &str,
        program: &path::Path,
        arguments: &[String],
        dir: &path::Path,
    ) -> Result<Self, fleet::Error> {
        let output = dir.join(format!("{name}.out"));
        let failed = |e| fleet::Error::File(output.clone(), e);
        let file = fs::OpenOptions::new().append(true).create(true).open(&output);
        let file = file.map_err(failed)?;
        let other = file.try_clone().map_err(failed)?;
        let mut command = process::Command::new(program);
        command.args(arguments).stdin(process::Stdio::null()).stdout(file).stderr(other);
        end_with_parent(&mut command);
        let child = command.spawn().map_err(|e| fleet::Error::File(program.to_owned(), e))?;
        Ok(Self { name: name.to_owned(), output, child })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal`; fails if the process has exited.
    pub fn signal(&mut self, signal: libc::c_int) -> Result<(), fleet::Error> {
        self.check_running()?;
        let pid = libc::pid_t::try_from(self.child.id()).unwrap_or(libc::pid_t::MAX);
        // SAFETY: kill takes two integers. The child has not been waited for (see `check_running`),
        // so its id is not another process's.
        let done = unsafe { libc::kill(pid, signal) };
        if done == 0 {
            return Ok(());
        }
        Err(fleet::Error::Process(self.name.clone(), io::Error::last_os_error()))
    }

    /// Sends SIGSTOP and waits until all threads have stopped: on a busy machine, some of them run on
    /// for a while.
    pub fn pause(&mut self) -> Result<(), fleet::Error> {
        self.signal(libc::SIGSTOP)?;
        let limit = time::Instant::now() + STOP_TIMEOUT;
        loop {
            let stopped = stat::is_stopped(self.id());
            if stopped.map_err(|e| fleet::Error::Process(self.name.clone(), e))? {
                return Ok(());
            }
            if time::Instant::now() > limit {
                return Err(fleet::Error::Late(format!("stop of {}", self.name)));
            }
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    /// Kills it and waits until it has exited.
    pub fn kill(&mut self) -> Result<(), fleet::Error> {
        let done = self.child.kill().and_then(|()| self.child.wait());
        done.map(drop).map_err(|e| fleet::Error::Process(self.name.clone(), e))
    }

    /// Its exit status; `None` while it runs.
    pub fn exit_status(&mut self) -> Result<Option<process::ExitStatus>, fleet::Error> {
        self.child.try_wait().map_err(|e| fleet::Error::Process(self.name.clone(), e))
    }

    /// Fails with the last part of its output if it has exited.
    pub fn check_running(&mut self) -> Result<(), fleet::Error> {
        match self.exit_status()? {
            None => Ok(()),
            Some(status) => {
                let what = format!("{status}: {}", self.tail());
                Err(fleet::Error::Ended(self.name.clone(), what))
            }
        }
    }

    /// The last part of its output.
    pub fn tail(&self) -> String {
        let bytes = fs::read(&self.output).unwrap_or_default();
        let from = bytes.len().saturating_sub(TAIL_BYTES);
        String::from_utf8_lossy(&bytes[from..]).into_owned()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _exited = self.kill();
    }
}

/// Makes the kernel kill the child when the thread that started it ends, because nothing is dropped
/// when this process is killed. A fleet must therefore be started by a thread that outlives it.
fn end_with_parent(command: &mut process::Command) {
    let before = || {
        // SAFETY: prctl with these two integers only changes an attribute of the calling process.
        let done = unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) };
        if done == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
    };
    // SAFETY: the closure makes one system call and allocates nothing.
    unsafe { command.pre_exec(before) };
}
