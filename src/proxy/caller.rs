//! One caller's connection: its requests run side by side, its answers leave in their order.
//!
//! Each request gets a connection of its own inside the process, on which the library serves it;
//! the answers are copied to the caller one after the other. Without this a request that was sent
//! ahead waits for all before it: with three of 220 ms each on a connection, the last one is
//! answered after 660 ms in place of 220 ms.

use std::cell::Cell;
use std::rc::Rc;
use std::time;

use bytes::{Buf as _, Bytes, BytesMut};
use http::header;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, DuplexStream, ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::task;

use crate::claim;
use crate::proxy::body;
use crate::proxy::entry;
use crate::proxy::frame;
use crate::proxy::refuse;
use crate::proxy::state;
use crate::proxy::wiring;

/// Most requests of one connection that run at once; the next ones are read after the first of
/// them is answered. Callers that send ahead send a handful.
const AHEAD: usize = 16;

/// Bytes in flight between a connection and the library, each way.
const PIPE_BYTES: usize = 16_384;

/// Longest that a closing connection is read for what its caller still sends. Closed with bytes
/// unread, the kernel resets it and the caller may lose the answer.
const LINGER: time::Duration = time::Duration::from_millis(500);

/// Time between a request to close and the close of a connection without a request: one that is
/// on its way arrives within it.
const LATE: time::Duration = time::Duration::from_millis(100);

/// What one connection may send.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest without a request, and longest between two parts of a body.
    pub idle: time::Duration,
    /// Longest from the first byte of a head to its last.
    pub arrival: time::Duration,
    /// Bounds of a head.
    pub head: frame::Limits,
}

/// An answer on its way to the caller.
enum Output {
    /// Served by the library.
    Lane { pipe: ReadHalf<DuplexStream>, mark: Rc<Mark> },
    /// Written here: the bytes were no request. The connection ends behind it.
    Canned(Bytes),
}

/// What is known of the request of a lane and of its answer.
#[derive(Debug, Default)]
struct Mark {
    /// Number of the lane on its connection.
    number: u64,
    /// Whether the connection ends behind the answer.
    last: Cell<bool>,
    /// Whether the answer has a head of the product's own making; without one the library itself
    /// refused the request.
    answered: Cell<bool>,
    /// Whether the library served the whole answer.
    whole: Cell<bool>,
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The caller has left, or takes no more bytes: whatever still runs for it is given up.
    Left,
    /// All that is to be answered has been written.
    Written,
    /// An answer broke off; what was written of it must not look whole.
    Broken,
}

/// Serves the connection `stream` until one side ends it.
pub async fn run<C: claim::Claims>(
    state: Rc<state::State<C>>,
    stream: TcpStream,
    bounds: Bounds,
    closing: wiring::Closing,
) {
    let (input, output) = stream.into_split();
    let (answers, queue) = mpsc::channel(AHEAD);
    let open = watch::Sender::new(0);
    let mut reader = Reader {
        state,
        input,
        buffer: BytesMut::new(),
        framer: frame::Framer::new(bounds.head),
        bounds,
        answers,
        open: open.clone(),
        began: None,
        newest: None,
        latest: Rc::default(),
        lanes: task::JoinSet::new(),
    };
    let mut writer = Writer { output, queue, open };
    let end = tokio::select! {
        end = reader.run(closing) => end,
        end = writer.run() => end,
    };
    if end == End::Written && writer.output.shutdown().await.is_ok() {
        // The caller closes when it has read the answer; what it sends until then is dropped.
        let _ = tokio::time::timeout(LINGER, reader.discard()).await;
    }
}

/// Reads requests and starts a lane for each.
struct Reader<C> {
    state: Rc<state::State<C>>,
    input: OwnedReadHalf,
    /// Bytes that have been read and belong to no lane yet.
    buffer: BytesMut,
    framer: frame::Framer,
    bounds: Bounds,
    answers: mpsc::Sender<Output>,
    /// Answers that have not been written whole yet.
    open: watch::Sender<usize>,
    /// When the head that is in the buffer began.
    began: Option<tokio::time::Instant>,
    /// Mark of the newest lane.
    newest: Option<Rc<Mark>>,
    /// Number of the newest lane; the connection may end behind no other.
    latest: Rc<Cell<u64>>,
    /// The lanes; they end with the connection.
    lanes: task::JoinSet<()>,
}

