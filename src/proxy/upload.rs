//! Bodies of requests: short ones are buffered, so that another attempt can send them again; long
//! ones are streamed with back pressure.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::{Frame, SizeHint};

use crate::proxy::body_memory;
use crate::proxy::error;
use crate::proxy::received_body;
use crate::quarantine;
use crate::retry;

/// The body of a request, from which each attempt gets its own [`Upload`].
#[derive(Debug)]
pub enum Body {
    /// Read to its end.
    Buffered(Buffered),
    /// Too large to buffer.
    Stream(Rc<RefCell<Streamed>>),
}

/// A buffered body.
#[derive(Debug, Default)]
pub struct Buffered {
    /// All bytes of the body.
    pub bytes: Bytes,
    /// Its share of the memory for bodies; `None` for an empty body.
    _reservation: Option<body_memory::Reservation>,
}

/// Reads the frames of a body, and may delay them so that bodies share a link.
pub trait FrameReader {
    /// Reads the next frame of `rest` as soon as it may be read; `None` at the end.
    fn next(
        &mut self,
        rest: &mut received_body::ReceivedBody,
    ) -> impl Future<Output = Option<Result<Frame<Bytes>, error::Broken>>>;
}

/// Reads each frame without delay.
#[derive(Clone, Copy, Debug)]
pub struct Immediate;

impl FrameReader for Immediate {
    async fn next(
        &mut self,
        rest: &mut received_body::ReceivedBody,
    ) -> Option<Result<Frame<Bytes>, error::Broken>> {
        rest.frame().await
    }
}

/// Limits on reading a body.
#[derive(Clone, Copy, Debug)]
pub struct Bounds<'a> {
    /// Maximum size of a buffered body, in bytes.
    pub max_buffered: u64,
    /// Maximum size of any body, in bytes.
    pub max_bytes: u64,
    /// Memory for all buffered bodies of the process.
    pub memory: &'a Rc<body_memory::BodyMemory>,
}

/// A streamed body.
#[derive(Debug)]
pub struct Streamed {
    /// The bytes read before the first attempt; each attempt starts with them.
    head: Bytes,
    rest: received_body::ReceivedBody,
    /// Number of the attempt that may read, the newest one; no attempt has the number 0.
    reader: u32,
    /// Whether an attempt has read from `rest`, so that no other attempt can start.
    started: bool,
    /// Number of bytes read so far.
    received: u64,
    max_bytes: u64,
    /// Whether its marked end has been read.
    ended: bool,
    /// Why the body ended early; `None` if it has not.
    fault: Option<retry::Reason>,
}

/// How far the body of an attempt has been read, also after it was handed over to be sent.
#[derive(Debug)]
pub struct Progress(Option<Rc<RefCell<Streamed>>>);

/// The body of an attempt.
#[derive(Debug)]
pub enum Upload {
    /// A buffered body; `None` once it was sent.
    Buffered(Option<Bytes>),
    /// A streamed body, and what the attempt has of it.
    Stream(Rc<RefCell<Streamed>>, Part),
}

/// What an attempt has of a streamed body.
#[derive(Debug)]
pub struct Part {
    /// Number of the attempt.
    attempt: u32,
    /// Whether it has sent the head.
    head_sent: bool,
}

impl Body {
    /// Buffers a body of up to `bounds.max_buffered` bytes. A longer one is streamed, and so is one
    /// for which there is not enough memory.
    ///
    /// # Errors
    ///
    /// [`retry::Reason::TooLarge`] if it is known to be larger than `bounds.max_bytes`,
    /// [`retry::Reason::Cut`] if it ends early.
    pub async fn read<R: FrameReader>(
        mut rest: received_body::ReceivedBody,
        bounds: &Bounds<'_>,
        reader: &mut R,
    ) -> Result<Self, retry::Reason> {
        let &Bounds { max_buffered, max_bytes, memory } = bounds;
        if rest.is_end_stream() {
            return Ok(Self::Buffered(Buffered::default()));
        }
        let sized = rest.size_hint().exact();
        if sized.is_some_and(|n| n > max_bytes) {
            return Err(retry::Reason::TooLarge);
        }
        let mut head = BytesMut::new();
        let reservation = if sized.is_none_or(|n| n <= max_buffered) {
            memory.reserve(sized.unwrap_or(max_buffered))
        } else {
            None
        };
        if let Some(mut reservation) = reservation {
            while head.len() as u64 <= max_buffered {
                let frame = reader.next(&mut rest).await.transpose();
                let Some(frame) = frame.map_err(|_| retry::Reason::Cut)? else {
                    reservation.shrink(head.len() as u64);
                    return Ok(Self::Buffered(Buffered {
                        bytes: head.freeze(),
                        _reservation: Some(reservation),
                    }));
                };
                let Ok(data) = frame.into_data() else { continue };
                head.extend_from_slice(&data);
                if head.len() as u64 > max_bytes {
                    return Err(retry::Reason::TooLarge);
                }
            }
        }
        let received = head.len() as u64;
        let stream = Streamed {
            head: head.freeze(),
            rest,
            reader: 0,
            started: false,
            received,
            max_bytes,
            ended: false,
            fault: None,
        };
        Ok(Self::Stream(Rc::new(RefCell::new(stream))))
    }

