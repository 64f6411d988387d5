//! A node that speaks HTTP/2 frame by frame, so that a test decides what becomes of each stream and
//! of the connection.

use std::cell::RefCell;
use std::net;
use std::rc::Rc;
use std::time;

use bytes::{Buf as _, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;

use crate::rig;

const PREFACE_BYTES: usize = 24;
const FRAME_HEAD_BYTES: usize = 9;

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const GOAWAY: u8 = 7;
const WINDOW_UPDATE: u8 = 8;

const END_STREAM: u8 = 1;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;

/// The identifier of the setting for the initial window of a stream.
const INITIAL_WINDOW: u16 = 4;

/// Error codes of HTTP/2.
pub const NO_ERROR: u32 = 0;
pub const REFUSED_STREAM: u32 = 7;
pub const CANCEL: u32 = 8;

/// What the peer does about a stream.
#[derive(Clone, Debug)]
pub enum Step {
    /// Write these bytes.
    Write(Vec<u8>),
    /// Read nothing for this time.
    Wait(time::Duration),
    /// Close the connection.
    Close,
    /// Reset the connection.
    Reset,
}

/// When the steps for a stream are taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum When {
    /// After the head of the call was read.
    Head,
    /// After the whole call was read.
    Whole,
}

/// A call that the peer has received.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Number of the connection.
    pub conn: usize,
    /// Number of the stream.
    pub stream: u32,
    /// The bytes of its body.
    pub body: Vec<u8>,
    /// Whether its end was received.
    pub complete: bool,
    /// Whether the entry node has reset the stream.
    pub reset: bool,
}

type Script = Rc<dyn Fn(u32) -> Vec<Step>>;

/// How a peer behaves.
pub struct Behaviour {
    /// The initial window of each stream; `None`: as the protocol has it.
    window: Option<u32>,
    greeting: Script,
    when: When,
    call: Script,
}

impl Behaviour {
    /// Accepts the greeting, and takes the steps `call` for the stream of each call.
    pub fn new(when: When, call: impl Fn(u32) -> Vec<Step> + 'static) -> Self {
        let greeting = |stream| vec![Step::Write(head(stream, true, 200, &[]))];
        Self { window: None, greeting: Rc::new(greeting), when, call: Rc::new(call) }
    }

    /// Lets the other end send `bytes` on a new stream.
    pub fn window(mut self, bytes: u32) -> Self {
        self.window = Some(bytes);
        self
    }

    /// Takes the steps `greeting` for the stream of the greeting.
    pub fn greeting(mut self, greeting: impl Fn(u32) -> Vec<Step> + 'static) -> Self {
        self.greeting = Rc::new(greeting);
        self
    }
}

/// The peer. Its connections are closed when it is dropped.
pub struct Peer {
    seen: Rc<RefCell<Vec<Seen>>>,
    task: task::JoinHandle<()>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Peer {
    /// Takes the place of `node`, which is dropped.
    pub async fn replace(node: rig::Node, behaviour: Behaviour) -> Self {
        let address = node.id.inner_addr();
        drop(node);
        rig::until(|| net::TcpListener::bind(address).is_ok()).await;
        Self::start(address, behaviour).await
    }

    /// Listens for calls of other nodes at `address`.
    pub async fn start(address: net::SocketAddr, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let seen = Rc::<RefCell<Vec<Seen>>>::default();
        let (all, behaviour) = (Rc::clone(&seen), Rc::new(behaviour));
        let task = task::spawn_local(async move {
            let mut open = task::JoinSet::new();
            for conn in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                let (all, behaviour) = (Rc::clone(&all), Rc::clone(&behaviour));
                open.spawn_local(async move {
                    let _ = serve(stream, conn, &behaviour, &all).await;
                });
            }
        });
        Self { seen, task }
    }

    /// The calls whose head was received, in order.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.borrow().clone()
    }
}

/// What a frame asks for beside its answer by the protocol.
enum Event {
    None,
    Greeting,
    Head(u32),
    Whole(u32),
}

async fn serve(
    mut stream: TcpStream,
    conn: usize,
    behaviour: &Behaviour,
    all: &RefCell<Vec<Seen>>,
) -> std::io::Result<()> {
    let mut buffer = BytesMut::new();
    while buffer.len() < PREFACE_BYTES {
        if stream.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
    }
    buffer.advance(PREFACE_BYTES);
    let mut settings = Vec::new();
    if let Some(window) = behaviour.window {
        settings.extend_from_slice(&INITIAL_WINDOW.to_be_bytes());
        settings.extend_from_slice(&window.to_be_bytes());
    }
    stream.write_all(&frame(SETTINGS, 0, 0, &settings)).await?;
    loop {
        let Some(length) = frame_length(&buffer) else {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
            continue;
        };
        let bytes = buffer.split_to(length);
        let (answer, events) = receive(&bytes, conn, all);
        stream.write_all(&answer).await?;
        for event in events {
            let steps = match event {
                Event::Greeting => (behaviour.greeting)(1),
                Event::Head(number) if behaviour.when == When::Head => (behaviour.call)(number),
                Event::Whole(number) if behaviour.when == When::Whole => (behaviour.call)(number),
                Event::None | Event::Head(_) | Event::Whole(_) => continue,
            };
            for step in steps {
                match step {
                    Step::Write(bytes) => stream.write_all(&bytes).await?,
                    Step::Wait(time) => tokio::time::sleep(time).await,
                    Step::Close => return Ok(()),
                    Step::Reset => {
                        let socket = socket2::SockRef::from(&stream);
                        return socket.set_linger(Some(time::Duration::ZERO));
                    }
                }
            }
        }
    }
}

