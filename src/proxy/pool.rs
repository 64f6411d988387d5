//! HTTP/1.1 connections to the local upstream.
//!
//! A connection carries one call at a time and returns to the pool only after a complete answer.
//! The number of calls admitted is bounded by the connections that the upstream accepts. Idle
//! connections are reused first, so there are never more open connections than calls that ran
//! concurrently.

use std::cell::{Cell, LazyCell, RefCell};
use std::future;
use std::hash;
use std::hash::{Hash as _, Hasher as _};
use std::io;
use std::net;
use std::rc::Rc;
use std::time;

use http::header;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task;

use crate::proxy::answer;
use crate::proxy::meter;
use crate::proxy::proof;
use crate::proxy::upload;
use crate::socket;

/// Maximum size of the head of an answer.
const MAX_HEAD_BYTES: usize = meter::MAX_BYTES;

/// Maximum time to wait until an idle connection is ready for its next call.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(20);

/// Maximum number of rejected requests on one connection, after which it is not reused. A connection
/// of an upstream that sheds costs one handshake in so many rejections, and 256 bytes.
const MAX_REJECTED: usize = 32;

/// The connections to the local upstream.
#[derive(Debug)]
pub struct Pool {
    idle: RefCell<Vec<Idle>>,
    /// Tasks of all open connections, including those in use.
    tasks: RefCell<Vec<task::AbortHandle>>,
    /// Maximum time for which a connection stays idle.
    max_idle: time::Duration,
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    since: time::Instant,
}

#[derive(Debug)]
struct Conn {
    send: http1::SendRequest<upload::Upload>,
    /// The same socket, to check for received bytes.
    probe: net::TcpStream,
    address: net::SocketAddr,
    meter: Rc<meter::Meter>,
    /// Whether its task has ended with an error.
    failed: Rc<Cell<bool>>,
    rejections: Rejections,
    task: task::AbortHandle,
}

/// The requests that were rejected on a connection, over its whole life: a second copy of their
/// rejections may arrive at any time, and bears the right id if one of them is sent again.
#[derive(Debug, Default)]
struct Rejections {
    /// Hashes of the ids, [`MAX_REJECTED`] at most. Ids with equal hashes only cost a connection.
    ids: Vec<u64>,
    /// Whether a rejection bore no id: a copy of it would be believed for any request.
    anonymous: bool,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection in use by a call. If this is dropped before [`Lease::release`], the connection is
/// closed, which tells the upstream that the call was cancelled.
#[derive(Debug)]
pub struct Lease {
    conn: Option<Conn>,
    pool: Rc<Pool>,
}

impl Pool {
    /// A pool that keeps a connection idle for at most `max_idle`.
    pub const fn new(max_idle: time::Duration) -> Self {
        Self { idle: RefCell::new(Vec::new()), tasks: RefCell::new(Vec::new()), max_idle }
    }

    /// An idle connection to `address`, the most recently used one, or a new one, for the request
    /// `id`.
    ///
    /// A connection on which `id` was ever rejected is left out: a second copy of that rejection
    /// would bear the right id. If all idle ones are left out, the new one takes the place of the
    /// oldest.
    ///
    /// # Errors
    ///
    /// No connection can be opened. Nothing has been sent.
    pub async fn acquire(
        self: &Rc<Self>,
        address: net::SocketAddr,
        id: Option<&header::HeaderValue>,
    ) -> io::Result<Lease> {
        while let Some(mut conn) = self.pop(id) {
            if conn.address == address && conn.wait_ready().await && conn.has_no_input() {
                return Ok(Lease { conn: Some(conn), pool: Rc::clone(self) });
            }
        }
        self.close_oldest();
        let conn = open(address).await?;
        self.tasks.borrow_mut().push(conn.task.clone());
        Ok(Lease { conn: Some(conn), pool: Rc::clone(self) })
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Closes the connections that have been idle for too long or don't lead to `address`.
    pub fn close_idle(&self, address: Option<net::SocketAddr>) {
        let max_idle = self.max_idle;
        self.tasks.borrow_mut().retain(|task| !task.is_finished());
        self.idle.borrow_mut().retain(|i| {
            Some(i.conn.address) == address
                && i.since.elapsed() < max_idle
                && !i.conn.send.is_closed()
        });
    }

    /// Closes all connections, including those in use: the upstream has restarted and will not
    /// answer what was sent to its previous process.
    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Closes the idle connection that has not been used for the longest time, if there is one.
    fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// Takes the most recently used idle connection on which `id` was not rejected.
    fn pop(&self, id: Option<&header::HeaderValue>) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let id = LazyCell::new(|| id.map(hash));
        let usable = |idle: &Idle| {
            let rejections = &idle.conn.rejections;
            rejections.ids.is_empty() || id.is_none_or(|id| !rejections.ids.contains(&id))
        };
        let last = idle.iter().rposition(usable)?;
        let last = idle.remove(last);
        (last.since.elapsed() < self.max_idle).then_some(last.conn)
    }
}

impl Rejections {
    /// Whether a connection with these rejections may carry other requests.
    const fn allow_reuse(&self) -> bool {
        !self.anonymous && self.ids.len() < MAX_REJECTED
    }
}

/// The hash by which [`Rejections`] knows an id.
fn hash(id: &header::HeaderValue) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    id.as_bytes().hash(&mut hasher);
    hasher.finish()
}