    /// The body for an attempt.
    ///
    /// Invariant: of a streamed body, the newest attempt alone reads. A connection may hold on to
    /// the body of an attempt that was refused, and would take parts of it from the next one.
    pub fn attempt(&self) -> Upload {
        match self {
            Body::Buffered(body) => Upload::Buffered(Some(body.bytes.clone())),
            Body::Stream(stream) => {
                let attempt = stream.borrow_mut().next_reader();
                Upload::Stream(Rc::clone(stream), Part { attempt, head_sent: false })
            }
        }
    }

    /// Ends the newest attempt, which must send no more of a streamed body.
    pub fn end_attempt(&self) {
        if let Body::Stream(stream) = self {
            stream.borrow_mut().next_reader();
        }
    }

    /// Size of the body in bytes; a lower bound if its length is not known.
    pub fn bytes(&self) -> u64 {
        match self {
            Body::Buffered(body) => body.bytes.len() as u64,
            Body::Stream(stream) => {
                let stream = stream.borrow();
                let rest = stream.rest.size_hint();
                stream.head.len() as u64 + rest.exact().unwrap_or(rest.lower())
            }
        }
    }

    /// Whether another attempt can send the body from its start.
    pub fn is_repeatable(&self) -> bool {
        match self {
            Body::Buffered(_) => true,
            Body::Stream(stream) => !stream.borrow().started,
        }
    }

    /// Why the body ended early; `None` if it has not.
    pub fn fault(&self) -> Option<retry::Reason> {
        match self {
            Body::Buffered(_) => None,
            Body::Stream(stream) => stream.borrow().fault,
        }
    }
}

impl Streamed {
    /// Takes the body from the attempt that reads it. Returns the number of the next one.
    const fn next_reader(&mut self) -> u32 {
        self.reader += 1;
        self.reader
    }

    fn poll(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, error::Broken>>> {
        self.started = true;
        let frame = task::ready!(Pin::new(&mut self.rest).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            self.received += frame.data_ref().map_or(0, |d| d.len() as u64);
        }
        self.ended |= frame.is_none();
        if frame.as_ref().is_some_and(Result::is_err) {
            self.fault = Some(retry::Reason::Cut);
        }
        if self.received > self.max_bytes {
            self.fault = Some(retry::Reason::TooLarge);
            let max_bytes = self.max_bytes;
            return task::Poll::Ready(Some(Err(error::Broken::TooLarge { limit: max_bytes })));
        }
        task::Poll::Ready(frame)
    }
}

impl Progress {
    /// Whether the body has been read to its end, so that the caller has nothing more to send.
    pub fn is_complete(&self) -> bool {
        self.0.as_ref().is_none_or(|stream| {
            let stream = stream.borrow();
            stream.ended || stream.rest.is_end_stream()
        })
    }
}

impl Upload {
    /// The progress of this body.
    pub fn progress(&self) -> Progress {
        match self {
            Upload::Buffered(_) => Progress(None),
            Upload::Stream(stream, _) => Progress(Some(Rc::clone(stream))),
        }
    }

    /// The form of the body from which the request's fingerprint is computed. Invariant: nothing
    /// was sent yet.
    pub fn fingerprint_body(&self) -> quarantine::Body<'_> {
        match self {
            Upload::Buffered(bytes) => {
                quarantine::Body::Complete(bytes.as_deref().unwrap_or_default())
            }
            Upload::Stream(..) => quarantine::Body::Streamed(self.size_hint().exact()),
        }
    }
}

impl hyper::body::Body for Upload {
    type Data = Bytes;
    type Error = error::Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, error::Broken>>> {
        match self.get_mut() {
            Upload::Buffered(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                task::Poll::Ready(bytes.map(|b| Ok(Frame::data(b))))
            }
            Upload::Stream(stream, part) => {
                let mut stream = stream.borrow_mut();
                if part.attempt != stream.reader {
                    return task::Poll::Ready(Some(Err(error::Broken::AttemptEnded)));
                }
                if !part.head_sent {
                    part.head_sent = true;
                    if !stream.head.is_empty() {
                        return task::Poll::Ready(Some(Ok(Frame::data(stream.head.clone()))));
                    }
                }
                stream.poll(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Upload::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Upload::Stream(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Upload::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Upload::Stream(stream, part) => {
                let stream = stream.borrow();
                let head = if part.head_sent { 0 } else { stream.head.len() as u64 };
                let rest = stream.rest.size_hint().exact();
                rest.map_or_else(SizeHint::default, |n| SizeHint::with_exact(head + n))
            }
        }
    }
}
