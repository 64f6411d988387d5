//! HTTP/2 connections to other nodes: one for each node, opened when first needed and shared by all
//! calls to that node.
//!
//! A call that waits for a limited time doesn't open a connection itself: a task of its own does,
//! one for each node, for as long as `connect_ms` allows. When a host is back, calls with little
//! time left would otherwise abort one opening after another, and no connection would come about.

use std::cell::{Cell, RefCell};
use std::collections;
use std::fmt::Write as _;
use std::future;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time;

use http::header;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync;
use tokio::task;

use crate::configs;
use crate::host;
use crate::proxy::headers;
use crate::proxy::upload;
use crate::seal;
use crate::socket;

#[cfg(test)]
mod tests;

/// Path prefix of the greeting, the first request on each connection.
const HELLO: &str = "/hello";

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Spawns hyper's tasks on the thread of the call path.
#[derive(Clone, Copy, Debug)]
pub struct LocalExecutor;

impl<F> hyper::rt::Executor<F> for LocalExecutor
where
    F: future::Future + 'static,
    F::Output: 'static,
{
    fn execute(&self, fut: F) {
        task::spawn_local(fut);
    }
}

/// Sends calls on a connection.
pub type Sender = http2::SendRequest<upload::Upload>;

/// Why there is no connection to a node.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection can't be opened.
    #[error("can't connect to the node")]
    Connect(#[from] io::Error),
    /// The HTTP/2 connection failed.
    #[error("the connection failed during the greeting")]
    Http(#[from] hyper::Error),
    /// Connecting took longer than the settings allow.
    #[error("the connection was not established in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
    /// The node did not accept the greeting.
    #[error("the node answered the greeting with {0}")]
    Rejected(http::StatusCode),
    /// The greeting could not be built.
    #[error("can't build the greeting")]
    Greeting(#[from] http::Error),
    /// The call's own wait ended before `connect_ms` had passed, while the opening went on.
    #[error("the call gave up the wait for the connection")]
    GivenUp,
    /// The opening for which several calls waited failed.
    #[error("{0}")]
    Opening(Rc<Error>),
    /// The task that opened the connection has ended without a result.
    #[error("the opening of the connection was aborted")]
    Aborted,
}

/// How an opening that goes on by itself ended; `None` until then.
type Opened = Option<Result<Sender, Rc<Error>>>;

/// The connections to other nodes.
pub struct Links {
    connections: Rc<Connections>,
    /// The openings that go on by themselves, at most one for each node.
    openings: Openings,
}

type Openings = Rc<RefCell<collections::HashMap<host::HostId, sync::watch::Receiver<Opened>>>>;

struct Connections {
    me: host::HostId,
    seal: seal::Seal,
    settings: Arc<configs::Node>,
    open: RefCell<collections::HashMap<host::HostId, Link>>,
    /// Locked while a connection is opened, so that only one is opened to each node.
    opening: RefCell<collections::HashMap<host::HostId, Rc<sync::Mutex<()>>>>,
}

struct Link {
    send: Sender,
    used: Cell<time::Instant>,
}

impl Links {
    /// No connections yet; `me` is this host.
    pub fn new(me: host::HostId, seal: seal::Seal, settings: Arc<configs::Node>) -> Self {
        let (open, opening) = Default::default();
        let connections = Rc::new(Connections { me, seal, settings, open, opening });
        Self { connections, openings: Rc::default() }
    }

    /// The connection to `host`, which is opened if there is none. If `limit` is given, the call
    /// waits for at most that time for an opening, which it may share with other calls and which
    /// goes on by itself.
    ///
    /// # Errors
    ///
    /// There is no connection within `limit`, or within the time set by `connect_ms`. No call has
    /// been sent. After [`Error::GivenUp`] the host may be live.
    pub async fn get_within(
        &self,
        host: host::HostId,
        limit: Option<time::Duration>,
    ) -> Result<Sender, Error> {
        let Some(limit) = limit else { return self.connections.get(host).await };
        if let Some(send) = self.connections.existing(host) {
            return Ok(send);
        }
        let mut opening = self.opening(host);
        let opened = opening.wait_for(Option::is_some);
        let opened = if limit < self.connections.limit() {
            tokio::time::timeout(limit, opened).await.map_err(|_| Error::GivenUp)?
        } else {
            // The opening is bounded itself. It ends first, as it began earlier.
            opened.await
        };
        let opened = opened.ok().and_then(|opened| opened.clone());
        opened.map_or(Err(Error::Aborted), |opened| opened.map_err(Error::Opening))
    }

    /// The opening of a connection to `host`, which is begun if there is none.
    fn opening(&self, host: host::HostId) -> sync::watch::Receiver<Opened> {
        let mut openings = self.openings.borrow_mut();
        // The channel of an opening that has ended is closed.
        if let Some(opening) = openings.get(&host).filter(|o| o.has_changed().is_ok()) {
            return opening.clone();
        }
        let (result, opening) = sync::watch::channel(None);
        openings.insert(host, opening.clone());
        let (connections, openings) = (Rc::clone(&self.connections), Rc::clone(&self.openings));
        task::spawn_local(async move {
            // Includes the wait for a call that opens the connection without a limit of its own.
            let opened = tokio::time::timeout(connections.limit(), connections.get(host)).await;
            let opened = opened.unwrap_or_else(|elapsed| Err(elapsed.into()));
            openings.borrow_mut().remove(&host);
            // The calls that waited may all have given up.
            let _ = result.send(Some(opened.map_err(Rc::new)));
        });
        opening
    }

    /// Drops connections that the other end has closed or that have been idle for too long.
    pub fn close_idle(&self) {
        self.connections.close_idle();
    }
}

impl Connections {
    /// The connection to `host`, which is opened if there is none.
    ///
    /// # Errors
    ///
    /// The connection can't be opened within the time set by `connect_ms`. No call has been sent.
    async fn get(&self, host: host::HostId) -> Result<Sender, Error> {
        if let Some(send) = self.existing(host) {
            return Ok(send);
        }
        let lock = Rc::clone(self.opening.borrow_mut().entry(host).or_default());
        let _opening = lock.lock().await;
        if let Some(send) = self.existing(host) {
            return Ok(send);
        }
        let send = tokio::time::timeout(self.limit(), self.connect(host)).await??;
        let link = Link { send: send.clone(), used: Cell::new(time::Instant::now()) };
        self.open.borrow_mut().insert(host, link);
        Ok(send)
    }

    /// Maximum time for which a connection is opened.
    fn limit(&self) -> time::Duration {
        time::Duration::from_millis(self.settings.proxy.connect_ms)
    }

    fn close_idle(&self) {
        self.open
            .borrow_mut()
            .retain(|_, link| !link.send.is_closed() && link.used.get().elapsed() < IDLE_TIMEOUT);
        let open = self.open.borrow();
        self.opening
            .borrow_mut()
            .retain(|host, lock| open.contains_key(host) || Rc::strong_count(lock) > 1);
    }

    fn existing(&self, host: host::HostId) -> Option<Sender> {
        let open = self.open.borrow();
        let link = open.get(&host).filter(|l| !l.send.is_closed())?;
        link.used.set(time::Instant::now());
        Some(link.send.clone())
    }

    async fn connect(&self, host: host::HostId) -> Result<Sender, Error> {
        let stream = TcpStream::connect(host.inner_addr()).await?;
        socket::configure(&stream)?;
        let proxy = &self.settings.proxy;
        let (mut send, conn) = http2::Builder::new(LocalExecutor)
            .timer(TokioTimer::new())
            .initial_stream_window_size(proxy.stream_bytes)
            .initial_connection_window_size(proxy.link_bytes)
            .keep_alive_interval(time::Duration::from_millis(proxy.ping_ms))
            .keep_alive_timeout(time::Duration::from_millis(proxy.pong_ms))
            .handshake(TokioIo::new(stream))
            .await?;
        task::spawn_local(async move {
            if let Err(error) = conn.await {
                log::debug!("connection to {host} ended: {error}");
            }
        });
        let answer = send.send_request(self.greeting(host)?).await?;
        if answer.status() != http::StatusCode::OK {
            return Err(Error::Rejected(answer.status()));
        }
        Ok(send)
    }

    fn greeting(&self, host: host::HostId) -> Result<http::Request<upload::Upload>, Error> {
        let path = format!("{HELLO}/{}/{host}", self.me);
        let tag = tag(&self.seal, path.as_bytes());
        let uri = http::Uri::builder()
            .scheme(http::uri::Scheme::HTTP)
            .authority(host.to_string())
            .path_and_query(path)
            .build()?;
        let request = http::Request::builder().uri(uri).header(headers::TAG, tag);
        Ok(request.body(upload::Upload::Buffered(None))?)
    }
}

/// Whether `request` is a greeting from a node of the mesh to `me`.
///
/// The tag covers both nodes, so that a greeting can't be replayed to another node.
pub fn is_greeting<B>(seal: &seal::Seal, me: host::HostId, request: &http::Request<B>) -> bool {
    let path = request.uri().path();
    let addressed = path.starts_with(HELLO) && path.ends_with(&format!("/{me}"));
    let wanted = header::HeaderValue::from_str(&tag(seal, path.as_bytes()));
    // A comparison in constant time is not needed: the tag is 64 bits of a keyed hash, and the
    // connection is closed after one wrong tag.
    addressed && wanted.is_ok_and(|w| request.headers().get(headers::TAG) == Some(&w))
}

/// The authentication tag of `message`, as hexadecimal digits.
fn tag(seal: &seal::Seal, message: &[u8]) -> String {
    let sealed = seal.seal(message);
    sealed.iter().take(seal::TAG_BYTES).fold(String::new(), |mut text, byte| {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