impl<C: claim::Claims> Reader<C> {
    async fn run(&mut self, mut closing: wiring::Closing) -> End {
        let mut lane = None;
        loop {
            match self.advance(&mut lane).await {
                Ok(true) => {}
                Ok(false) => return self.rest().await,
                Err(fault) => return self.refuse(fault).await,
            }
            let waits = lane.is_none() && self.buffer.is_empty();
            let quiet = quiet(self.open.subscribe(), self.began, self.bounds);
            let late = async {
                // A closed channel means the same as `true`.
                let _ = closing.wait_for(|c| *c).await;
                tokio::time::sleep(LATE).await;
            };
            tokio::select! {
                read = self.input.read_buf(&mut self.buffer) => match read {
                    Ok(0) | Err(_) => return End::Left,
                    Ok(_) => {}
                },
                () = quiet => return End::Written,
                () = late, if waits => return self.finish().await,
            }
            while self.lanes.try_join_next().is_some() {}
        }
    }

    /// Takes what the buffer holds. Gives `false` when nothing behind it is to be read.
    async fn advance(
        &mut self,
        lane: &mut Option<WriteHalf<DuplexStream>>,
    ) -> Result<bool, frame::Fault> {
        while !self.buffer.is_empty() {
            let step = self.framer.step(&self.buffer)?;
            if step.bytes == 0 {
                if self.framer.is_between() {
                    self.began.get_or_insert_with(tokio::time::Instant::now);
                }
                return Ok(true);
            }
            if let Some(head) = step.head {
                self.began = None;
                if self.is_ending() {
                    return Ok(false);
                }
                *lane = self.start(head).await;
            }
            if let Some(pipe) = lane {
                // A lane that has answered before the end of the body takes no more of it.
                let _ = pipe.write_all(&self.buffer[..step.bytes]).await;
            }
            self.buffer.advance(step.bytes);
            if step.end {
                if let Some(mut pipe) = lane.take() {
                    // Only a lane whose request is whole ends behind its answer.
                    let _ = pipe.shutdown().await;
                }
                if self.is_ending() {
                    return Ok(false);
                }
            }
        }
        Ok(true)
    }

    /// Whether the connection ends behind the newest lane.
    fn is_ending(&self) -> bool {
        self.newest.as_ref().is_some_and(|mark| mark.last.get())
    }

    /// Starts a lane behind all others; waits while too many are open.
    async fn start(&mut self, head: frame::Head) -> Option<WriteHalf<DuplexStream>> {
        let (near, far) = tokio::io::duplex(PIPE_BYTES);
        let (pipe, input) = tokio::io::split(near);
        let number = self.latest.get() + 1;
        self.latest.set(number);
        let mark = Rc::new(Mark { number, last: Cell::new(head.last), ..Mark::default() });
        self.newest = Some(Rc::clone(&mark));
        self.open.send_modify(|open| *open += 1);
        self.answers.send(Output::Lane { pipe, mark: Rc::clone(&mark) }).await.ok()?;
        let (state, latest) = (Rc::clone(&self.state), Rc::clone(&self.latest));
        self.lanes.spawn_local(serve(state, far, mark, latest, self.bounds));
        Some(input)
    }

    /// Reads nothing more, but notices when the caller leaves.
    async fn rest(&mut self) -> End {
        self.discard().await;
        End::Left
    }

