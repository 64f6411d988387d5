//! Serves connections from other nodes to the claim writers of this node.

use std::net;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task;
use tokio_util::codec;

use crate::claim::shell::Input;
use crate::claim::wire;
use crate::host;
use crate::seal;
use crate::traffic;

/// Limit on connections served at once; every other node may hold one.
const MAX_CONNECTIONS: usize = 8192;

/// How long a connection may take to send its greeting or to accept a frame.
const IO_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Frames that may wait for one connection. When the queue is full, the connection is closed and
/// its node repeats its requests.
const FRAME_CAPACITY: usize = 256;

/// Pause after a failed accept.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// A connection that carries length-delimited frames.
pub type Framed = codec::Framed<TcpStream, codec::LengthDelimitedCodec>;

/// State shared by all connections.
#[derive(Clone)]
pub struct Shared {
    /// This host, under the id by which other hosts address it.
    pub host: host::HostId,
    /// Authenticates greetings with the mesh's key.
    pub seal: seal::Seal,
    /// Inputs of the ledger duty's loop.
    pub inputs: mpsc::Sender<Input>,
    /// Counters of control traffic.
    pub traffic: Arc<traffic::Traffic>,
}

/// Wraps `stream` in a frame codec.
pub fn framed(stream: TcpStream) -> Framed {
    let codec =
        codec::LengthDelimitedCodec::builder().max_frame_length(wire::FRAME_BYTES).new_codec();
    codec::Framed::new(stream, codec)
}

/// Accepts connections until its task is aborted.
pub async fn accept(listener: TcpListener, shared: Shared) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut number = 0;
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, peer)) => {
                number += 1;
                let (shared, number) = (shared.clone(), number);
                task::spawn_local(async move {
                    connection(stream, peer, number, &shared).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "can't accept a connection to the ledger");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, peer: net::SocketAddr, number: u64, shared: &Shared) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "can't disable delays of a connection");
    }
    let mut framed = framed(stream);
    if !is_greeted(&mut framed, shared).await {
        shared.traffic.of(traffic::Purpose::Ledger).dropped();
        log::warn!(peer:% = peer; "closed an unauthenticated connection to the ledger");
        return;
    }
    let (frames, queue) = mpsc::channel(FRAME_CAPACITY);
    if shared.inputs.send(Input::PeerConnected { number, frames }).await.is_err() {
        return;
    }
    exchange(framed, queue, shared, |request| Input::Request { number, request }).await;
    // A closed channel means that the duty has ended.
    let _ = shared.inputs.send(Input::PeerDisconnected { number }).await;
}

/// Whether the first frame is a greeting sealed by this mesh and addressed to this host.
async fn is_greeted(framed: &mut Framed, shared: &Shared) -> bool {
    let first = tokio::time::timeout(IO_TIMEOUT, framed.next()).await;
    let Ok(Some(Ok(frame))) = first else { return false };
    let body = shared.seal.open(&frame).ok();
    let hello = body.and_then(wire::decode::<wire::Hello>);
    hello.is_some_and(|hello| hello.to == shared.host)
}

/// Carries frames in both directions until the connection ends, a malformed frame arrives, or the
/// loop drops the sender of `queue`.
pub async fn exchange<T: serde::de::DeserializeOwned>(
    mut framed: Framed,
    mut queue: mpsc::Receiver<Bytes>,
    shared: &Shared,
    input: impl Fn(T) -> Input,
) {
    let counts = shared.traffic.of(traffic::Purpose::Ledger);
    loop {
        tokio::select! {
            frame = framed.next() => {
                let Some(Ok(frame)) = frame else { return };
                counts.received(frame.len());
                let Some(message) = wire::decode(&frame) else {
                    counts.dropped();
                    return;
                };
                if shared.inputs.send(input(message)).await.is_err() {
                    return;
                }
            }
            frame = queue.recv() => {
                let Some(frame) = frame else { return };
                counts.sent(frame.len());
                let sent = tokio::time::timeout(IO_TIMEOUT, framed.send(frame)).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            }
        }
    }
}
