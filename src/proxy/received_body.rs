//! A body received on a connection, with a check of its end.

use std::pin::Pin;
use std::task;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::proxy::error;

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
}

impl ReceivedBody {
    /// A body received by `carrier`.
    pub const fn new(body: Incoming, carrier: Carrier) -> Self {
        Self { body, carrier }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = error::Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, error::Broken>>> {
        let frame = task::ready!(Pin::new(&mut self.body).poll_frame(cx));
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
