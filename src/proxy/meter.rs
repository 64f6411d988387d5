//! Bounds the bytes that an upstream sends without getting on with its answer.
//!
//! An upstream may send bytes that are no answer, without end: interim responses, a chunk's size of
//! any number of digits. The HTTP library reads on for as long as they come. Here, reading pauses
//! after a number of bytes, until the call that waits sees progress or gives up.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task;

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;

/// Maximum number of bytes received until the head of an answer is complete, and from one piece of
/// its body to the next. The body of an answer comes in pieces of this size at most.
pub const MAX_BYTES: usize = 65_536;

/// The bytes that may still be received on one connection.
#[derive(Debug)]
pub struct Meter {
    remaining: Cell<usize>,
    /// Whether a read was refused since the last progress.
    exhausted: Cell<bool>,
    /// Waits for room to read on.
    reader: RefCell<Option<task::Waker>>,
    /// Waits for [`Meter::poll_exhausted`].
    call: RefCell<Option<task::Waker>>,
}

impl Default for Meter {
    fn default() -> Self {
        Self {
            remaining: Cell::new(MAX_BYTES),
            exhausted: Cell::new(false),
            reader: RefCell::default(),
            call: RefCell::default(),
        }
    }
}

impl Meter {
    /// Lets the connection receive [`MAX_BYTES`] from here on, as a request was sent or a part of
    /// its answer has arrived.
    pub fn record_progress(&self) {
        self.remaining.set(MAX_BYTES);
        self.exhausted.set(false);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Ready once [`MAX_BYTES`] were received without progress and more would be read. A call must
    /// look for progress first, as that is recorded by the call itself.
    pub fn poll_exhausted(&self, cx: &task::Context<'_>) -> task::Poll<()> {
        if self.exhausted.get() {
            return task::Poll::Ready(());
        }
        self.call.replace(Some(cx.waker().clone()));
        task::Poll::Pending
    }

    /// Refuses a read, and wakes the call.
    fn refuse(&self, cx: &task::Context<'_>) {
        self.exhausted.set(true);
        self.reader.replace(Some(cx.waker().clone()));
        if let Some(call) = self.call.take() {
            call.wake();
        }
    }
}

/// A stream whose received bytes are metered.
#[derive(Debug)]
pub struct Metered {
    stream: Take<TcpStream>,
    meter: Rc<Meter>,
}

impl Metered {
    /// Meters `stream` by `meter`.
    pub fn new(stream: TcpStream, meter: Rc<Meter>) -> Self {
        Self { stream: stream.take(0), meter }
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.get_mut())
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let remaining = self.meter.remaining.get();
        if remaining == 0 {
            self.meter.refuse(cx);
            return task::Poll::Pending;
        }
        let before = buffer.filled().len();
        self.stream.set_limit(remaining as u64);
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.meter.remaining.set(remaining.saturating_sub(buffer.filled().len() - before));
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.stream().poll_write(cx, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.stream().poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }
}
