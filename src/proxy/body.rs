//! Bodies of answers: short ones are buffered, long ones are streamed.

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

/// The body of an answer.
#[derive(Debug)]
pub enum Reply {
    /// Read to its end; `None` once it was sent.
    Buffered(Option<Bytes>),
    /// Streamed.
    Stream(Box<Stream>),
}

/// A streamed body. It ends in an error if it breaks off or the deadline passes.
#[derive(Debug)]
pub struct Stream {
    head: Option<Bytes>,
    rest: received_body::ReceivedBody,
    end: Pin<Box<time::Sleep>>,
    resources: Option<resources::Resources>,
}

impl Reply {
    /// A body that is sent from memory.
    pub const fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Some(bytes))
    }

    /// Buffers a body of up to `max_buffered` bytes; a longer one is streamed until `end`.
    ///
    /// `resources` are released once the last byte has been read. A streamed body takes them along.
    ///
    /// # Errors
    ///
    /// An unknown outcome, as the call may have run: the body broke off, or did not end before
    /// `end`. `resources` stay with the caller of this function.
    pub async fn read(
        mut rest: received_body::ReceivedBody,
        max_buffered: u64,
        end: time::Instant,
        resources: &mut resources::Resources,
    ) -> Result<Self, refuse::Refusal> {
        let sized = rest.size_hint().exact();
        let mut head = Bytes::new();
        let mut buffer = BytesMut::new();
        if sized.is_none_or(|n| n <= max_buffered) {
            loop {
                let Some(frame) = next(&mut rest, end).await? else {
                    resources.complete();
                    return Ok(Self::buffered(concat(head, buffer)));
                };
                let Ok(data) = frame.into_data() else { continue };
                if head.is_empty() && buffer.is_empty() {
                    head = data;
                } else {
                    if buffer.is_empty() {
                        buffer.extend_from_slice(&head);
                    }
                    buffer.extend_from_slice(&data);
                }
                if head.len().max(buffer.len()) as u64 > max_buffered {
                    break;
                }
            }
        }
        let head = Some(concat(head, buffer)).filter(|h| !h.is_empty());
        let end = Box::pin(time::sleep_until(end));
        let resources = std::mem::take(resources);
        Ok(Self::Stream(Box::new(Stream { head, rest, end, resources: Some(resources) })))
    }

    /// The body, if it is buffered and was not sent yet.
    pub const fn bytes(&self) -> Option<&Bytes> {
        match self {
            Reply::Buffered(Some(bytes)) => Some(bytes),
            Reply::Buffered(None) | Reply::Stream(_) => None,
        }
    }
}

/// The next frame of a body that is being buffered.
async fn next(
    rest: &mut received_body::ReceivedBody,
    end: time::Instant,
) -> Result<Option<Frame<Bytes>>, refuse::Refusal> {
    let frame = time::timeout_at(end, rest.frame()).await;
    let frame = frame.map_err(|_| refuse::Refusal::unknown(retry::Reason::Timeout))?;
    frame.transpose().map_err(|_| refuse::Refusal::unknown(retry::Reason::Cut))
}

/// The bytes read so far: all of them are in `buffer` if it is not empty, and in `head` otherwise.
fn concat(head: Bytes, buffer: BytesMut) -> Bytes {
    if buffer.is_empty() { head } else { buffer.freeze() }
}

impl Stream {
    fn poll(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, error::Broken>>> {
        if let Some(head) = self.head.take() {
            return task::Poll::Ready(Some(Ok(Frame::data(head))));
        }
        if self.resources.is_none() {
            return task::Poll::Ready(None);
        }
        if let task::Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) {
            match &frame {
                None => self.finish(None),
                Some(Err(_)) => self.finish(Some(retry::Reason::Cut)),
                Some(Ok(_)) => {}
            }
            return task::Poll::Ready(frame);
        }
        if self.end.as_mut().poll(cx).is_ready() {
            self.finish(Some(retry::Reason::Timeout));
            return task::Poll::Ready(Some(Err(error::Broken::Timeout)));
        }
        task::Poll::Pending
    }

    fn finish(&mut self, failure: Option<retry::Reason>) {
        let Some(mut resources) = self.resources.take() else { return };
        match failure {
            None => resources.complete(),
            Some(reason) => resources.abort(reason),
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
            Reply::Buffered(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                task::Poll::Ready(bytes.map(|b| Ok(Frame::data(b))))
            }
            Reply::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Reply::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Reply::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Reply::Buffered(bytes) => {
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
