//! Transfers over TCP: one request and one reply, each a sealed frame.

use std::io;
use std::net;
use std::sync::Arc;
use std::time;

use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::de;
use serde::ser;
use tokio::io as aio;
use tokio::net as anet;
use tokio_util::codec;

use crate::delta;
use crate::seal;
use crate::spread::message;
use crate::spread::wire;
use crate::traffic;

/// Maximum size of a request frame.
const MAX_FETCH_BYTES: usize = 256;

/// Maximum size of a reply frame.
const MAX_REPLY_BYTES: usize = delta::MAX_FILE_BYTES + message::MAX_PUSH_OVERHEAD_BYTES;

/// Why a transfer failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The other side closed the connection.
    #[error("the connection was closed early")]
    Closed,
    /// The connection failed.
    #[error("the connection failed")]
    Io(#[from] io::Error),
    /// The transfer exceeded its time limit.
    #[error("the transfer took too long")]
    Timeout(#[from] tokio::time::error::Elapsed),
    /// A frame is not a valid message of this mesh.
    #[error("a frame is not valid")]
    Wire(#[from] wire::Error),
}

/// The parts of a node that its transfers share.
#[derive(Clone)]
pub struct Transport {
    /// Seal of the mesh.
    pub seal: seal::Seal,
    /// Counters of control traffic.
    pub traffic: Arc<traffic::Traffic>,
    /// Longest time of a complete transfer.
    pub timeout: time::Duration,
}

/// Requests the newest version from the host at `address`.
///
/// # Errors
///
/// Fails when the host can't be reached, does not belong to this mesh, or takes too long.
pub async fn fetch(
    transport: &Transport,
    address: net::SocketAddr,
    fetch: &message::Fetch,
) -> Result<message::FetchReply, Error> {
    let transfer = async {
        let stream = anet::TcpStream::connect(address).await?;
        let mut frames = framed(stream, MAX_REPLY_BYTES);
        write(transport, &mut frames, fetch).await?;
        read(transport, &mut frames).await
    };
    tokio::time::timeout(transport.timeout, transfer).await?
}

/// Reads the request from a connection that another node opened.
///
/// # Errors
///
/// Fails when the other node does not belong to this mesh or takes too long.
pub async fn request(
    transport: &Transport,
    stream: anet::TcpStream,
) -> Result<(message::Fetch, Frames), Error> {
    let mut frames = framed(stream, MAX_FETCH_BYTES);
    let fetch = tokio::time::timeout(transport.timeout, read(transport, &mut frames)).await??;
    Ok((fetch, frames))
}

/// Replies to a request.
///
/// # Errors
///
/// Fails when the connection is closed or the other node takes too long.
pub async fn answer(
    transport: &Transport,
    mut frames: Frames,
    reply: &message::FetchReply,
) -> Result<(), Error> {
    frames.codec_mut().set_max_frame_length(MAX_REPLY_BYTES);
    tokio::time::timeout(transport.timeout, write(transport, &mut frames, reply)).await?
}

/// A connection as a sequence of frames.
pub type Frames<S = anet::TcpStream> = codec::Framed<S, codec::LengthDelimitedCodec>;

fn framed<S: aio::AsyncRead + aio::AsyncWrite>(stream: S, max_bytes: usize) -> Frames<S> {
    codec::LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_framed(stream)
}

async fn write<T: ser::Serialize>(
    transport: &Transport,
    frames: &mut Frames,
    message: &T,
) -> Result<(), Error> {
    let bytes = wire::encode(&transport.seal, message)?;
    transport.traffic.of(traffic::Purpose::Spread).sent(bytes.len());
    Ok(frames.send(bytes).await?)
}

async fn read<T: de::DeserializeOwned>(
    transport: &Transport,
    frames: &mut Frames,
) -> Result<T, Error> {
    let bytes = frames.next().await.ok_or(Error::Closed)??;
    let counts = transport.traffic.of(traffic::Purpose::Spread);
    counts.received(bytes.len());
    wire::decode(&transport.seal, &bytes).map_err(|e| {
        counts.dropped();
        e.into()
    })
}
