//! The connection of a caller: its pipelined requests run concurrently and are answered in order.
//!
//! Each request gets a lane, an in-memory connection on which hyper serves it. The answers of the
//! lanes are copied to the caller in the order of the requests. Without lanes, a pipelined request
//! would wait for all earlier ones: of three requests of 220 ms each on a connection, the last one
//! would be answered after 660 ms in place of 220 ms.

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
use crate::proxy::overload;
use crate::proxy::proof;
use crate::proxy::refuse;
use crate::proxy::state;
use crate::proxy::wiring;

/// Maximum number of requests of a connection that run concurrently; the next one is read after the
/// first of them is answered. Callers that use pipelining send a few requests ahead.
const MAX_PIPELINED: usize = 16;

/// Size of the buffer between a connection and a lane, in each direction.
const PIPE_BYTES: usize = 16_384;

/// Maximum time for which a closing connection is still read. If it were closed with unread bytes,
/// the kernel would reset it and the caller might lose the answer.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Delay before a connection without a request is closed, so that a request that is already in
/// flight still arrives.
const CLOSE_DELAY: time::Duration = time::Duration::from_millis(100);

/// Limits on what a connection may send.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum time without a request, and between two parts of a body.
    pub idle_timeout: time::Duration,
    /// Maximum time from the first byte of a head to its last.
    pub head_timeout: time::Duration,
    /// Limits on the size of a head.
    pub head: frame::Limits,
}

/// An answer for the caller.
enum Output {
    /// Served by hyper on a lane.
    Lane { pipe: ReadHalf<DuplexStream>, progress: Rc<Progress> },
    /// A refusal made without hyper. `close`: the connection ends after it.
    Refusal { bytes: Bytes, close: bool },
}

/// Progress of the request of a lane and of its answer.
#[derive(Debug, Default)]
struct Progress {
    /// Number of the lane, counted by connection.
    number: u64,
    /// Whether the connection ends after the answer.
    close: Cell<bool>,
    /// Whether the call path made the answer; otherwise hyper itself refused the request.
    answered: Cell<bool>,
    /// Whether hyper served the complete answer.
    complete: Cell<bool>,
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The caller has closed the connection or accepts no more bytes; its calls are cancelled.
    Disconnected,
    /// All answers have been written.
    Written,
    /// An answer broke off; the part that was written must not look complete.
    Broken,
}

/// Serves the connection `stream` until either side ends it.
pub async fn run<C: claim::Claims>(
    state: Rc<state::State<C>>,
    stream: TcpStream,
    bounds: Bounds,
    closing: wiring::Closing,
) {
    let (input, output) = stream.into_split();
    let (answers, queue) = mpsc::channel(MAX_PIPELINED);
    let unanswered = watch::Sender::new(0);
    let mut reader = Reader {
        state,
        input,
        buffer: BytesMut::new(),
        framer: frame::Framer::new(bounds.head),
        bounds,
        answers,
        unanswered: unanswered.clone(),
        head_started: None,
        newest: None,
        latest: Rc::default(),
        lanes: task::JoinSet::new(),
    };
    let mut writer = Writer { output, queue, unanswered };
    let end = tokio::select! {
        end = reader.run(closing) => end,
        end = writer.run() => end,
    };
    if end == End::Written && writer.output.shutdown().await.is_ok() {
        // The caller closes once it has read the answer; what it sends until then is discarded.
        let _ = tokio::time::timeout(LINGER_TIMEOUT, reader.discard()).await;
    }
}

/// Reads requests and starts a lane for each.
struct Reader<C> {
    state: Rc<state::State<C>>,
    input: OwnedReadHalf,
    /// Bytes that have been read and not been passed to a lane yet.
    buffer: BytesMut,
    framer: frame::Framer,
    bounds: Bounds,
    answers: mpsc::Sender<Output>,
    /// Number of answers that have not been written completely yet.
    unanswered: watch::Sender<usize>,
    /// When the first byte of an incomplete head arrived.
    head_started: Option<tokio::time::Instant>,
    /// Progress of the newest lane.
    newest: Option<Rc<Progress>>,
    /// Number of the newest lane; the connection may end after no other.
    latest: Rc<Cell<u64>>,
    /// Tasks of the lanes; they are aborted when the connection ends.
    lanes: task::JoinSet<()>,
}

