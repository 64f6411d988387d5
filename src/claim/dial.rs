//! Connections of this node to the writers of others.

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

/// Longest a connection may take to be made.
const PATIENCE: time::Duration = time::Duration::from_millis(500);

/// Frames that may wait for a connection. Full: what does not fit counts as lost.
const FRAMES: usize = 256;

/// Connections by host, made when first used.
#[derive(Debug, Default)]
pub struct Links {
    links: collections::HashMap<host::HostId, Link>,
    lives: u64,
}

#[derive(Debug)]
struct Link {
    life: u64,
    frames: mpsc::Sender<Bytes>,
}

impl Links {
    /// Sends `frame` to `host`; tells whether it is on its way.
    pub fn send(&mut self, host: host::HostId, frame: Bytes, shared: &serve::Shared) -> bool {
        let lives = &mut self.lives;
        let link = self.links.entry(host).or_insert_with(|| {
            *lives += 1;
            let (frames, queue) = mpsc::channel(FRAMES);
            task::spawn_local(run(host, *lives, queue, shared.clone()));
            Link { life: *lives, frames }
        });
        link.frames.try_send(frame).is_ok()
    }

    /// Notes that the connection `life` to `host` has ended; tells whether it was the current one.
    pub fn ended(&mut self, host: host::HostId, life: u64) -> bool {
        let current = self.links.get(&host).is_some_and(|link| link.life == life);
        if current {
            self.links.remove(&host);
        }
        current
    }
}

async fn run(host: host::HostId, life: u64, queue: mpsc::Receiver<Bytes>, shared: serve::Shared) {
    if let Some(framed) = connect(host, &shared).await {
        serve::exchange(framed, queue, &shared, |tell| Input::Told { tell }).await;
    }
    // A closed channel means that the duty has ended.
    let _ = shared.inputs.send(Input::Ended { host, life }).await;
}

async fn connect(host: host::HostId, shared: &serve::Shared) -> Option<serve::Framed> {
    let stream = TcpStream::connect(host.ledger_addr());
    let stream = tokio::time::timeout(PATIENCE, stream).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let mut framed = serve::framed(stream);
    let hello = wire::Hello { from: shared.host, to: host };
    let greeting = shared.seal.seal(&wire::encode(&hello));
    let sent = tokio::time::timeout(PATIENCE, framed.send(Bytes::from(greeting))).await;
    sent.ok()?.ok()?;
    Some(framed)
}
