//! Forwards TCP connections with the faults of their route.

use std::io;
use std::net;
use std::sync::Arc;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_netem::io::NetEmWriteExt as _;

use crate::standin::fault::live;
use crate::standin::fault::rules;

/// Size of the read buffer of each direction.
const CHUNK_BYTES: usize = 16 * 1024;

/// Forwards each connection that `listener` accepts to `target`; never returns.
pub async fn serve(
    listener: TcpListener,
    target: net::SocketAddr,
    route: rules::Route,
    rules: live::Rules,
    counts: Arc<live::Counts>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                live::Counts::add(&counts.connections);
                let live = live::LiveFaults::new(route, rules.clone());
                tokio::spawn(connection(stream, target, live, Arc::clone(&counts)));
            }
            Err(error) => {
                log::warn!("can't accept a connection: {error}");
                tokio::task::yield_now().await;
            }
        }
    }
}

/// Forwards one connection until it ends or is cut.
async fn connection(
    inbound: TcpStream,
    target: net::SocketAddr,
    live: live::LiveFaults,
    counts: Arc<live::Counts>,
) {
    let mut faults = live.faults();
    if faults.borrow_and_update().cut {
        live::Counts::add(&counts.cuts);
        return reset(&inbound);
    }
    let flowing = |faults: &rules::Faults| !faults.hang;
    let mut opening = faults.clone();
    let connected = async {
        let _open = opening.wait_for(flowing).await.map_err(|_| io::ErrorKind::BrokenPipe)?;
        drop(_open);
        TcpStream::connect(target).await
    };
    let (delay, rate) = (Arc::clone(&live.delay), Arc::clone(&live.rate));
    let cut = live.until_cut();
    tokio::pin!(cut);
    let outbound = tokio::select! {
        connected = connected => connected,
        () = cut.as_mut() => Err(io::ErrorKind::ConnectionAborted.into()),
    };
    let Ok(outbound) = outbound else {
        live::Counts::add(&counts.cuts);
        return reset(&inbound);
    };
    let _delay = inbound.set_nodelay(true);
    let _delay = outbound.set_nodelay(true);
    let (mut from_caller, to_caller) = inbound.into_split();
    let (mut from_target, to_target) = outbound.into_split();
    let complete = {
        let writer = to_target.delay_writes_dyn(Arc::clone(&delay));
        let mut writer = writer.throttle_writes_dyn(Arc::clone(&rate));
        let there = pump(&mut from_caller, &mut writer, faults.clone(), false);
        let mut writer = to_caller.delay_writes_dyn(delay).throttle_writes_dyn(rate);
        let back = pump(&mut from_target, &mut writer, faults, true);
        let both = async { tokio::try_join!(there, back).is_ok() };
        let complete = tokio::select! {
            complete = both => complete,
            () = cut.as_mut() => false,
        };
        if !complete {
            reset(from_caller.as_ref());
            reset(from_target.as_ref());
        }
        complete
    };
    if !complete {
        live::Counts::add(&counts.cuts);
    }
}

/// Copies from `reader` to `writer` until the stream ends. With `back`, the direction towards the
/// caller, it fails once `cut_after` bytes have been copied.
async fn pump<R, W>(
    reader: &mut R,
    writer: &mut W,
    mut faults: watch::Receiver<rules::Faults>,
    back: bool,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut carried = 0;
    loop {
        let size = reader.read(&mut buffer).await?;
        let now = *faults.wait_for(|f| !f.hang).await.map_err(|_| io::ErrorKind::BrokenPipe)?;
        if size == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buffer[..size]).await?;
        carried += size as u64;
        if back && now.cut_after > 0 && carried >= now.cut_after {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
    }
}

/// Makes the connection end with a reset (RST) when it is dropped.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::debug!("can't reset a connection: {error}");
    }
}
