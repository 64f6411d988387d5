//! Bodies of requests: small ones are kept for another attempt, long ones stream with back
//! pressure.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::{Frame, SizeHint};

use crate::proxy::error;
use crate::proxy::room;
use crate::proxy::wire;
use crate::quarantine;
use crate::retry;

/// A request's body at the entry, from which each attempt gets its own [`Upload`].
#[derive(Debug)]
pub enum Intake {
    /// Read whole.
    Kept(Kept),
    /// Too large to keep.
    Stream(Rc<RefCell<Source>>),
}

/// A body that was read whole.
#[derive(Debug, Default)]
pub struct Kept {
    /// The body.
    pub bytes: Bytes,
    /// Its share of the memory for bodies; an empty one has none.
    _share: Option<room::Share>,
}

/// Brings the parts of a body in one after the other.
pub trait Pace {
    /// The next part of `rest`, when it may come in.
    fn next(
        &mut self,
        rest: &mut wire::Wire,
    ) -> impl Future<Output = Option<Result<Frame<Bytes>, error::Broken>>>;
}

/// Each part comes in as soon as it is there.
#[derive(Clone, Copy, Debug)]
pub struct AtOnce;

impl Pace for AtOnce {
    async fn next(&mut self, rest: &mut wire::Wire) -> Option<Result<Frame<Bytes>, error::Broken>> {
        rest.frame().await
    }
}

/// How much of a body may be held.
#[derive(Clone, Copy, Debug)]
pub struct Bounds<'a> {
    /// Largest body that is read whole, in bytes.
    pub keep: u64,
    /// Largest body, in bytes.
    pub limit: u64,
    /// Memory for all bodies that are read whole.
    pub room: &'a Rc<room::Room>,
}

/// A body that streams.
#[derive(Debug)]
pub struct Source {
    /// What was read before the first attempt; each attempt starts with it.
    head: Bytes,
    rest: wire::Wire,
    /// Whether an attempt has taken a byte of `rest`, so that no other can begin.
    taken: bool,
    /// Bytes read so far.
    seen: u64,
    limit: u64,
    /// Why it ended early.
    fault: Option<retry::Reason>,
}

/// Body of one attempt.
#[derive(Debug)]
pub enum Upload {
    /// Read whole; `None` once given out.
    Kept(Option<Bytes>),
    /// Streams; the flag says that the head was given out.
    Stream(Rc<RefCell<Source>>, bool),
}

impl Intake {
    /// Reads a body up to `bounds.keep` bytes; a longer one streams, and so does one that there is
    /// no room for.
    ///
    /// # Errors
    ///
    /// [`retry::Reason::TooLarge`] when it is known to be larger than `bounds.limit` bytes,
    /// [`retry::Reason::Cut`] when it ends early.
    pub async fn read<P: Pace>(
        mut rest: wire::Wire,
        bounds: &Bounds<'_>,
        pace: &mut P,
    ) -> Result<Self, retry::Reason> {
        let &Bounds { keep, limit, room } = bounds;
        if rest.is_end_stream() {
            return Ok(Self::Kept(Kept::default()));
        }
        let sized = rest.size_hint().exact();
        if sized.is_some_and(|n| n > limit) {
            return Err(retry::Reason::TooLarge);
        }
        let mut head = BytesMut::new();
        let share =
            if sized.is_none_or(|n| n <= keep) { room.take(sized.unwrap_or(keep)) } else { None };
        if let Some(mut share) = share {
            while head.len() as u64 <= keep {
                let frame = pace.next(&mut rest).await.transpose();
                let Some(frame) = frame.map_err(|_| retry::Reason::Cut)? else {
                    share.shrink(head.len() as u64);
                    return Ok(Self::Kept(Kept { bytes: head.freeze(), _share: Some(share) }));
                };
                let Ok(data) = frame.into_data() else { continue };
                head.extend_from_slice(&data);
                if head.len() as u64 > limit {
                    return Err(retry::Reason::TooLarge);
                }
            }
        }
        let seen = head.len() as u64;
        let source = Source { head: head.freeze(), rest, taken: false, seen, limit, fault: None };
        Ok(Self::Stream(Rc::new(RefCell::new(source))))
    }

    /// The body for one attempt.
    ///
    /// Invariant: at most one attempt of a streaming body is under way at a time.
    pub fn attempt(&self) -> Upload {
        match self {
            Intake::Kept(kept) => Upload::Kept(Some(kept.bytes.clone())),
            Intake::Stream(source) => Upload::Stream(Rc::clone(source), false),
        }
    }

    /// Bytes of the body, as far as they are known.
    pub fn bytes(&self) -> u64 {
        match self {
            Intake::Kept(kept) => kept.bytes.len() as u64,
            Intake::Stream(source) => {
                let source = source.borrow();
                let rest = source.rest.size_hint();
                source.head.len() as u64 + rest.exact().unwrap_or(rest.lower())
            }
        }
    }

    /// Whether another attempt can have the body from its start.
    pub fn repeats(&self) -> bool {
        match self {
            Intake::Kept(_) => true,
            Intake::Stream(source) => !source.borrow().taken,
        }
    }

    /// Why the body ended early, if it did.
    pub fn fault(&self) -> Option<retry::Reason> {
        match self {
            Intake::Kept(_) => None,
            Intake::Stream(source) => source.borrow().fault,
        }
    }
}

impl Source {
    fn poll(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, error::Broken>>> {
        self.taken = true;
        let frame = task::ready!(Pin::new(&mut self.rest).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            self.seen += frame.data_ref().map_or(0, |d| d.len() as u64);
        }
        if frame.as_ref().is_some_and(Result::is_err) {
            self.fault = Some(retry::Reason::Cut);
        }
        if self.seen > self.limit {
            self.fault = Some(retry::Reason::TooLarge);
            let limit = self.limit;
            return task::Poll::Ready(Some(Err(error::Broken::TooLarge { limit })));
        }
        task::Poll::Ready(frame)
    }
}

impl Upload {
    /// The body as its request's fingerprint takes it. Invariant: nothing was given out yet.
    pub fn print(&self) -> quarantine::Body<'_> {
        match self {
            Upload::Kept(bytes) => quarantine::Body::Complete(bytes.as_deref().unwrap_or_default()),
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
            Upload::Kept(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                task::Poll::Ready(bytes.map(|b| Ok(Frame::data(b))))
            }
            Upload::Stream(source, given) => {
                let mut source = source.borrow_mut();
                if !*given {
                    *given = true;
                    if !source.head.is_empty() {
                        return task::Poll::Ready(Some(Ok(Frame::data(source.head.clone()))));
                    }
                }
                source.poll(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Upload::Kept(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Upload::Stream(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Upload::Kept(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Upload::Stream(source, given) => {
                let source = source.borrow();
                let head = if *given { 0 } else { source.head.len() as u64 };
                let rest = source.rest.size_hint().exact();
                rest.map_or_else(SizeHint::default, |n| SizeHint::with_exact(head + n))
            }
        }
    }
}
