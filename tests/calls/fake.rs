//! A fake upstream on plain sockets: answers by a script and records the requests that it receives.

use std::cell::RefCell;
use std::net;
use std::rc::Rc;
use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;

/// A step of the script that runs after a request was read.
#[derive(Clone, Debug)]
pub enum Step {
    /// Write these bytes.
    Write(Vec<u8>),
    /// Wait for this time.
    Wait(time::Duration),
    /// Wait until the peer closes the connection, and record that.
    AwaitClose,
    /// Close the connection.
    Close,
}

/// A received request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Request line and headers, as sent.
    pub head: String,
    /// Number of bytes of the body received.
    pub body: usize,
    /// Whether the body was received to its marked end.
    pub complete: bool,
    /// Number of the connection.
    pub conn: usize,
    /// Whether the peer closed the connection during [`Step::AwaitClose`].
    pub closed: bool,
}

impl Request {
    /// The value of a header; empty if it is absent.
    pub fn header(&self, name: &str) -> String {
        let mut lines = self.head.lines().filter_map(|l| l.split_once(": "));
        let found = lines.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.to_owned()).unwrap_or_default()
    }
}

type Script = Rc<dyn Fn(&Request) -> Vec<Step>>;

type Early = Rc<dyn Fn(&Request) -> Option<Vec<Step>>>;

/// How the upstream answers: a script for each request, and one that may answer it before its body is
/// read.
#[derive(Clone)]
struct Scripts {
    early: Early,
    late: Script,
}

/// The upstream. Its connections are closed when it is dropped.
pub struct Fake {
    /// Address of the listener.
    pub address: net::SocketAddr,
    requests: Rc<RefCell<Vec<Request>>>,
    conns: Rc<RefCell<usize>>,
    task: task::JoinHandle<()>,
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Fake {
    /// Starts an upstream that runs `script` for each request and reads bodies at full speed.
    pub async fn start(script: impl Fn(&Request) -> Vec<Step> + 'static) -> Self {
        Self::start_slow(time::Duration::ZERO, script).await
    }

    /// Like [`Fake::start`], with a pause after each read of a body.
    pub async fn start_slow(
        pause: time::Duration,
        script: impl Fn(&Request) -> Vec<Step> + 'static,
    ) -> Self {
        Self::start_early(pause, |_| None, script).await
    }

    /// Like [`Fake::start_slow`], where `early` may answer a request before its body is read. Its
    /// body is read then, and nothing else is answered.
    pub async fn start_early(
        pause: time::Duration,
        early: impl Fn(&Request) -> Option<Vec<Step>> + 'static,
        script: impl Fn(&Request) -> Vec<Step> + 'static,
    ) -> Self {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (requests, conns) =
            (Rc::<RefCell<Vec<Request>>>::default(), Rc::<RefCell<usize>>::default());
        let scripts = Scripts { early: Rc::new(early), late: Rc::new(script) };
        let (all, count) = (Rc::clone(&requests), Rc::clone(&conns));
        let task = task::spawn_local(async move {
            let mut open = task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let conn = count.replace_with(|c| *c + 1);
                let (all, scripts) = (Rc::clone(&all), scripts.clone());
                open.spawn_local(async move {
                    let _ = serve(stream, conn, pause, &all, &scripts).await;
                });
            }
        });
        Self { address, requests, conns, task }
    }

    /// The requests whose head was received, in order.
    pub fn requests(&self) -> Vec<Request> {
        self.requests.borrow().clone()
    }

    /// Number of connections accepted.
    pub fn conns(&self) -> usize {
        *self.conns.borrow()
    }

    /// Number of requests with this id that were received completely.
    pub fn runs(&self, id: &str) -> usize {
        self.requests
            .borrow()
            .iter()
            .filter(|s| s.complete && s.header("x-request-id") == id)
            .count()
    }
}

async fn serve(
    mut stream: TcpStream,
    conn: usize,
    pause: time::Duration,
    all: &RefCell<Vec<Request>>,
    scripts: &Scripts,
) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    loop {
        let Some(head) = read_head(&mut stream, &mut buffer).await? else { return Ok(()) };
        let index = all.borrow().len();
        all.borrow_mut().push(Request { head, conn, ..Request::default() });
        let request = all.borrow()[index].clone();
        let early = (scripts.early)(&request);
        let answered = early.is_some();
        if !play(&mut stream, early.unwrap_or_default(), all, index).await? {
            return Ok(());
        }
        read_body(&mut stream, &mut buffer, pause, all, index).await?;
        let request = all.borrow()[index].clone();
        let steps = if answered { Vec::new() } else { (scripts.late)(&request) };
        if !play(&mut stream, steps, all, index).await? {
            return Ok(());
        }
    }
}

/// Takes the steps of a script. Returns whether the connection goes on.
async fn play(
    stream: &mut TcpStream,
    steps: Vec<Step>,
    all: &RefCell<Vec<Request>>,
    index: usize,
) -> std::io::Result<bool> {
    for step in steps {
        match step {
            Step::Write(bytes) => stream.write_all(&bytes).await?,
            Step::Wait(time) => tokio::time::sleep(time).await,
            Step::Close => return Ok(false),
            Step::AwaitClose => {
                let read = stream.read(&mut [0; 16]).await.map_or(0, |n| n);
                all.borrow_mut()[index].closed = read == 0;
                return Ok(false);
            }
        }
    }
    Ok(true)
}

async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<String>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = buffer.drain(..end + 4).collect();
            return Ok(Some(String::from_utf8(head).unwrap()));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// Reads a body, sized or chunked, and counts its bytes.
async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    pause: time::Duration,
    all: &RefCell<Vec<Request>>,
    index: usize,
) -> std::io::Result<()> {
    let request = all.borrow()[index].clone();
    let chunked = request.header("transfer-encoding") == "chunked";
    let mut remaining: usize = request.header("content-length").parse().unwrap_or(0);
    if chunked {
        // The chunks are not parsed, as only the end of the body matters to the tests.
        let mut tail = buffer.clone();
        loop {
            all.borrow_mut()[index].body += buffer.len();
            buffer.clear();
            if tail.ends_with(b"0\r\n\r\n") {
                break;
            }
            if stream.read_buf(buffer).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            tail.extend_from_slice(buffer);
            tail.drain(..tail.len().saturating_sub(8));
            tokio::time::sleep(pause).await;
        }
    }
    while remaining > 0 {
        if buffer.is_empty() {
            buffer.reserve(65_536);
            if stream.read_buf(buffer).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
        let taken = remaining.min(buffer.len());
        buffer.drain(..taken);
        remaining -= taken;
        all.borrow_mut()[index].body += taken;
    }
    all.borrow_mut()[index].complete = true;
    Ok(())
}

/// A complete answer with the request's id in its body.
pub fn echo(request: &Request) -> Vec<Step> {
    vec![Step::Write(answer(&format!("answer to {}", request.header("x-request-id"))))]
}

/// A complete answer with the body `text`.
pub fn answer(text: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()).into_bytes()
}
