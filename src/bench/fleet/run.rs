//! A running fleet.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process as os;
use std::sync::atomic;
use std::time;

use crate::bench::fleet;
use crate::bench::fleet::host;
use crate::bench::fleet::layout;
use crate::bench::fleet::network;
use crate::bench::fleet::plan;
use crate::bench::fleet::process;
use crate::bench::fleet::publish;
use crate::bench::fleet::stat;
use crate::standin::http;
use crate::standin::upstream::record;

/// Port of the log stand-in.
const LOG_PORT: u16 = 7000;
/// Longest one request to a process of the fleet may take.
const LIMIT: time::Duration = time::Duration::from_secs(5);
/// Time between two looks at a state that is waited for.
const LOOK: time::Duration = time::Duration::from_millis(20);

/// Fleets started by this process, for the names of their directories.
static FLEETS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// A running fleet. Dropping it kills its processes and removes its directory.
#[derive(Debug)]
pub struct Fleet {
    plan: plan::Plan,
    hosts: Vec<host::Host>,
    log: Option<process::Process>,
    network: network::Network,
    dir: path::PathBuf,
}

impl Fleet {
    /// Starts what `plan` says and waits until the log answers and every node is ready. A
    /// configuration file of the plan is published in between.
    pub async fn start(plan: plan::Plan) -> Result<Self, fleet::Error> {
        let count = plan.process_count();
        if count > fleet::MOST {
            return Err(fleet::Error::TooMany(count));
        }
        let mut fleet = Self::prepare(plan)?;
        fleet.start_log()?;
        fleet.log_answers(fleet::PATIENCE).await?;
        if let Some(file) = fleet.plan.configuration.clone() {
            let done = fleet.publish(&file, 0, &[]).await?;
            if done.code != 0 {
                return Err(fleet::Error::Ended("dandelionspool publish".into(), done.stderr));
            }
        }
        for index in 0..fleet.hosts.len() {
            fleet.start_host(index)?;
        }
        fleet.ready(fleet::PATIENCE).await?;
        Ok(fleet)
    }

    fn prepare(plan: plan::Plan) -> Result<Self, fleet::Error> {
        let network = network::Network::claim()?;
        let number = FLEETS.fetch_add(1, atomic::Ordering::Relaxed);
        let dir = env::temp_dir().join(format!("dandelionspool-{}-{number}", os::id()));
        fs::create_dir_all(&dir).map_err(|e| fleet::Error::File(dir.clone(), e))?;
        let hosts = layout::hosts(&plan, &network);
        Ok(Self { plan, hosts, log: None, network, dir })
    }

    /// The hosts: first those of the groups in their order, then those without an upstream.
    pub fn hosts(&self) -> &[host::Host] {
        &self.hosts
    }

    /// Directory for further files of an experiment; it is removed with the fleet.
    pub fn dir(&self) -> &path::Path {
        &self.dir
    }

