//! A body as it comes off a connection, with its end checked.

use std::pin::Pin;
use std::task;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::proxy::error;

/// Which protocol carries a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Carrier {
    /// HTTP/1.1: the library reports a body that ends early as an error.
    Plain,
    /// HTTP/2 between nodes: a reset without an error code ends a body like its real end does,
    /// so the end mark is asked for.
    Inner,
}

/// A body off a connection.
///
/// Invariant: it ends without an error only if the peer marked its end.
#[derive(Debug)]
pub struct Wire {
    body: Incoming,
    carrier: Carrier,
}

impl Wire {
    /// The body that `carrier` brings.
    pub const fn new(body: Incoming, carrier: Carrier) -> Self {
        Self { body, carrier }
    }
}

impl Body for Wire {
    type Data = Bytes;
    type Error = error::Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, error::Broken>>> {
        let frame = task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        task::Poll::Ready(match frame {
            Some(frame) => Some(frame.map_err(error::Broken::Cut)),
            None if self.carrier == Carrier::Inner && !self.body.is_end_stream() => {
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
