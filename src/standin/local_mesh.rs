//! A mesh of a few hosts in one process: log stand-in, nodes and upstream stand-ins on loopback.

use std::io;
use std::net;
use std::path;
use std::time;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::task;

use crate::configs;
use crate::context;
use crate::fold::id;
use crate::fold::outcomes;
use crate::fold::record;
use crate::fold::rules;
use crate::fold::submit;
use crate::host;
use crate::logs;
use crate::mesh;
use crate::mesh::fault;
use crate::node::duty;
use crate::node::ports;
use crate::node::shell;
use crate::ring;
use crate::standin;
use crate::version;

/// Time limit for publishing the configuration at the start.
const PUBLISH_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Maximum number of hosts in a node's join list.
const MAX_JOIN_HOSTS: usize = 3;

/// Capacity of the ring that carries the requests to stop a node.
const STOP_CAPACITY: usize = 2;

/// Name and key of the mesh. The key is not secret, as all nodes run in this process.
const MESH: &str = "local";
const KEY: &str = "a key for one process on loopback, of no secrecy";

/// Why a local mesh can't be started or has failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration file can't be read.
    #[error("can't read {0}")]
    File(path::PathBuf, #[source] io::Error),
    /// The configuration file is not valid.
    #[error("{0} is not valid:\n{1}")]
    Invalid(path::PathBuf, fault::Faults),
    /// The settings name something that the configuration does not have.
    #[error("the settings do not fit the configuration:\n{0}")]
    Mismatch(fault::Faults),
    /// An address can't be bound.
    #[error("can't listen on {0}")]
    Listen(net::SocketAddr, #[source] io::Error),
    /// The configuration can't be published.
    #[error("can't publish the configuration")]
    Publish(#[from] submit::Error<logs::http::Error>),
    /// The log refused the configuration, because it already holds another one.
    #[error("the configuration was refused: {0:?}")]
    Refused(outcomes::Outcome),
    /// A node can't be started or failed.
    #[error("node {0} failed")]
    Node(host::HostId, #[source] duty::Error),
}

/// A running local mesh.
#[derive(Debug)]
pub struct LocalMesh {
    /// Address of the log stand-in.
    pub log: net::SocketAddr,
    /// The version published at the start.
    pub version: version::Version,
    /// The hosts, each with a node and an upstream.
    pub hosts: Vec<configs::local::Host>,
    stop: watch::Sender<bool>,
    nodes: Vec<(host::HostId, ring::Sender<shell::Stop>, Running)>,
    upstreams: Vec<task::JoinHandle<()>>,
    _server: standin::log::Server,
}

type Running = task::JoinHandle<Result<(), duty::Error>>;

impl LocalMesh {
    /// Starts everything that `settings` describe; `base` is the folder of the settings file.
    pub async fn start(settings: configs::local::Local, base: &path::Path) -> Result<Self, Error> {
        let file = base.join(&settings.configuration);
        let body = std::fs::read(&file).map_err(|e| Error::File(file.clone(), e))?;
        let mesh = mesh::check::check(&body).map_err(|f| Error::Invalid(file, f))?;
        let hosts = settings.hosts(&mesh).map_err(Error::Mismatch)?;
        let server = serve_log(&settings.log).await?;
        let version = publish(server.address(), body.into()).await?;
        let mut local = Self {
            log: server.address(),
            version,
            hosts,
            stop: watch::Sender::new(false),
            nodes: Vec::new(),
            upstreams: Vec::new(),
            _server: server,
        };
        for index in 0..local.hosts.len() {
            local.start_host(&settings, &mesh, index).await?;
        }
        Ok(local)
    }

    /// Runs until `asked` is ready or a node ends, then stops everything gracefully.
    pub async fn run(mut self, asked: impl Future<Output = ()>) -> Result<(), Error> {
        tokio::select! {
            () = asked => {}
            () = any_node_ended(&mut self.nodes) => {}
        }
        self.stop.send_replace(true);
        for upstream in self.upstreams {
            // An error means that the stand-in panicked; nothing is left to stop.
            let _ = upstream.await;
        }
        let mut result = Ok(());
        for (_, stop, _) in &self.nodes {
            // The ring refuses the request when the node has already ended.
            let _ = stop.offer(shell::Stop);
        }
        for (id, _, running) in self.nodes {
            let ended = running.await.unwrap_or(Err(duty::Error::Panicked { name: "node" }));
            result = result.and(ended.map_err(|e| Error::Node(id, e)));
        }
        result
    }

    async fn start_host(
        &mut self,
        settings: &configs::local::Local,
        mesh: &mesh::Mesh,
        index: usize,
    ) -> Result<(), Error> {
        let host = self.hosts[index].clone();
        let id = host::HostId::new(host.listen);
        let context = context::Context::system();
        let node = shell::Node::start(context, self.node_settings(settings, index), ports::Builtin);
        let node = node.map_err(|e| Error::Node(id, e))?;
        let (stop, stops) = ring::bounded(STOP_CAPACITY);
        self.nodes.push((id, stop, tokio::spawn(node.run(stops))));
        let options = options(settings, mesh, &host, index);
        let upstream = standin::upstream::Server::bind(options).await;
        let upstream = upstream.map_err(|e| Error::Listen(host.upstream, e))?;
        let mut stop = self.stop.subscribe();
        self.upstreams.push(tokio::spawn(upstream.serve(async move {
            // A dropped sender also stops the upstream.
            let _ = stop.wait_for(|stop| *stop).await;
        })));
        Ok(())
    }

    fn node_settings(&self, settings: &configs::local::Local, index: usize) -> configs::Node {
        let host = &self.hosts[index];
        let joins = self.hosts.iter().filter(|other| other.listen != host.listen);
        configs::Node {
            mesh: MESH.into(),
            key: KEY.into(),
            listen: host.listen,
            region: settings.region.clone(),
            zone: host.zone.clone(),
            join: joins.map(|other| other.listen).take(MAX_JOIN_HOSTS).collect(),
            log: configs::log::Log { address: self.log, ..settings.node.log.clone() },
            ..settings.node.clone()
        }
    }
}

async fn any_node_ended(nodes: &mut [(host::HostId, ring::Sender<shell::Stop>, Running)]) {
    const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
    while !nodes.iter().any(|(_, _, running)| running.is_finished()) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn serve_log(settings: &configs::local::Log) -> Result<standin::log::Server, Error> {
    let defaults = standin::log::Options::default();
    let age = time::Duration::from_secs(settings.retention_s);
    let retention = standin::log::store::Retention { age, ..defaults.retention };
    let options = standin::log::Options { retention, rate: settings.appends, ..defaults };
    let server = standin::log::Server::bind(settings.address, options).await;
    server.map_err(|e| Error::Listen(settings.address, e))
}

async fn publish(log: net::SocketAddr, body: Bytes) -> Result<version::Version, Error> {
    let settings = configs::log::Log { address: log, ..configs::log::Log::default() };
    let client = logs::http::Client::new(&settings, Default::default());
    let seed = context::Context::system().seed_for("publish");
    let base = version::Version::NONE;
    let id = id::PublishId::derive(base, &body);
    let publish = record::Publish { format: rules::NEWEST_FORMAT, base, id, body };
    let submitter = submit::Submitter::new(client, rules::Builtin, PUBLISH_TIMEOUT, seed);
    let answer = submitter.submit(publish).await?;
    match answer.outcome {
        outcomes::Outcome::Accepted(version_id) => Ok(version_id.version),
        other => Err(Error::Refused(other)),
    }
}

fn options(
    settings: &configs::local::Local,
    mesh: &mesh::Mesh,
    host: &configs::local::Host,
    index: usize,
) -> standin::upstream::Options {
    let class = mesh.class(host.key);
    let service = &mesh.service(class.service).name;
    let options = standin::upstream::Options::new(host.upstream, service)
        .class(&class.name)
        .slots(class.slots)
        .connections(class.connections)
        .admin(host::HostId::new(host.listen).admin_addr())
        .seed(index as u64);
    let Some(group) = settings.upstreams.get(&host.class) else {
        return options;
    };
    let options = options
        .cold(time::Duration::from_millis(group.cold_ms))
        .grace(time::Duration::from_millis(group.grace_ms))
        .mean(time::Duration::from_millis(group.mean_ms));
    group.means_ms.iter().fold(options, |options, (path, millis)| {
        options.mean_of(path, time::Duration::from_millis(*millis))
    })
}