impl Conn {
    /// Waits until hyper has finished the previous call on this connection. `false` if it has not
    /// within [`READY_TIMEOUT`].
    async fn wait_ready(&mut self) -> bool {
        if self.send.is_ready() {
            return true;
        }
        matches!(tokio::time::timeout(READY_TIMEOUT, self.send.ready()).await, Ok(Ok(())))
    }

    /// Whether the upstream has neither closed the connection nor sent anything since the last
    /// answer: a late or duplicate answer must not be taken for that of the next call.
    fn has_no_input(&self) -> bool {
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
    let meter = Rc::<meter::Meter>::default();
    let (send, conn) = http1::Builder::new()
        .max_header_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(meter::Metered::new(stream, Rc::clone(&meter))))
        .await
        .map_err(io::Error::other)?;
    let failed = Rc::<Cell<bool>>::default();
    let failure = Rc::clone(&failed);
    let task = task::spawn_local(async move {
        if let Err(error) = conn.await {
            failure.set(true);
            log::debug!("connection to the upstream {address} ended: {error}");
        }
    });
    Ok(Conn {
        send,
        probe,
        address,
        meter,
        failed,
        rejections: Rejections::default(),
        task: task.abort_handle(),
    })
}

impl Drop for Lease {
    /// Resets the connection of a cancelled call, so that bytes which the upstream has not read are
    /// discarded. An orderly close would still deliver them, seconds later if packets were lost,
    /// and the upstream would start to run the call.
    fn drop(&mut self) {
        let Some(conn) = &self.conn else { return };
        let socket = socket2::SockRef::from(&conn.probe);
        if let Err(error) = socket.set_linger(Some(time::Duration::ZERO)) {
            log::debug!(error:% = error; "can't reset the connection of a cancelled call");
        }
    }
}

impl Lease {
    /// Sends a call. Uses up `unsent`, which [`Failed::Unsent`] gives back.
    ///
    /// # Errors
    ///
    /// The call got no answer.
    pub async fn send(
        &mut self,
        request: http::Request<upload::Upload>,
        unsent: proof::Unsent,
    ) -> Result<answer::Unverified, Failed> {
        let Some(conn) = self.conn.as_mut() else {
            return Err(Failed::Unsent(Box::new(request), unsent));
        };
        conn.meter.record_progress();
        let answer = tokio::select! {
            biased;
            answer = conn.send.try_send_request(request) => answer,
            () = future::poll_fn(|cx| conn.meter.poll_exhausted(cx)) => return Err(Failed::Endless),
        };
        conn.meter.record_progress();
        answer.map(answer::Unverified::new).map_err(|mut e| match e.take_message() {
            Some(request) => Failed::Unsent(Box::new(request), unsent),
            None => Failed::Lost(e.into_error()),
        })
    }

    /// Records that an answer with the id `echo` said that its request was not run. Without an id,
    /// the connection carries no other request.
    pub fn record_rejected(&mut self, echo: Option<&header::HeaderValue>) {
        let Some(conn) = self.conn.as_mut() else { return };
        match echo {
            Some(echo) => conn.rejections.ids.push(hash(echo)),
            None => conn.rejections.anonymous = true,
        }
    }

    /// Meters the bytes of the body of its answer; `None` once it was released.
    pub fn meter(&self) -> Option<Rc<meter::Meter>> {
        self.conn.as_ref().map(|conn| Rc::clone(&conn.meter))
    }

    /// Whether its connection has failed, also after it was released: by bytes that are no part of an
    /// answer, or by a reset. `None` if it was released before.
    pub fn failed(&self) -> Option<Rc<Cell<bool>>> {
        self.conn.as_ref().map(|conn| Rc::clone(&conn.failed))
    }

    /// Returns the connection to the pool after a complete answer.
    pub fn release(&mut self) {
        let Some(conn) = self.conn.take() else { return };
        if !conn.send.is_closed() && conn.rejections.allow_reuse() {
            let since = time::Instant::now();
            self.pool.idle.borrow_mut().push(Idle { conn, since });
        }
    }
}

/// Why a call got no answer.
#[derive(Debug)]
pub enum Failed {
    /// Nothing of the request was sent: the connection was closed, or had been released.
    Unsent(Box<http::Request<upload::Upload>>, proof::Unsent),
    /// The connection failed.
    Lost(hyper::Error),
    /// The upstream sent [`meter::MAX_BYTES`] that are no head of an answer.
    Endless,
}