impl<C: claim::Claims> Reader<C> {
    async fn run(&mut self, mut closing: wiring::Closing) -> End {
        let mut lane = None;
        loop {
            match self.advance(&mut lane).await {
                Ok(true) => {}
                Ok(false) => return self.wait_disconnect().await,
                Err(fault) => return self.refuse(fault).await,
            }
            let between_requests = lane.is_none() && self.buffer.is_empty();
            let idle = idle_timeout(self.unanswered.subscribe(), self.head_started, self.bounds);
            let closed = async {
                // A closed channel counts as `true`.
                let _ = closing.wait_for(|c| *c).await;
                tokio::time::sleep(CLOSE_DELAY).await;
            };
            tokio::select! {
                read = self.input.read_buf(&mut self.buffer) => match read {
                    Ok(0) | Err(_) => return End::Disconnected,
                    Ok(_) => {}
                },
                // A head that does not end is no reason to drop the calls before it.
                () = idle => return self.finish().await,
                () = closed, if between_requests => return self.finish().await,
            }
            while self.lanes.try_join_next().is_some() {}
        }
    }

    /// Passes the buffer to the lanes. Returns `false` if the connection must not be read further.
    async fn advance(
        &mut self,
        lane: &mut Option<WriteHalf<DuplexStream>>,
    ) -> Result<bool, frame::Fault> {
        while !self.buffer.is_empty() {
            let step = self.framer.step(&self.buffer)?;
            if step.bytes == 0 {
                if self.framer.is_at_start() {
                    self.head_started.get_or_insert_with(tokio::time::Instant::now);
                }
                return Ok(true);
            }
            if let Some(head) = step.head {
                self.head_started = None;
                if self.is_ending() {
                    return Ok(false);
                }
                let (parsed, rest) = self.buffer.split_at(step.bytes);
                let open = !head.close && (step.end || self.framer.has_body(rest));
                match overload::refuse(&self.state, parsed, !open) {
                    Some(bytes) => self.refuse_overloaded(bytes, !open).await,
                    None => *lane = self.start_lane(head).await,
                }
                if lane.is_none() && self.is_ending() {
                    return Ok(false);
                }
            }
            if let Some(pipe) = lane {
                // Fails if the lane has answered before the end of the body; the rest is discarded.
                let _ = pipe.write_all(&self.buffer[..step.bytes]).await;
            }
            self.buffer.advance(step.bytes);
            if step.end {
                if let Some(mut pipe) = lane.take() {
                    // Tells the lane that its request is complete, so that it ends after its
                    // answer.
                    let _ = pipe.shutdown().await;
                }
                if self.is_ending() {
                    return Ok(false);
                }
            }
        }
        Ok(true)
    }

    /// Whether the connection ends after the newest lane.
    fn is_ending(&self) -> bool {
        self.newest.as_ref().is_some_and(|progress| progress.close.get())
    }

    /// Starts a lane for the next request; waits while too many requests are unanswered.
    async fn start_lane(&mut self, head: frame::Head) -> Option<WriteHalf<DuplexStream>> {
        let (near, far) = tokio::io::duplex(PIPE_BYTES);
        let (pipe, input) = tokio::io::split(near);
        let number = self.latest.get() + 1;
        self.latest.set(number);
        let progress =
            Rc::new(Progress { number, close: Cell::new(head.close), ..Progress::default() });
        self.newest = Some(Rc::clone(&progress));
        self.unanswered.send_modify(|unanswered| *unanswered += 1);
        self.answers.send(Output::Lane { pipe, progress: Rc::clone(&progress) }).await.ok()?;
        let (state, latest) = (Rc::clone(&self.state), Rc::clone(&self.latest));
        self.lanes.spawn_local(serve(state, far, progress, latest, self.bounds));
        Some(input)
    }

    /// Sends the refusal `bytes` of the next request in its turn; waits while too many requests are
    /// unanswered. `close`: the connection ends after it, as the request has a body that has yet to
    /// arrive, or the caller wants it.
    async fn refuse_overloaded(&mut self, bytes: Bytes, close: bool) {
        let number = self.latest.get() + 1;
        self.latest.set(number);
        let progress = Progress { number, close: Cell::new(close), ..Progress::default() };
        self.newest = Some(Rc::new(progress));
        self.unanswered.send_modify(|unanswered| *unanswered += 1);
        // The writer has ended only if the connection has.
        let _ = self.answers.send(Output::Refusal { bytes, close }).await;
    }

    /// Waits until the caller closes the connection; discards what it sends.
    async fn wait_disconnect(&mut self) -> End {
        self.discard().await;
        End::Disconnected
    }

