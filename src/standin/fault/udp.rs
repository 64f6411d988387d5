//! Forwards UDP datagrams with the faults of their route.

use std::collections;
use std::net;
use std::sync::Arc;
use std::time;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;

use crate::standin::fault::live;
use crate::standin::fault::rules;

/// Size of the receive buffer, which holds the largest UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// The sockets of one port of every host.
#[derive(Debug)]
pub struct Port {
    /// The port as an offset from the base port.
    pub number: u16,
    /// The hosts by the address that their node binds for this port.
    pub hosts: collections::HashMap<net::SocketAddr, Host>,
    /// Sends on datagrams whose sender is not a host of the mesh.
    pub unknown_sender: Arc<UdpSocket>,
}

/// One host on one port.
#[derive(Clone, Debug)]
pub struct Host {
    /// Base address by which other hosts know it.
    pub base: net::SocketAddr,
    /// Bound to the address by which other hosts know this port of it.
    pub socket: Arc<UdpSocket>,
}

/// Forwards datagrams to the host whose node binds `bound`; never returns.
pub async fn serve(
    port: Arc<Port>,
    bound: net::SocketAddr,
    rules: live::Rules,
    counts: Arc<live::Counts>,
    seed: u64,
) {
    let Some(own) = port.hosts.get(&bound).cloned() else { return };
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error reports that an earlier datagram reached a closed port (ICMP).
        let Ok((size, source)) = own.socket.recv_from(&mut buffer).await else { continue };
        let sender = port.hosts.get(&source);
        let route = rules::Route { from: sender.map(|s| s.base), to: own.base, port: port.number };
        let copies = rules::faults(&rules.borrow(), route).copies(&mut rng);
        count(&counts, copies.len());
        let socket = sender.map_or(&port.unknown_sender, |s| &s.socket);
        for delay in copies {
            send(socket, &buffer[..size], bound, delay).await;
        }
    }
}

fn count(counts: &live::Counts, copies: usize) {
    live::Counts::add(&counts.datagrams);
    match copies {
        0 => live::Counts::add(&counts.lost),
        1 => {}
        _ => live::Counts::add(&counts.twice),
    }
}

async fn send(socket: &Arc<UdpSocket>, bytes: &[u8], to: net::SocketAddr, delay: time::Duration) {
    if delay.is_zero() {
        // As on a real network, the datagram is lost when the receiver is full or closed.
        let _lost = socket.send_to(bytes, to).await;
        return;
    }
    let (socket, bytes) = (Arc::clone(socket), bytes.to_vec());
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let _lost = socket.send_to(&bytes, to).await;
    });
}