    /// Drops what the caller sends until it ends the connection.
    async fn discard(&mut self) {
        loop {
            self.buffer.clear();
            match self.input.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Ends the connection once every answer is written; without any, at once.
    async fn finish(&mut self) -> End {
        let mut open = self.open.subscribe();
        tokio::select! {
            _ = open.wait_for(|open| *open == 0) => End::Written,
            end = self.rest() => end,
        }
    }

    /// Answers bytes that are no request and reads nothing more.
    async fn refuse(&mut self, fault: frame::Fault) -> End {
        let mut refusal = refuse::Refusal::not_run(fault.reason());
        if fault == frame::Fault::TooLarge {
            refusal.status = http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        log::info!(reason:% = fault; "refused what a caller sent");
        self.open.send_modify(|open| *open += 1);
        // The writer has ended only if the connection has.
        let _ = self.answers.send(Output::Canned(canned(&refusal))).await;
        self.rest().await
    }
}

/// An answer without the library, behind which the connection ends.
fn canned(refusal: &refuse::Refusal) -> Bytes {
    let status = refusal.status;
    let reason = status.canonical_reason().unwrap_or_default();
    let code = status.as_u16();
    format!("HTTP/1.1 {code} {reason}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").into()
}

/// Writes the answers in the order of their requests.
struct Writer {
    output: OwnedWriteHalf,
    queue: mpsc::Receiver<Output>,
    open: watch::Sender<usize>,
}

impl Writer {
    async fn run(&mut self) -> End {
        let mut buffer = BytesMut::with_capacity(PIPE_BYTES);
        while let Some(answer) = self.queue.recv().await {
            let ended = match answer {
                Output::Lane { pipe, mark } => self.copy(pipe, &mark, &mut buffer).await,
                Output::Canned(bytes) => {
                    let written = self.output.write_all(&bytes).await;
                    Some(if written.is_ok() { End::Written } else { End::Left })
                }
            };
            self.open.send_modify(|open| *open = open.saturating_sub(1));
            if let Some(end) = ended {
                return end;
            }
        }
        End::Left
    }

    /// Copies one answer; gives why the connection ends behind it, if it does.
    async fn copy(
        &mut self,
        mut pipe: ReadHalf<DuplexStream>,
        mark: &Mark,
        buffer: &mut BytesMut,
    ) -> Option<End> {
        loop {
            buffer.clear();
            match pipe.read_buf(buffer).await {
                Ok(0) => break,
                Ok(_) => {}
                Err(_) => return Some(End::Broken),
            }
            if self.output.write_all(buffer).await.is_err() {
                return Some(End::Left);
            }
        }
        if !mark.whole.get() {
            return Some(End::Broken);
        }
        (mark.last.get() || !mark.answered.get()).then_some(End::Written)
    }
}

/// Serves the one request of a lane.
async fn serve<C: claim::Claims>(
    state: Rc<state::State<C>>,
    pipe: DuplexStream,
    mark: Rc<Mark>,
    latest: Rc<Cell<u64>>,
    bounds: Bounds,
) {
    let answers = service::service_fn(|request| {
        let answer = entry::call(Rc::clone(&state), request);
        let (mark, latest) = (Rc::clone(&mark), Rc::clone(&latest));
        async move {
            let answer = answer.await;
            mark.answered.set(true);
            Ok::<_, std::convert::Infallible>(closing(answer, &mark, latest.get()))
        }
    });
    let served = http1::Builder::new()
        // The request is followed by the end of its lane; the caller itself has not left.
        .half_close(true)
        .max_buf_size(bounds.head.head.max(PIPE_BYTES))
        .max_headers(bounds.head.fields)
        .serve_connection(TokioIo::new(pipe), answers)
        .await;
    match served {
        Ok(()) => mark.whole.set(true),
        Err(error) => log::debug!("an answer to a caller broke off: {error}"),
    }
}

/// Notes whether the connection ends behind `answer`. It does so behind the newest lane alone: the
/// answers behind another one would be lost.
fn closing(
    mut answer: http::Response<body::Reply>,
    mark: &Mark,
    latest: u64,
) -> http::Response<body::Reply> {
    let close = answer.headers().get(header::CONNECTION).is_some_and(|value| value == "close");
    if close && mark.number == latest {
        mark.last.set(true);
    } else if close {
        answer.headers_mut().remove(header::CONNECTION);
    }
    answer
}

/// Ends when the caller has been quiet for too long. A caller that waits for answers is never.
async fn quiet(
    mut open: watch::Receiver<usize>,
    began: Option<tokio::time::Instant>,
    bounds: Bounds,
) {
    if let Some(began) = began {
        return tokio::time::sleep_until(began + bounds.arrival).await;
    }
    // A closed channel means that the connection has ended.
    let _ = open.wait_for(|open| *open == 0).await;
    tokio::time::sleep(bounds.idle).await;
}
