//! Options of the sockets that carry calls, versions and log requests.

use std::io;
use std::time;

use tokio::net::TcpStream;

/// Quiet time after which a connection is probed. A silent peer is then noticed after
/// `PROBE + PROBES * PROBE`, 3 s, the time for which a host counts as not in touch.
const PROBE: time::Duration = time::Duration::from_secs(1);

/// Probes without an answer after which a connection is given up.
const PROBES: u32 = 2;

/// Longest that sent bytes may stay unacknowledged, as long as the probes take.
const UNACKNOWLEDGED: time::Duration = time::Duration::from_secs(3);

/// Makes `stream` send small messages at once and notice a peer that has gone silent, which
/// without these options hangs until the kernel gives up after minutes.
///
/// # Errors
///
/// An option that the kernel refuses.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes =
        socket2::TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
