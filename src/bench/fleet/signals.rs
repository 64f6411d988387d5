//! Signals to the processes of a fleet, their exits and their use of resources.

use std::time;

use crate::bench::fleet;
use crate::bench::fleet::process;
use crate::bench::fleet::run;
use crate::bench::fleet::stat;

impl run::Fleet {
    /// Kills a process at once (SIGKILL).
    pub fn kill(&mut self, index: usize, part: fleet::Part) -> Result<(), fleet::Error> {
        let slot = self.slot(index, part)?;
        slot.take().map_or(Err(fleet::Error::NoProcess(index)), |mut process| process.kill())
    }

    /// Pauses a process (SIGSTOP), and returns once it has stopped.
    pub fn pause(&mut self, index: usize, part: fleet::Part) -> Result<(), fleet::Error> {
        self.slot(index, part)?.as_mut().ok_or(fleet::Error::NoProcess(index))?.pause()
    }

    /// Resumes a paused process (SIGCONT).
    pub fn resume(&mut self, index: usize, part: fleet::Part) -> Result<(), fleet::Error> {
        self.signal(index, part, libc::SIGCONT)
    }

    /// Asks a process to exit gracefully (SIGTERM).
    pub fn terminate(&mut self, index: usize, part: fleet::Part) -> Result<(), fleet::Error> {
        self.signal(index, part, libc::SIGTERM)
    }

    /// Waits until a process has exited and returns its exit code; `None` if a signal ended it.
    pub async fn wait_exit(
        &mut self,
        index: usize,
        part: fleet::Part,
        limit: time::Duration,
    ) -> Result<Option<i32>, fleet::Error> {
        let until = tokio::time::Instant::now() + limit;
        loop {
            let slot = self.slot(index, part)?;
            let process = slot.as_mut().ok_or(fleet::Error::NoProcess(index))?;
            if let Some(status) = process.exit_status()? {
                *slot = None;
                return Ok(status.code());
            }
            if tokio::time::Instant::now() > until {
                return Err(fleet::Error::Late(format!("exit of host {index}: {part:?}")));
            }
            tokio::time::sleep(run::POLL_INTERVAL).await;
        }
    }

    /// Whether a process has exited, other than by [`run::Fleet::kill`].
    pub fn has_exited(&mut self, index: usize, part: fleet::Part) -> Result<bool, fleet::Error> {
        let process = self.slot(index, part)?.as_mut().ok_or(fleet::Error::NoProcess(index))?;
        Ok(process.exit_status()?.is_some())
    }

    /// Starts a process again that was killed or has exited.
    pub fn restart(&mut self, index: usize, part: fleet::Part) -> Result<(), fleet::Error> {
        match part {
            fleet::Part::Node => self.start_node(index),
            fleet::Part::Upstream => self.start_upstream(index),
        }
    }

    /// Processor time and memory of a process.
    pub fn stat(&self, index: usize, part: fleet::Part) -> Result<stat::Stat, fleet::Error> {
        let host = self.host(index)?;
        let pid = match part {
            fleet::Part::Node => host.node_pid(),
            fleet::Part::Upstream => host.upstream_pid(),
        };
        let pid = pid.ok_or(fleet::Error::NoProcess(index))?;
        stat::Stat::read(pid).map_err(|e| fleet::Error::Process(format!("process {pid}"), e))
    }

    /// The last part of a process's output so far.
    pub fn tail(&mut self, index: usize, part: fleet::Part) -> Result<String, fleet::Error> {
        let process = self.slot(index, part)?.as_ref();
        process.map(process::Process::tail).ok_or(fleet::Error::NoProcess(index))
    }

    fn slot(
        &mut self,
        index: usize,
        part: fleet::Part,
    ) -> Result<&mut Option<process::Process>, fleet::Error> {
        let host = self.hosts.get_mut(index).ok_or(fleet::Error::NoProcess(index))?;
        Ok(match part {
            fleet::Part::Node => &mut host.node,
            fleet::Part::Upstream => &mut host.upstream,
        })
    }

    fn signal(
        &mut self,
        index: usize,
        part: fleet::Part,
        signal: libc::c_int,
    ) -> Result<(), fleet::Error> {
        let process = self.slot(index, part)?.as_mut();
        process.ok_or(fleet::Error::NoProcess(index))?.signal(signal)
    }
}
