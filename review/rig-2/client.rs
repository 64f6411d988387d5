//! A client on a machine: each request on a new connection.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// Sends `request` to `address` and reads the answer, for at most `limit`.
pub fn exchange(address: SocketAddr, request: &Message, limit: Duration) -> io::Result<Message> {
    let until = Instant::now() + limit;
    let limit = limit.max(Duration::from_millis(1));
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(limit))?;
    request.send(&mut stream)?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut reader = BufReader::new(stream);
    http::read(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// What a client that may leave early has seen.
pub enum Left {
    /// It got an answer before.
    Answered(Message),
    /// It closed the connection at this time.
    At(Instant),
    /// The connection ended or could not be opened.
    Failed,
}

/// Sends `request` to `address`, and closes the connection `after` that if no answer has come.
pub fn exchange_or_leave(address: SocketAddr, request: &Message, after: Duration) -> Left {
    let began = Instant::now();
    let left =
        || (began + after).saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let sent = (|| {
        let mut stream = TcpStream::connect_timeout(&address, left())?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(left()))?;
        let mut bytes = request.head();
        bytes.extend_from_slice(&request.body);
        // The rest of a body that the node does not read is not sent.
        let written = stream.write_all(&bytes);
        let stalled = written.as_ref().is_err_and(is_timeout);
        if !stalled {
            written?;
        }
        stream.set_read_timeout(Some(left()))?;
        Ok::<_, io::Error>(stream)
    })();
    let Ok(stream) = sent else { return Left::Failed };
    let Ok(copy) = stream.try_clone() else { return Left::Failed };
    match http::read(&mut BufReader::new(stream)) {
        Ok(Some(answer)) => Left::Answered(answer),
        Err(error) if is_timeout(&error) => {
            let _ = copy.shutdown(Shutdown::Both);
            Left::At(Instant::now())
        }
        Ok(None) | Err(_) => Left::Failed,
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