    /// Discards what the caller sends until it closes the connection.
    async fn discard(&mut self) {
        loop {
            self.buffer.clear();
            match self.input.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Ends the connection once all answers have been written.
    async fn finish(&mut self) -> End {
        let mut unanswered = self.unanswered.subscribe();
        tokio::select! {
            _ = unanswered.wait_for(|unanswered| *unanswered == 0) => End::Written,
            end = self.wait_disconnect() => end,
        }
    }

    /// Refuses bytes that are no valid request and reads no further request.
    async fn refuse(&mut self, fault: frame::Fault) -> End {
        let cause = refuse::Cause::new(fault.reason()).status(fault.status());
        let refusal = refuse::Refusal::unsent(proof::Unsent::fresh(), cause);
        log::info!(reason:% = fault; "refused an invalid request of a caller");
        self.unanswered.send_modify(|unanswered| *unanswered += 1);
        // The writer has ended only if the connection has.
        let bytes = refusal_response(&refusal);
        let _ = self.answers.send(Output::Refusal { bytes, close: true }).await;
        self.wait_disconnect().await
    }
}

/// A response written without hyper, after which the connection ends.
fn refusal_response(refusal: &refuse::Refusal) -> Bytes {
    let status = refusal.status();
    let reason = status.canonical_reason().unwrap_or_default();
    let code = status.as_u16();
    format!("HTTP/1.1 {code} {reason}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").into()
}

/// Writes the answers in the order of their requests.
struct Writer {
    output: OwnedWriteHalf,
    queue: mpsc::Receiver<Output>,
    unanswered: watch::Sender<usize>,
}

impl Writer {
    async fn run(&mut self) -> End {
        let mut buffer = BytesMut::with_capacity(PIPE_BYTES);
        while let Some(answer) = self.queue.recv().await {
            let ended = match answer {
                Output::Lane { pipe, progress } => self.copy(pipe, &progress, &mut buffer).await,
                Output::Refusal { bytes, close } => match self.output.write_all(&bytes).await {
                    Ok(()) => close.then_some(End::Written),
                    Err(_) => Some(End::Disconnected),
                },
            };
            self.unanswered.send_modify(|unanswered| *unanswered = unanswered.saturating_sub(1));
            if let Some(end) = ended {
                return end;
            }
        }
        End::Disconnected
    }

    /// Copies one answer to the caller. Returns why the connection ends after it; `None` if it
    /// stays open.
    async fn copy(
        &mut self,
        mut pipe: ReadHalf<DuplexStream>,
        progress: &Progress,
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
                return Some(End::Disconnected);
            }
        }
        if !progress.complete.get() {
            return Some(End::Broken);
        }
        (progress.close.get() || !progress.answered.get()).then_some(End::Written)
    }
}

/// Serves the request of a lane.
async fn serve<C: claim::Claims>(
    state: Rc<state::State<C>>,
    pipe: DuplexStream,
    progress: Rc<Progress>,
    latest: Rc<Cell<u64>>,
    bounds: Bounds,
) {
    let answers = service::service_fn(|request| {
        let answer = entry::call(Rc::clone(&state), request);
        let (progress, latest) = (Rc::clone(&progress), Rc::clone(&latest));
        async move {
            let answer = answer.await;
            progress.answered.set(true);
            Ok::<_, std::convert::Infallible>(set_close(answer, &progress, latest.get()))
        }
    });
    let served = http1::Builder::new()
        // The input of a lane ends after its request, though the caller is still connected.
        .half_close(true)
        .max_buf_size(bounds.head.head.max(PIPE_BYTES))
        .max_headers(bounds.head.fields)
        .serve_connection(TokioIo::new(pipe), answers)
        .await;
    match served {
        Ok(()) => progress.complete.set(true),
        Err(error) => log::debug!("an answer to a caller broke off: {error}"),
    }
}

/// Records whether the connection ends after `answer`. It may do so only after the newest lane, as
/// later answers would be lost otherwise.
fn set_close(
    mut answer: http::Response<body::Reply>,
    progress: &Progress,
    latest: u64,
) -> http::Response<body::Reply> {
    let close = answer.headers().get(header::CONNECTION).is_some_and(|value| value == "close");
    if close && progress.number == latest {
        progress.close.set(true);
    } else if close {
        answer.headers_mut().remove(header::CONNECTION);
    }
    answer
}

/// Waits until the caller has been idle for too long. A caller that waits for an answer is not
/// idle.
async fn idle_timeout(
    mut unanswered: watch::Receiver<usize>,
    head_started: Option<tokio::time::Instant>,
    bounds: Bounds,
) {
    if let Some(head_started) = head_started {
        return tokio::time::sleep_until(head_started + bounds.head_timeout).await;
    }
    // If the channel is closed, the connection has ended.
    let _ = unanswered.wait_for(|unanswered| *unanswered == 0).await;
    tokio::time::sleep(bounds.idle_timeout).await;
}
