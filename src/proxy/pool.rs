//! Connections to the upstream beside this node (HTTP/1.1).
//!
//! A connection carries one call at a time and goes back to the pool only after a whole answer.
//! The gate admits no more calls than the upstream takes connections; an idle connection is used
//! before one is opened, so that the open ones never outnumber the calls that ran at once.

use std::cell::RefCell;
use std::io;
use std::net;
use std::rc::Rc;
use std::time;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task;

use crate::proxy::upload;
use crate::socket;

/// Largest head of an answer, in bytes.
const HEAD_BYTES: usize = 65_536;

/// Longest a connection may take to get ready for its next call.
const SETTLE: time::Duration = time::Duration::from_millis(20);

/// The connections.
#[derive(Debug)]
pub struct Pool {
    idle: RefCell<Vec<Idle>>,
    /// Tasks of the open connections, those in use among them.
    tasks: RefCell<Vec<task::AbortHandle>>,
    /// Longest a connection stays idle.
    limit: time::Duration,
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    since: time::Instant,
}

#[derive(Debug)]
struct Conn {
    send: http1::SendRequest<upload::Upload>,
    /// The same socket, to look at what has arrived.
    probe: net::TcpStream,
    address: net::SocketAddr,
    task: task::AbortHandle,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection in use by one call. Dropped, it is closed, which tells the upstream that the call
/// was given up.
#[derive(Debug)]
pub struct Lease {
    conn: Option<Conn>,
    pool: Rc<Pool>,
}

impl Pool {
    /// A pool that keeps a connection idle for at most `limit`.
    pub const fn new(limit: time::Duration) -> Self {
        Self { idle: RefCell::new(Vec::new()), tasks: RefCell::new(Vec::new()), limit }
    }

    /// An idle connection to `address`, the most recently used one, or a new one.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened; nothing has been sent then.
    pub async fn take(self: &Rc<Self>, address: net::SocketAddr) -> io::Result<Lease> {
        while let Some(mut conn) = self.pop() {
            if conn.address == address && conn.settled().await && conn.is_quiet() {
                return Ok(Lease { conn: Some(conn), pool: Rc::clone(self) });
            }
        }
        let conn = open(address).await?;
        self.tasks.borrow_mut().push(conn.task.clone());
        Ok(Lease { conn: Some(conn), pool: Rc::clone(self) })
    }

    /// How many connections are idle.
    pub fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Closes the connections that have been idle for too long or don't lead to `address`.
    pub fn tidy(&self, address: Option<net::SocketAddr>) {
        let limit = self.limit;
        self.tasks.borrow_mut().retain(|task| !task.is_finished());
        self.idle.borrow_mut().retain(|i| {
            Some(i.conn.address) == address && i.since.elapsed() < limit && !i.conn.send.is_closed()
        });
    }

    /// Ends every connection, those in use too: their other end has started anew and answers nothing
    /// that it was sent before.
    pub fn sever(&self) {
        self.idle.borrow_mut().clear();
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    fn pop(&self) -> Option<Conn> {
        let idle = self.idle.borrow_mut().pop()?;
        (idle.since.elapsed() < self.limit).then_some(idle.conn)
    }
}

impl Conn {
    /// Waits a moment for the library to be done with the call before.
    async fn settled(&mut self) -> bool {
        if self.send.is_ready() {
            return true;
        }
        matches!(tokio::time::timeout(SETTLE, self.send.ready()).await, Ok(Ok(())))
    }

    /// Whether the upstream has neither closed the connection nor sent anything unasked: a late
    /// or doubled answer must not be taken for the next call's.
    fn is_quiet(&self) -> bool {
        let peeked = self.probe.peek(&mut [0]);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

async fn open(address: net::SocketAddr) -> io::Result<Conn> {
    let stream = TcpStream::connect(address).await?;
    socket::configure(&stream)?;
    let stream = stream.into_std()?;
    let probe = stream.try_clone()?;
    let stream = TcpStream::from_std(stream)?;
    let (send, conn) = http1::Builder::new()
        .max_header_size(HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = task::spawn_local(async move {
        if let Err(error) = conn.await {
            log::debug!("connection to the upstream {address} ended: {error}");
        }
    });
    Ok(Conn { send, probe, address, task: task.abort_handle() })
}

impl Drop for Lease {
    /// A call that was given up takes back what its upstream has not read: an orderly close would
    /// deliver it, seconds later where packets were lost, and the upstream would begin to run it.
    fn drop(&mut self) {
        let Some(conn) = &self.conn else { return };
        let socket = socket2::SockRef::from(&conn.probe);
        if let Err(error) = socket.set_linger(Some(time::Duration::ZERO)) {
            log::debug!(error:% = error; "a connection to the upstream closes in order");
        }
    }
}

impl Lease {
    /// Sends a call.
    ///
    /// # Errors
    ///
    /// Gives the request back when nothing of it was sent.
    pub async fn send(
        &mut self,
        request: http::Request<upload::Upload>,
    ) -> Result<http::Response<hyper::body::Incoming>, Failed> {
        let Some(conn) = self.conn.as_mut() else {
            return Err(Failed { error: None, unsent: Some(Box::new(request)) });
        };
        conn.send.try_send_request(request).await.map_err(|mut e| {
            let unsent = e.take_message().map(Box::new);
            Failed { error: Some(e.into_error()), unsent }
        })
    }

    /// Puts the connection back after a whole answer.
    pub fn finish(&mut self) {
        let Some(conn) = self.conn.take() else { return };
        if !conn.send.is_closed() {
            let since = time::Instant::now();
            self.pool.idle.borrow_mut().push(Idle { conn, since });
        }
    }
}

/// A call that got no answer.
#[derive(Debug)]
pub struct Failed {
    /// What the library says.
    pub error: Option<hyper::Error>,
    /// The request, when nothing of it was sent.
    pub unsent: Option<Box<http::Request<upload::Upload>>>,
}
