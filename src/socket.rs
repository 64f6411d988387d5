//! Options of the TCP sockets that carry calls, versions and log requests.

use std::io;
use std::time;

use tokio::net::TcpStream;

/// Idle time before the first keepalive probe and between two probes. An unreachable peer is then
/// detected after `KEEPALIVE_INTERVAL * (1 + MAX_PROBES)`, 3 s, the time after which a host counts
/// as out of touch.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection is closed.
const MAX_PROBES: u32 = 2;

/// Longest time that sent bytes may stay unacknowledged; as long as the keepalive probes take.
const ACK_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Makes `stream` send small messages without delay and detect an unreachable peer. Without these
/// options a connection to such a peer hangs until the kernel gives up after minutes.
///
/// # Errors
///
/// Fails when the kernel refuses an option.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}
