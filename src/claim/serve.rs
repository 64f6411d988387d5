//! Connections from other nodes to the writers of this one.

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

/// Connections served at once; a writer may have one from each node.
const CONNECTIONS: usize = 8192;

/// Longest a connection may take to greet, or to take a frame.
const PATIENCE: time::Duration = time::Duration::from_secs(5);

/// Frames that may wait for a connection. Full: the connection is closed, and its node asks again.
const FRAMES: usize = 256;

/// How long the listener rests after a failed accept.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Frames over a connection.
pub type Framed = codec::Framed<TcpStream, codec::LengthDelimitedCodec>;

/// What the connections share.
#[derive(Clone)]
pub struct Shared {
    /// This host as the others know it.
    pub host: host::HostId,
    /// Seal of the mesh.
    pub seal: seal::Seal,
    /// To the loop of the ledger's thread.
    pub inputs: mpsc::Sender<Input>,
    /// Counters of control traffic.
    pub traffic: Arc<traffic::Traffic>,
}

/// `stream` as frames.
pub fn framed(stream: TcpStream) -> Framed {
    let codec =
        codec::LengthDelimitedCodec::builder().max_frame_length(wire::FRAME_BYTES).new_codec();
    codec::Framed::new(stream, codec)
}

/// Accepts connections for ever.
pub async fn accept(listener: TcpListener, shared: Shared) {
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    let mut number = 0;
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, peer)) => {
                number += 1;
                let (shared, number) = (shared.clone(), number);
                task::spawn_local(async move {
                    connection(stream, peer, number, &shared).await;
                    drop(place);
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
    if !greeted(&mut framed, shared).await {
        shared.traffic.of(traffic::Purpose::Ledger).dropped();
        log::warn!(peer:% = peer; "a stranger's connection to the ledger was closed");
        return;
    }
    let (frames, queue) = mpsc::channel(FRAMES);
    if shared.inputs.send(Input::Joined { number, frames }).await.is_err() {
        return;
    }
    exchange(framed, queue, shared, |ask| Input::Asked { number, ask }).await;
    // A closed channel means that the duty has ended.
    let _ = shared.inputs.send(Input::Left { number }).await;
}

/// Whether the first frame is a greeting of this mesh to this host.
async fn greeted(framed: &mut Framed, shared: &Shared) -> bool {
    let first = tokio::time::timeout(PATIENCE, framed.next()).await;
    let Ok(Some(Ok(frame))) = first else { return false };
    let body = shared.seal.open(&frame).ok();
    let hello = body.and_then(wire::decode::<wire::Hello>);
    hello.is_some_and(|hello| hello.to == shared.host)
}

/// Carries frames both ways until the connection ends, is told something malformed, or the loop
/// drops its end of `queue`.
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
                let sent = tokio::time::timeout(PATIENCE, framed.send(frame)).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            }
        }
    }
}
