//! Bodies of answers: small ones are read whole first, long ones stream.

use std::future::Future as _;
use std::pin::Pin;
use std::task;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::{Frame, SizeHint};
use tokio::time;

use crate::proxy::error;
use crate::proxy::received_body;
use crate::proxy::refuse;
use crate::proxy::resources;
use crate::retry;

/// Body of an answer.
#[derive(Debug)]
pub enum Reply {
    /// Read whole; `None` once given out.
    Whole(Option<Bytes>),
    /// Streams.
    Stream(Box<Stream>),
}

/// A body that streams. It ends in an error when it is cut, or when the deadline passes.
#[derive(Debug)]
pub struct Stream {
    head: Option<Bytes>,
    rest: received_body::Wire,
    end: Pin<Box<time::Sleep>>,
    hold: Option<resources::Hold>,
}

impl Reply {
    /// A whole body.
    pub const fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }

    /// Reads up to `most` bytes of `rest`; a longer body streams on until `end`.
    ///
    /// `hold` is told when the last byte has been read, and goes with a body that streams.
    ///
    /// # Errors
    ///
    /// The answer may belong to a call that ran: it is cut, or not there by `end`. `hold` is left
    /// as it is.
    pub async fn read(
        mut rest: received_body::Wire,
        most: u64,
        end: time::Instant,
        hold: &mut resources::Hold,
    ) -> Result<Self, refuse::Refusal> {
        let sized = rest.size_hint().exact();
        let mut head = Bytes::new();
        let mut more = BytesMut::new();
        if sized.is_none_or(|n| n <= most) {
            loop {
                let Some(frame) = next(&mut rest, end).await? else {
                    hold.whole();
                    return Ok(Self::whole(joined(head, more)));
                };
                let Ok(data) = frame.into_data() else { continue };
                if head.is_empty() && more.is_empty() {
                    head = data;
                } else {
                    if more.is_empty() {
                        more.extend_from_slice(&head);
                    }
                    more.extend_from_slice(&data);
                }
                if head.len().max(more.len()) as u64 > most {
                    break;
                }
            }
        }
        let head = Some(joined(head, more)).filter(|h| !h.is_empty());
        let end = Box::pin(time::sleep_until(end));
        let hold = std::mem::take(hold);
        Ok(Self::Stream(Box::new(Stream { head, rest, end, hold: Some(hold) })))
    }

    /// The whole body, if it was read whole and not given out yet.
    pub const fn bytes(&self) -> Option<&Bytes> {
        match self {
            Reply::Whole(Some(bytes)) => Some(bytes),
            Reply::Whole(None) | Reply::Stream(_) => None,
        }
    }
}

/// The next frame of a body that is read whole.
async fn next(
    rest: &mut received_body::Wire,
    end: time::Instant,
) -> Result<Option<Frame<Bytes>>, refuse::Refusal> {
    let frame = time::timeout_at(end, rest.frame()).await;
    let frame = frame.map_err(|_| refuse::Refusal::unknown(retry::Reason::Timeout))?;
    frame.transpose().map_err(|_| refuse::Refusal::unknown(retry::Reason::Cut))
}

/// `more` holds everything once a second piece came.
fn joined(head: Bytes, more: BytesMut) -> Bytes {
    if more.is_empty() { head } else { more.freeze() }
}

impl Stream {
    fn poll(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, error::Broken>>> {
        if let Some(head) = self.head.take() {
            return task::Poll::Ready(Some(Ok(Frame::data(head))));
        }
        if self.hold.is_none() {
            return task::Poll::Ready(None);
        }
        if let task::Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) {
            match &frame {
                None => self.release(None),
                Some(Err(_)) => self.release(Some(retry::Reason::Cut)),
                Some(Ok(_)) => {}
            }
            return task::Poll::Ready(frame);
        }
        if self.end.as_mut().poll(cx).is_ready() {
            self.release(Some(retry::Reason::Timeout));
            return task::Poll::Ready(Some(Err(error::Broken::Late)));
        }
        task::Poll::Pending
    }

    fn release(&mut self, broken: Option<retry::Reason>) {
        let Some(mut hold) = self.hold.take() else { return };
        match broken {
            None => hold.whole(),
            Some(reason) => hold.broken(reason),
        }
    }
}

impl hyper::body::Body for Reply {
    type Data = Bytes;
    type Error = error::Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, error::Broken>>> {
        match self.get_mut() {
            Reply::Whole(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                task::Poll::Ready(bytes.map(|b| Ok(Frame::data(b))))
            }
            Reply::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Reply::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Reply::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Reply::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Reply::Stream(stream) => {
                let head = stream.head.as_ref().map_or(0, |h| h.len() as u64);
                let rest = stream.rest.size_hint().exact();
                rest.map_or_else(SizeHint::default, |n| SizeHint::with_exact(head + n))
            }
        }
    }
}
