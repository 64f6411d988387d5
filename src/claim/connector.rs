//! Outgoing connections of this node to the claim writers on other hosts.

use std::collections;
use std::time;

use bytes::Bytes;
use futures_util::SinkExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task;

use crate::claim::serve;
use crate::claim::shell::Input;
use crate::claim::wire;
use crate::host;

/// Longest a connection attempt, or sending the greeting, may take.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Frames that may wait for one connection. When the queue is full, a further frame is treated as
/// a failure of the connection.
const FRAME_CAPACITY: usize = 256;

/// Connections by host, each made when it is first used.
#[derive(Debug, Default)]
pub struct Connector {
    connections: collections::HashMap<host::HostId, Connection>,
    /// Number of connections made so far.
    generations: u64,
}

#[derive(Debug)]
struct Connection {
    generation: u64,
    frames: mpsc::Sender<Bytes>,
}

impl Connector {
    /// Queues `frame` for `host`; returns whether there was room.
    pub fn send(&mut self, host: host::HostId, frame: Bytes, shared: &serve::Shared) -> bool {
        let generations = &mut self.generations;
        let connection = self.connections.entry(host).or_insert_with(|| {
            *generations += 1;
            let (frames, queue) = mpsc::channel(FRAME_CAPACITY);
            task::spawn_local(run(host, *generations, queue, shared.clone()));
            Connection { generation: *generations, frames }
        });
        connection.frames.try_send(frame).is_ok()
    }

    /// Removes the connection `generation` to `host`, which has ended; returns whether it was the
    /// current one.
    pub fn disconnected(&mut self, host: host::HostId, generation: u64) -> bool {
        let current = self
            .connections
            .get(&host)
            .is_some_and(|connection| connection.generation == generation);
        if current {
            self.connections.remove(&host);
        }
        current
    }
}

async fn run(
    host: host::HostId,
    generation: u64,
    queue: mpsc::Receiver<Bytes>,
    shared: serve::Shared,
) {
    if let Some(framed) = connect(host, &shared).await {
        serve::exchange(framed, queue, &shared, |response| Input::Response { response }).await;
    }
    // A closed channel means that the duty has ended.
    let _ = shared.inputs.send(Input::Disconnected { host, generation }).await;
}

async fn connect(host: host::HostId, shared: &serve::Shared) -> Option<serve::Framed> {
    let stream = TcpStream::connect(host.ledger_addr());
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, stream).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let mut framed = serve::framed(stream);
    let hello = wire::Hello { from: shared.host, to: host };
    let greeting = shared.seal.seal(&wire::encode(&hello));
    let sent = tokio::time::timeout(CONNECT_TIMEOUT, framed.send(Bytes::from(greeting))).await;
    sent.ok()?.ok()?;
    Some(framed)
}