/// Length of the first frame in `buffer`; `None` if it is not complete.
fn frame_length(buffer: &[u8]) -> Option<usize> {
    let [a, b, c, ..] = *buffer else { return None };
    let length = FRAME_HEAD_BYTES + u32::from_be_bytes([0, a, b, c]) as usize;
    (buffer.len() >= length).then_some(length)
}

/// Records a frame. Returns what the protocol asks to be sent at once.
fn receive(bytes: &[u8], conn: usize, all: &RefCell<Vec<Seen>>) -> (Vec<u8>, [Event; 2]) {
    let (kind, flags) = (bytes[3], bytes[4]);
    let number = u32::from_be_bytes([bytes[5], bytes[6], bytes[7], bytes[8]]);
    let payload = &bytes[FRAME_HEAD_BYTES..];
    let ended = flags & END_STREAM != 0;
    let mut all = all.borrow_mut();
    let call = all.iter_mut().find(|seen| seen.conn == conn && seen.stream == number);
    let whole = || if ended { Event::Whole(number) } else { Event::None };
    match (kind, call) {
        (SETTINGS, _) if flags & ACK == 0 => {
            (frame(SETTINGS, ACK, 0, &[]), [Event::None, Event::None])
        }
        (PING, _) if flags & ACK == 0 => (frame(PING, ACK, 0, payload), [Event::None, Event::None]),
        (HEADERS, None) if number == 1 => (Vec::new(), [Event::Greeting, Event::None]),
        (HEADERS, None) => {
            all.push(Seen { conn, stream: number, complete: ended, ..Seen::default() });
            (Vec::new(), [Event::Head(number), whole()])
        }
        (DATA, Some(call)) => {
            call.body.extend_from_slice(payload);
            call.complete |= ended;
            (Vec::new(), [Event::None, whole()])
        }
        (RST_STREAM, Some(call)) => {
            call.reset = true;
            (Vec::new(), [Event::None, Event::None])
        }
        _ => (Vec::new(), [Event::None, Event::None]),
    }
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let mut bytes = length[1..].to_vec();
    bytes.extend_from_slice(&[kind, flags]);
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// A field of a head, encoded without the table of HPACK.
fn field(name: &str, value: &str) -> Vec<u8> {
    let text = |text: &str| {
        let length = u8::try_from(text.len()).ok().filter(|length| *length < 127).unwrap();
        [&[length], text.as_bytes()].concat()
    };
    [vec![0], text(name), text(value)].concat()
}

/// The head of an answer. `end`: it has no body.
pub fn head(stream: u32, end: bool, status: u16, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut block = field(":status", &status.to_string());
    block.extend(fields.iter().flat_map(|(name, value)| field(name, value)));
    let end = if end { END_STREAM } else { 0 };
    frame(HEADERS, END_HEADERS | end, stream, &block)
}

/// Fields after the body of an answer.
pub fn trailers(stream: u32, fields: &[(&str, &str)]) -> Vec<u8> {
    let block: Vec<u8> = fields.iter().flat_map(|(name, value)| field(name, value)).collect();
    frame(HEADERS, END_HEADERS | END_STREAM, stream, &block)
}

/// Bytes of a body.
pub fn data(stream: u32, end: bool, bytes: &[u8]) -> Vec<u8> {
    frame(DATA, if end { END_STREAM } else { 0 }, stream, bytes)
}

/// Ends a stream with an error code.
pub fn reset(stream: u32, code: u32) -> Vec<u8> {
    frame(RST_STREAM, 0, stream, &code.to_be_bytes())
}

/// Ends the connection; `last` is the last stream that may be processed.
pub fn goaway(last: u32, code: u32) -> Vec<u8> {
    frame(GOAWAY, 0, 0, &[last.to_be_bytes(), code.to_be_bytes()].concat())
}

/// Lets the other end send `bytes` more on a stream, or on the connection if that is 0.
pub fn window(stream: u32, bytes: u32) -> Vec<u8> {
    frame(WINDOW_UPDATE, 0, stream, &bytes.to_be_bytes())
}