    /// Address of the log stand-in.
    pub fn log_addr(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.network.platform(0), LOG_PORT)
    }

    /// Sets the faults of the log stand-in, see `standin::log`; `{}` takes them back.
    pub async fn log_faults(&self, faults: &serde_json::Value) -> Result<(), fleet::Error> {
        self.post(self.log_addr(), "/faults", faults).await
    }

    /// Sets faults of the upstream of host `index`, or drains it, see `standin::upstream::faults`.
    pub async fn control(
        &self,
        index: usize,
        change: &serde_json::Value,
    ) -> Result<(), fleet::Error> {
        self.post(self.host(index)?.control_addr(), "/control", change).await
    }

    /// What the upstream of host `index` ran.
    pub async fn record(&self, index: usize) -> Result<record::Record, fleet::Error> {
        self.get(self.host(index)?.control_addr(), "/runs").await
    }

    /// What the node of host `index` says of itself and the mesh.
    pub async fn status(&self, index: usize) -> Result<serde_json::Value, fleet::Error> {
        self.get(self.host(index)?.id.admin_addr(), "/status").await
    }

    /// Publishes `file` on top of version `base` with the real program and `more` arguments.
    pub async fn publish(
        &self,
        file: &path::Path,
        base: u64,
        more: &[&str],
    ) -> Result<publish::Published, fleet::Error> {
        publish::publish(&self.plan.programs.node, self.log_addr(), file, base, more).await
    }

    /// Kills a process at once (SIGKILL).
    pub fn kill(&mut self, index: usize, part: fleet::Part) -> Result<(), fleet::Error> {
        let slot = self.slot(index, part)?;
        slot.take().map_or(Err(fleet::Error::NoProcess(index)), |mut process| process.kill())
    }

    /// Pauses a process (SIGSTOP).
    pub fn pause(&mut self, index: usize, part: fleet::Part) -> Result<(), fleet::Error> {
        self.signal(index, part, libc::SIGSTOP)
    }

    /// Resumes a paused process (SIGCONT).
    pub fn resume(&mut self, index: usize, part: fleet::Part) -> Result<(), fleet::Error> {
        self.signal(index, part, libc::SIGCONT)
    }

    /// Asks a process to end as planned (SIGTERM).
    pub fn terminate(&mut self, index: usize, part: fleet::Part) -> Result<(), fleet::Error> {
        self.signal(index, part, libc::SIGTERM)
    }

    /// Waits until a process that was asked to end has ended, and gives its exit code.
    pub async fn ended(
        &mut self,
        index: usize,
        part: fleet::Part,
        limit: time::Duration,
    ) -> Result<Option<i32>, fleet::Error> {
        let until = tokio::time::Instant::now() + limit;
        loop {
            let slot = self.slot(index, part)?;
            let process = slot.as_mut().ok_or(fleet::Error::NoProcess(index))?;
            if let Some(status) = process.ended()? {
                *slot = None;
                return Ok(status.code());
            }
            if tokio::time::Instant::now() > until {
                return Err(fleet::Error::Late(format!("end of host {index}: {part:?}")));
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Starts a process that was killed or has ended anew.
    pub fn restart(&mut self, index: usize, part: fleet::Part) -> Result<(), fleet::Error> {
        match part {
            fleet::Part::Node => self.start_node(index),
            fleet::Part::Upstream => self.start_upstream(index),
        }
    }

    /// Kills the log stand-in; what it kept is lost with it.
    pub fn kill_log(&mut self) {
        self.log = None;
    }

    /// Starts the log stand-in.
    pub fn start_log(&mut self) -> Result<(), fleet::Error> {
        let mut arguments =
            vec!["log".to_owned(), "--listen".to_owned(), self.log_addr().to_string()];
        arguments.extend(self.plan.log_arguments.iter().cloned());
        let started =
            process::Process::start("log", &self.plan.programs.bench, &arguments, &self.dir)?;
        self.log = Some(started);
        Ok(())
    }

    /// Adds a host without an upstream and starts its node; gives its index.
    pub fn add_host(&mut self) -> Result<usize, fleet::Error> {
        let count = self.plan.process_count() + 1;
        if count > fleet::MOST {
            return Err(fleet::Error::TooMany(count));
        }
        self.plan.plain += 1;
        let index = self.hosts.len();
        self.hosts.push(layout::place(&self.plan, &self.network, index));
        self.start_host(index)?;
        Ok(index)
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

    /// Waits until every node that runs is ready; an error when one has ended by itself.
    pub async fn ready(&mut self, limit: time::Duration) -> Result<(), fleet::Error> {
        let until = tokio::time::Instant::now() + limit;
        for index in 0..self.hosts.len() {
            self.ready_host(index, until).await?;
        }
        Ok(())
    }

    async fn ready_host(
        &mut self,
        index: usize,
        until: tokio::time::Instant,
    ) -> Result<(), fleet::Error> {
        loop {
            let host = &mut self.hosts[index];
            let Some(node) = &mut host.node else { return Ok(()) };
            node.running()?;
            let answer = http::get(host.id.admin_addr(), "/ready", LIMIT).await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            if tokio::time::Instant::now() > until {
                let what = format!("node of host {index} is not ready: {}", node.tail());
                return Err(fleet::Error::Late(what));
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Waits until the log stand-in takes connections.
    pub async fn log_answers(&mut self, limit: time::Duration) -> Result<(), fleet::Error> {
        let until = tokio::time::Instant::now() + limit;
        while tokio::net::TcpStream::connect(self.log_addr()).await.is_err() {
            if let Some(log) = &mut self.log {
                log.running()?;
            }
            if tokio::time::Instant::now() > until {
                return Err(fleet::Error::Late("the log does not answer".into()));
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// The end of what a process printed so far.
    pub fn tail(&mut self, index: usize, part: fleet::Part) -> Result<String, fleet::Error> {
        let process = self.slot(index, part)?.as_ref();
        process.map(process::Process::tail).ok_or(fleet::Error::NoProcess(index))
    }

    fn start_host(&mut self, index: usize) -> Result<(), fleet::Error> {
        if self.plan.nodes {
            self.start_node(index)?;
        }
        if self.host(index)?.group.is_some() {
            self.start_upstream(index)?;
        }
        Ok(())
    }

    fn start_node(&mut self, index: usize) -> Result<(), fleet::Error> {
        let host = self.host(index)?;
        let settings = layout::settings(&self.plan, &self.hosts, host, self.log_addr());
        let name = format!("node-{index}");
        let file = self.dir.join(format!("{name}.json"));
        let json = serde_json::to_vec_pretty(&settings)?;
        fs::write(&file, json).map_err(|e| fleet::Error::File(file.clone(), e))?;
        let arguments =
            ["node".to_owned(), "--settings".to_owned(), file.to_string_lossy().into_owned()];
        let node = process::Process::start(&name, &self.plan.programs.node, &arguments, &self.dir)?;
        self.hosts[index].node = Some(node);
        Ok(())
    }

    fn start_upstream(&mut self, index: usize) -> Result<(), fleet::Error> {
        let host = self.host(index)?;
        let group = host.group.as_ref().ok_or(fleet::Error::NoProcess(index))?;
        let arguments = layout::arguments(host, group, self.plan.nodes);
        let name = format!("upstream-{index}");
        let bench = &self.plan.programs.bench;
        let upstream = process::Process::start(&name, bench, &arguments, &self.dir)?;
        self.hosts[index].upstream = Some(upstream);
        Ok(())
    }

    fn host(&self, index: usize) -> Result<&host::Host, fleet::Error> {
        self.hosts.get(index).ok_or(fleet::Error::NoProcess(index))
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

    async fn post(
        &self,
        to: net::SocketAddr,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<(), fleet::Error> {
        let answer = http::json(to, ::http::Method::POST, path, body, LIMIT).await?;
        if answer.status().is_success() {
            return Ok(());
        }
        Err(fleet::Error::Status(to, answer.status()))
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        from: net::SocketAddr,
        path: &str,
    ) -> Result<T, fleet::Error> {
        let answer = http::get(from, path, LIMIT).await?;
        if !answer.status().is_success() {
            return Err(fleet::Error::Status(from, answer.status()));
        }
        Ok(serde_json::from_slice(answer.body())?)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.clear();
        self.log = None;
        let _removed = fs::remove_dir_all(&self.dir);
    }
}
