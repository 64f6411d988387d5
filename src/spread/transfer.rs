//! Transfers over TCP: one request, one answer, each a sealed frame.

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

/// Largest request, in bytes.
const FETCH_BYTES: usize = 256;

/// Largest answer, in bytes.
const SERVED_BYTES: usize = delta::MAX_FILE_BYTES + message::OVERHEAD;

/// Why a transfer failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The other side closed the connection.
    #[error("the connection was closed early")]
    Closed,
    /// The connection failed.
    #[error("the connection failed")]
    Io(#[from] io::Error),
    /// It took too long.
    #[error("the transfer took too long")]
    Timeout(#[from] tokio::time::error::Elapsed),
    /// A frame is no message of this mesh.
    #[error("a frame is not valid")]
    Wire(#[from] wire::Error),
}

/// What transfers need of their node.
#[derive(Clone)]
pub struct Link {
    /// Seal of the mesh.
    pub seal: seal::Seal,
    /// Counters of control traffic.
    pub traffic: Arc<traffic::Traffic>,
    /// Longest time of a whole transfer.
    pub limit: time::Duration,
}

/// Asks the host at `address` for what it holds.
///
/// # Errors
///
/// Fails when the host can't be reached, is not of this mesh, or takes too long.
pub async fn fetch(
    link: &Link,
    address: net::SocketAddr,
    fetch: &message::Fetch,
) -> Result<message::Served, Error> {
    let transfer = async {
        let stream = anet::TcpStream::connect(address).await?;
        let mut frames = framed(stream, SERVED_BYTES);
        write(link, &mut frames, fetch).await?;
        read(link, &mut frames).await
    };
    tokio::time::timeout(link.limit, transfer).await?
}

/// Reads the request of a connection that was opened to this node.
///
/// # Errors
///
/// Fails when the other side is not of this mesh or takes too long.
pub async fn request(
    link: &Link,
    stream: anet::TcpStream,
) -> Result<(message::Fetch, Frames), Error> {
    let mut frames = framed(stream, FETCH_BYTES);
    let fetch = tokio::time::timeout(link.limit, read(link, &mut frames)).await??;
    Ok((fetch, frames))
}

/// Answers a request.
///
/// # Errors
///
/// Fails when the other side has gone or takes too long.
pub async fn answer(
    link: &Link,
    mut frames: Frames,
    served: &message::Served,
) -> Result<(), Error> {
    frames.codec_mut().set_max_frame_length(SERVED_BYTES);
    tokio::time::timeout(link.limit, write(link, &mut frames, served)).await?
}

/// A connection as a sequence of frames.
pub type Frames<S = anet::TcpStream> = codec::Framed<S, codec::LengthDelimitedCodec>;

fn framed<S: aio::AsyncRead + aio::AsyncWrite>(stream: S, most: usize) -> Frames<S> {
    codec::LengthDelimitedCodec::builder().max_frame_length(most).new_framed(stream)
}

async fn write<T: ser::Serialize>(
    link: &Link,
    frames: &mut Frames,
    message: &T,
) -> Result<(), Error> {
    let bytes = wire::encode(&link.seal, message)?;
    link.traffic.of(traffic::Purpose::Spread).sent(bytes.len());
    Ok(frames.send(bytes).await?)
}

async fn read<T: de::DeserializeOwned>(link: &Link, frames: &mut Frames) -> Result<T, Error> {
    let bytes = frames.next().await.ok_or(Error::Closed)??;
    let counts = link.traffic.of(traffic::Purpose::Spread);
    counts.received(bytes.len());
    wire::decode(&link.seal, &bytes).map_err(|e| {
        counts.dropped();
        e.into()
    })
}
