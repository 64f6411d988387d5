//! Forwarding of datagrams.

use std::collections;
use std::net;
use std::sync::Arc;
use std::time;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;

use crate::standin::fault::knobs;
use crate::standin::fault::rules;

/// Largest datagram.
const LARGEST: usize = 65_536;

/// The sockets of one port of every host.
#[derive(Debug)]
pub struct Port {
    /// The port, counted from the base port.
    pub number: u16,
    /// By the address the host's node binds for this port.
    pub hosts: collections::HashMap<net::SocketAddr, Host>,
    /// For datagrams of strangers.
    pub stranger: Arc<UdpSocket>,
}

/// One host on one port.
#[derive(Clone, Debug)]
pub struct Host {
    /// Base address by which it is known.
    pub base: net::SocketAddr,
    /// Bound to the address by which it is known for this port.
    pub socket: Arc<UdpSocket>,
}

/// Forwards datagrams for the host whose node binds `bound`, for ever.
pub async fn serve(
    port: Arc<Port>,
    bound: net::SocketAddr,
    rules: knobs::Rules,
    counts: Arc<knobs::Counts>,
    seed: u64,
) {
    let Some(own) = port.hosts.get(&bound).cloned() else { return };
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut buffer = vec![0; LARGEST];
    loop {
        // Errors are the answers of closed ports to earlier datagrams.
        let Ok((size, source)) = own.socket.recv_from(&mut buffer).await else { continue };
        let sender = port.hosts.get(&source);
        let way = rules::Way { from: sender.map(|s| s.base), to: own.base, port: port.number };
        let copies = rules::faults(&rules.borrow(), way).copies(&mut rng);
        count(&counts, copies.len());
        let socket = sender.map_or(&port.stranger, |s| &s.socket);
        for delay in copies {
            send(socket, &buffer[..size], bound, delay).await;
        }
    }
}

fn count(counts: &knobs::Counts, copies: usize) {
    knobs::Counts::add(&counts.datagrams);
    match copies {
        0 => knobs::Counts::add(&counts.lost),
        1 => {}
        _ => knobs::Counts::add(&counts.twice),
    }
}

async fn send(socket: &Arc<UdpSocket>, bytes: &[u8], to: net::SocketAddr, delay: time::Duration) {
    if delay.is_zero() {
        // A full or closed receiver loses the datagram, as on a real network.
        let _lost = socket.send_to(bytes, to).await;
        return;
    }
    let (socket, bytes) = (Arc::clone(socket), bytes.to_vec());
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let _lost = socket.send_to(&bytes, to).await;
    });
}
