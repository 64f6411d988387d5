//! Binds the proxy's ports and runs its forwarders.

use std::collections;
use std::future;
use std::net;
use std::sync::Arc;

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task;

use crate::host;
use crate::standin::accept;
use crate::standin::fault;
use crate::standin::fault::control;
use crate::standin::fault::rules;
use crate::standin::fault::tcp;
use crate::standin::fault::udp;

/// The hosts and links behind the proxy, built by chained setters.
#[derive(Clone, Debug)]
pub struct Options {
    control: net::SocketAddr,
    hosts: Vec<(net::SocketAddr, net::SocketAddr)>,
    links: Vec<(net::SocketAddr, net::SocketAddr)>,
    seed: u64,
}

impl Options {
    /// A proxy without hosts and links, with its control port at `control`.
    pub fn new(control: net::SocketAddr) -> Self {
        Self { control, hosts: Vec::new(), links: Vec::new(), seed: 0 }
    }

    /// Adds a host known by the base address `known`, whose node binds the base address `bound`.
    /// All its ports are forwarded, TCP and UDP.
    pub fn host(mut self, known: net::SocketAddr, bound: net::SocketAddr) -> Self {
        self.hosts.push((known, bound));
        self
    }

    /// Adds a link that forwards TCP connections from `listen` to `target`.
    pub fn link(mut self, listen: net::SocketAddr, target: net::SocketAddr) -> Self {
        self.links.push((listen, target));
        self
    }

    /// Seed of random losses, duplicates and delays.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// A proxy that is bound to all its ports and waits for [`Server::serve`].
#[derive(Debug)]
pub struct Server {
    control: TcpListener,
    links: Vec<(TcpListener, net::SocketAddr, rules::Route)>,
    ports: Vec<Arc<udp::Port>>,
    seed: u64,
}

impl Server {
    /// Binds all ports.
    pub async fn bind(options: Options) -> Result<Self, fault::Error> {
        let control = listen(options.control).await?;
        let mut links = Vec::new();
        for (known, target) in &options.links {
            let route = rules::Route { from: None, to: *known, port: 0 };
            links.push((listen(*known).await?, *target, route));
        }
        let mut ports = Vec::new();
        for number in 0..host::PORT_COUNT {
            for (known, bound) in &options.hosts {
                let route = rules::Route { from: None, to: *known, port: number };
                links.push((listen(port(*known, number)).await?, port(*bound, number), route));
            }
            ports.push(Arc::new(bind_datagrams(&options, number).await?));
        }
        Ok(Self { control, links, ports, seed: options.seed })
    }

    /// Address of the control port.
    pub fn control_address(&self) -> std::io::Result<net::SocketAddr> {
        self.control.local_addr()
    }

    /// Forwards until `stop` is ready.
    pub async fn serve(self, stop: impl future::Future<Output = ()>) {
        let control = control::Control { rules: watch::Sender::default(), counts: Arc::default() };
        let mut tasks = task::JoinSet::new();
        for (listener, target, route) in self.links {
            let (rules, counts) = (control.rules.subscribe(), Arc::clone(&control.counts));
            tasks.spawn(tcp::serve(listener, target, route, rules, counts));
        }
        let mut seed = self.seed;
        for port in self.ports {
            for bound in port.hosts.keys().copied().collect::<Vec<_>>() {
                let (rules, counts) = (control.rules.subscribe(), Arc::clone(&control.counts));
                tasks.spawn(udp::serve(Arc::clone(&port), bound, rules, counts, seed));
                seed = seed.wrapping_add(1);
            }
        }
        let (_closed, closing) = watch::channel(false);
        let answer = move |request| control::serve(control.clone(), request);
        tasks.spawn(accept::serve(self.control, closing, || Some(()), answer));
        stop.await;
    }
}

async fn listen(address: net::SocketAddr) -> Result<TcpListener, fault::Error> {
    TcpListener::bind(address).await.map_err(|e| fault::Error::Bind(address, e))
}

async fn socket(address: net::SocketAddr) -> Result<Arc<UdpSocket>, fault::Error> {
    let bound = UdpSocket::bind(address).await;
    bound.map(Arc::new).map_err(|e| fault::Error::Bind(address, e))
}

/// Binds the UDP port `number` of every host, and a socket that sends for unknown senders.
async fn bind_datagrams(options: &Options, number: u16) -> Result<udp::Port, fault::Error> {
    let mut hosts = collections::HashMap::new();
    for (known, bound) in &options.hosts {
        let socket = socket(port(*known, number)).await?;
        hosts.insert(port(*bound, number), udp::Host { base: *known, socket });
    }
    let any = net::SocketAddr::new(options.control.ip(), 0);
    Ok(udp::Port { number, hosts, unknown_sender: socket(any).await? })
}

fn port(base: net::SocketAddr, number: u16) -> net::SocketAddr {
    net::SocketAddr::new(base.ip(), base.port().wrapping_add(number))
}
