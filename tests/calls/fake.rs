//! An upstream made of raw sockets that answers as a script says, and records what it was sent.

use std::cell::RefCell;
use std::net;
use std::rc::Rc;
use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;

/// What the fake does after it has read a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Waits.
    Wait(time::Duration),
    /// Waits until the other end closes the connection, and records it.
    Gone,
    /// Closes the connection.
    Close,
}

/// A request as the fake read it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// First line and headers, as sent.
    pub head: String,
    /// Bytes of the body.
    pub body: usize,
    /// Whether the body came to its marked end.
    pub whole: bool,
    /// Number of the connection.
    pub conn: usize,
    /// Whether the other end closed the connection while the fake waited for it.
    pub gone: bool,
}

impl Seen {
    /// The value of a header, empty when it is absent.
    pub fn header(&self, name: &str) -> String {
        let mut lines = self.head.lines().filter_map(|l| l.split_once(": "));
        let found = lines.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.to_owned()).unwrap_or_default()
    }
}

type Script = Rc<dyn Fn(&Seen) -> Vec<Step>>;

/// The upstream. Dropped, it closes everything.
pub struct Fake {
    /// Where it takes calls.
    pub address: net::SocketAddr,
    seen: Rc<RefCell<Vec<Seen>>>,
    conns: Rc<RefCell<usize>>,
    task: task::JoinHandle<()>,
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Fake {
    /// An upstream that follows `script` for each request, reading bodies in full speed.
    pub async fn start(script: impl Fn(&Seen) -> Vec<Step> + 'static) -> Self {
        Self::slow(time::Duration::ZERO, script).await
    }

    /// The same, with a pause after each read of a body.
    pub async fn slow(
        pause: time::Duration,
        script: impl Fn(&Seen) -> Vec<Step> + 'static,
    ) -> Self {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (seen, conns) = (Rc::<RefCell<Vec<Seen>>>::default(), Rc::<RefCell<usize>>::default());
        let script: Script = Rc::new(script);
        let (all, count) = (Rc::clone(&seen), Rc::clone(&conns));
        let task = task::spawn_local(async move {
            let mut open = task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let conn = count.replace_with(|c| *c + 1);
                let (all, script) = (Rc::clone(&all), Rc::clone(&script));
                open.spawn_local(async move {
                    let _ = serve(stream, conn, pause, &all, &script).await;
                });
            }
        });
        Self { address, seen, conns, task }
    }

    /// Requests whose head was read, in order.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.borrow().clone()
    }

    /// Connections accepted.
    pub fn conns(&self) -> usize {
        *self.conns.borrow()
    }

    /// Requests with this identity that came whole.
    pub fn runs(&self, id: &str) -> usize {
        self.seen.borrow().iter().filter(|s| s.whole && s.header("x-request-id") == id).count()
    }
}

async fn serve(
    mut stream: TcpStream,
    conn: usize,
    pause: time::Duration,
    all: &RefCell<Vec<Seen>>,
    script: &Script,
) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    loop {
        let Some(head) = read_head(&mut stream, &mut buffer).await? else { return Ok(()) };
        let index = all.borrow().len();
        all.borrow_mut().push(Seen { head, conn, ..Seen::default() });
        read_body(&mut stream, &mut buffer, pause, all, index).await?;
        let seen = all.borrow()[index].clone();
        for step in script(&seen) {
            match step {
                Step::Write(bytes) => stream.write_all(&bytes).await?,
                Step::Wait(time) => tokio::time::sleep(time).await,
                Step::Close => return Ok(()),
                Step::Gone => {
                    let left = stream.read(&mut [0; 16]).await.map_or(0, |n| n);
                    all.borrow_mut()[index].gone = left == 0;
                    return Ok(());
                }
            }
        }
    }
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

/// Reads a body by its length, or by chunks, and counts it.
async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    pause: time::Duration,
    all: &RefCell<Vec<Seen>>,
    index: usize,
) -> std::io::Result<()> {
    let seen = all.borrow()[index].clone();
    let chunked = seen.header("transfer-encoding") == "chunked";
    let mut left: usize = seen.header("content-length").parse().unwrap_or(0);
    if chunked {
        // The tests only look for the mark of the end.
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
    while left > 0 {
        if buffer.is_empty() {
            buffer.reserve(65_536);
            if stream.read_buf(buffer).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
        let taken = left.min(buffer.len());
        buffer.drain(..taken);
        left -= taken;
        all.borrow_mut()[index].body += taken;
    }
    all.borrow_mut()[index].whole = true;
    Ok(())
}

/// A whole answer that names the request it belongs to in its body.
pub fn echo(seen: &Seen) -> Vec<Step> {
    vec![Step::Write(answer(&format!("answer to {}", seen.header("x-request-id"))))]
}

/// A whole answer with the body `text`.
pub fn answer(text: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()).into_bytes()
}
