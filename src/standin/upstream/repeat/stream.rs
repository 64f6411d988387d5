//! A connection that sends copies of answers between those that its HTTP library writes.

use std::io;
use std::pin;
use std::task;

use bytes::{Buf as _, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::standin::upstream::repeat;
use crate::standin::upstream::repeat::copies;
use crate::standin::upstream::repeat::framer;

/// A connection whose answers are repeated as `source` decides.
///
/// Requests must not be pipelined: bytes that arrive after the end of an answer are taken for the
/// next request.
#[derive(Debug)]
pub struct Stream<S, D> {
    inner: S,
    source: D,
    framer: framer::Framer,
    pending: copies::Pending,
    /// Copies that are being sent.
    out: Bytes,
    /// Whether the next byte that arrives is the first one of a request.
    idle: bool,
    /// Wakes the connection when the next copy is due.
    sleep: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl<S: AsyncWrite + Unpin, D: repeat::Source + Unpin> Stream<S, D> {
    /// Repeats answers on the connection `inner`.
    pub const fn new(inner: S, source: D) -> Self {
        Self {
            inner,
            source,
            framer: framer::Framer::new(),
            pending: copies::Pending::new(),
            out: Bytes::new(),
            idle: true,
            sleep: None,
        }
    }

    /// Sends the copies that are due, unless an answer is being sent. Ready once none is left.
    fn poll_copies(&mut self, cx: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        loop {
            while !self.out.is_empty() {
                let sent = pin::Pin::new(&mut self.inner).poll_write(cx, &self.out);
                let sent = task::ready!(sent)?;
                if sent == 0 {
                    return task::Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
                }
                self.out.advance(sent);
                if self.out.is_empty() {
                    self.source.record();
                }
            }
            if !self.framer.is_between() {
                return task::Poll::Ready(Ok(()));
            }
            match self.pending.take(tokio::time::Instant::now().into_std()) {
                Some(copy) => self.out = copy,
                None if self.poll_due(cx).is_ready() => {}
                None => return task::Poll::Ready(Ok(())),
            }
        }
    }

    /// Ready when a copy that waits for its time has become due.
    fn poll_due(&mut self, cx: &mut task::Context<'_>) -> task::Poll<()> {
        let Some(at) = self.pending.next_at() else {
            self.sleep = None;
            return task::Poll::Pending;
        };
        let at = tokio::time::Instant::from_std(at);
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(at)));
        if sleep.deadline() != at {
            sleep.as_mut().reset(at);
        }
        sleep.as_mut().poll(cx)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin, D: repeat::Source + Unpin> AsyncRead for Stream<S, D> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = &mut *self;
        // A failed write shows in the next write of an answer, too.
        let _ = this.poll_copies(cx);
        let before = buf.filled().len();
        task::ready!(pin::Pin::new(&mut this.inner).poll_read(cx, buf))?;
        if this.idle && buf.filled().len() > before {
            this.idle = false;
            this.pending.requested();
            let _ = this.poll_copies(cx);
        }
        task::Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin, D: repeat::Source + Unpin> AsyncWrite for Stream<S, D> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let this = &mut *self;
        task::ready!(this.poll_copies(cx))?;
        let limit = this.framer.limit(bytes);
        let bytes = bytes.get(..limit).unwrap_or(bytes);
        let sent = task::ready!(pin::Pin::new(&mut this.inner).poll_write(cx, bytes))?;
        let sent_bytes = bytes.get(..sent).unwrap_or(bytes);
        let ended = this.framer.push(sent_bytes, |head| this.source.copies(head));
        if let framer::Progress::Ended(kept) = ended {
            this.idle = true;
            if let Some((answer, copies)) = kept {
                this.pending.answered(answer, copies, tokio::time::Instant::now().into_std());
                // What can't be sent now is sent before the next answer.
                let _ = this.poll_copies(cx);
            }
        }
        task::Poll::Ready(Ok(sent))
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = &mut *self;
        task::ready!(this.poll_copies(cx))?;
        pin::Pin::new(&mut this.inner).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
