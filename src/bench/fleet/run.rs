//! A running fleet: start, requests to its processes, and waits for their states.

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
use crate::standin::fault::rules;
use crate::standin::http;
use crate::standin::upstream::record;

/// Port of the log stand-in.
const LOG_PORT: u16 = 7000;
/// Control port of the fault proxy.
const FAULT_PORT: u16 = 7001;
/// Indices for `Network::platform`: the log, the address of the log at the fault proxy, the proxy.
const LOG: u8 = 0;
const PROXIED_LOG: u8 = 1;
const FAULTS: u8 = 2;
/// Time limit of one request to a process of the fleet.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time between two checks of a state that is waited for.
pub(super) const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Number of fleets started by this process, for the names of their directories.
static FLEET_COUNT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// A running fleet. Dropping it kills its processes and removes its directory.
#[derive(Debug)]
pub struct Fleet {
    plan: plan::Plan,
    pub(super) hosts: Vec<host::Host>,
    log: Option<process::Process>,
    faults: Option<process::Process>,
    network: network::Network,
    dir: path::PathBuf,
}

impl Fleet {
    /// Starts the processes of `plan` and waits until the log responds and every node is ready. If
    /// the plan has a configuration, it is published before the nodes start.
    pub async fn start(plan: plan::Plan) -> Result<Self, fleet::Error> {
        let count = plan.process_count();
        if count > fleet::MAX_PROCESSES {
            return Err(fleet::Error::TooMany(count));
        }
        let mut fleet = Self::prepare(plan)?;
        fleet.start_log()?;
        fleet.wait_listening(fleet.log_addr(), fleet::READY_TIMEOUT).await?;
        if fleet.plan.faults {
            fleet.start_faults()?;
            fleet.wait_listening(fleet.fault_addr(), fleet::READY_TIMEOUT).await?;
        }
        if let Some(file) = fleet.plan.configuration.clone() {
            let done = fleet.publish(&file, 0, &[]).await?;
            if done.code != 0 {
                return Err(fleet::Error::Ended("dandelionspool publish".into(), done.stderr));
            }
        }
        for index in 0..fleet.hosts.len() {
            fleet.start_host(index)?;
        }
        fleet.wait_ready(fleet::READY_TIMEOUT).await?;
        Ok(fleet)
    }

    fn prepare(plan: plan::Plan) -> Result<Self, fleet::Error> {
        let network = network::Network::claim()?;
        let number = FLEET_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        let dir = env::temp_dir().join(format!("dandelionspool-{}-{number}", os::id()));
        fs::create_dir_all(&dir).map_err(|e| fleet::Error::File(dir.clone(), e))?;
        let hosts = layout::hosts(&plan, &network);
        Ok(Self { plan, hosts, log: None, faults: None, network, dir })
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
        net::SocketAddr::new(self.network.platform(LOG), LOG_PORT)
    }

    /// Address by which nodes know the log: that of the fault proxy if there is one.
    pub fn known_log_addr(&self) -> net::SocketAddr {
        let index = if self.plan.faults { PROXIED_LOG } else { LOG };
        net::SocketAddr::new(self.network.platform(index), LOG_PORT)
    }

    /// Address of the control port of the fault proxy.
    pub fn fault_addr(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.network.platform(FAULTS), FAULT_PORT)
    }

    /// Replaces the rules of the fault proxy.
    pub async fn rules(&self, rules: &[rules::Rule]) -> Result<(), fleet::Error> {
        self.post(self.fault_addr(), "/rules", &serde_json::to_value(rules)?).await
    }

    /// Counters of the fault proxy, see `standin::fault`.
    pub async fn fault_counts(&self) -> Result<serde_json::Value, fleet::Error> {
        self.get(self.fault_addr(), "/counts").await
    }

    /// Sets the faults of the log stand-in, see `standin::log`; `{}` ends them.
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

    /// The record of the calls that the upstream of host `index` ran.
    pub async fn record(&self, index: usize) -> Result<record::Record, fleet::Error> {
        self.get(self.host(index)?.control_addr(), "/runs").await
    }

    /// Status of the node of host `index`.
    pub async fn status(&self, index: usize) -> Result<serde_json::Value, fleet::Error> {
        self.get(self.host(index)?.bound.admin_addr(), "/status").await
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

    /// Kills the log stand-in, which loses its records.
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

    fn start_faults(&mut self) -> Result<(), fleet::Error> {
        let log = (self.known_log_addr(), self.log_addr());
        let arguments = layout::fault_arguments(self.fault_addr(), &self.hosts, log);
        let bench = &self.plan.programs.bench;
        let faults = process::Process::start("fault", bench, &arguments, &self.dir)?;
        self.faults = Some(faults);
        Ok(())
    }

    /// Adds a host without an upstream, starts its node and returns its index.
    pub fn add_host(&mut self) -> Result<usize, fleet::Error> {
        let count = self.plan.process_count() + 1;
        if count > fleet::MAX_PROCESSES {
            return Err(fleet::Error::TooMany(count));
        }
        self.plan.plain += 1;
        let index = self.hosts.len();
        let mut host = layout::new_host(&self.plan, &self.network, index);
        // The proxy's list of hosts is fixed at its start.
        host.bound = host.id;
        self.hosts.push(host);
        self.start_host(index)?;
        Ok(index)
    }

    /// Waits until every node that runs is ready; fails if one has exited.
    pub async fn wait_ready(&mut self, limit: time::Duration) -> Result<(), fleet::Error> {
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
            node.check_running()?;
            let answer = http::get(host.bound.admin_addr(), "/ready", REQUEST_TIMEOUT).await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            if tokio::time::Instant::now() > until {
                let what = format!("node of host {index} is not ready: {}", node.tail());
                return Err(fleet::Error::Late(what));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the log stand-in or fault proxy accepts connections at `address`.
    pub async fn wait_listening(
        &mut self,
        address: net::SocketAddr,
        limit: time::Duration,
    ) -> Result<(), fleet::Error> {
        let until = tokio::time::Instant::now() + limit;
        while tokio::net::TcpStream::connect(address).await.is_err() {
            for process in self.log.iter_mut().chain(&mut self.faults) {
                process.check_running()?;
            }
            if tokio::time::Instant::now() > until {
                return Err(fleet::Error::Late(format!("nothing listens at {address}")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
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

    pub(super) fn start_node(&mut self, index: usize) -> Result<(), fleet::Error> {
        let host = self.host(index)?;
        let settings = layout::settings(&self.plan, &self.hosts, host, self.known_log_addr());
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

    pub(super) fn start_upstream(&mut self, index: usize) -> Result<(), fleet::Error> {
        let host = self.host(index)?;
        let group = host.group.as_ref().ok_or(fleet::Error::NoProcess(index))?;
        let arguments = layout::arguments(host, group, self.plan.nodes);
        let name = format!("upstream-{index}");
        let bench = &self.plan.programs.bench;
        let upstream = process::Process::start(&name, bench, &arguments, &self.dir)?;
        self.hosts[index].upstream = Some(upstream);
        Ok(())
    }

    pub(super) fn host(&self, index: usize) -> Result<&host::Host, fleet::Error> {
        self.hosts.get(index).ok_or(fleet::Error::NoProcess(index))
    }

    async fn post(
        &self,
        to: net::SocketAddr,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<(), fleet::Error> {
        let answer = http::json(to, ::http::Method::POST, path, body, REQUEST_TIMEOUT).await?;
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
        let answer = http::get(from, path, REQUEST_TIMEOUT).await?;
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
        self.faults = None;
        let _removed = fs::remove_dir_all(&self.dir);
    }
}
