//! A body received on a connection, with a check of its end.

use std::pin::Pin;
use std::rc::Rc;
use std::task;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::proxy::error;
use crate::proxy::meter;

/// Which protocol carries a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Carrier {
    /// HTTP/1.1: hyper reports a body that ends early as an error.
    Http1,
    /// HTTP/2 between nodes: hyper does not tell a reset without an error code from the end of a
    /// body, so the end-of-stream flag is checked.
    Http2,
}

/// A body received on a connection.
///
/// Invariant: it ends without an error only if the peer marked its end.
#[derive(Debug)]
pub struct ReceivedBody {
    body: Incoming,
    carrier: Carrier,
    /// Bounds what is received without a part of the body; `None`: not bounded here.
    meter: Option<Rc<meter::Meter>>,
}

impl ReceivedBody {
    /// A body received by `carrier`.
    pub const fn new(body: Incoming, carrier: Carrier) -> Self {
        Self { body, carrier, meter: None }
    }

    /// The body of an upstream's answer, which fails if bytes come without end that are no part of
    /// it.
    pub const fn metered(body: Incoming, meter: Option<Rc<meter::Meter>>) -> Self {
        Self { body, carrier: Carrier::Http1, meter }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = error::Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, error::Broken>>> {
        let task::Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
            let exhausted = self.meter.as_ref().map(|meter| meter.poll_exhausted(cx));
            return match exhausted {
                Some(task::Poll::Ready(())) => task::Poll::Ready(Some(Err(error::Broken::Endless))),
                Some(task::Poll::Pending) | None => task::Poll::Pending,
            };
        };
        if let Some(meter) = &self.meter {
            meter.record_progress();
        }
        task::Poll::Ready(match frame {
            Some(frame) => Some(frame.map_err(error::Broken::Cut)),
            None if self.carrier == Carrier::Http2 && !self.body.is_end_stream() => {
                Some(Err(error::Broken::Reset))
            }
            None => None,
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
