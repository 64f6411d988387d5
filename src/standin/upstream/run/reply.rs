//! The response body of a call that ran, generated while it is sent.

use std::io;
use std::pin;
use std::task;
use std::time;

use bytes::Bytes;
use hyper::body;

use crate::standin::upstream::answer;

/// Maximum size of one part of the body.
const PART_BYTES: u64 = 16 * 1024;
/// Minimum number of parts of a body that is sent slowly.
const MIN_TRICKLE_PARTS: u64 = 8;

/// The part of the body that is sent next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Head,
    Filler,
    Hash,
    End,
}

/// Response body of a call that ran; see [`answer`] for its layout.
pub struct Reply {
    step: Step,
    head: Bytes,
    block: Bytes,
    /// Bytes of filler not yet sent.
    remaining: u64,
    part: u64,
    length: u64,
    hasher: blake3::Hasher,
    /// Number of remaining bytes of filler at which the body fails, if it does.
    cut: Option<u64>,
    pause: time::Duration,
    sleep: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    running: Option<super::Running>,
}

impl Reply {
    /// The response to the request `id`, whose body has the hash `hash`, with `bytes` of filler.
    /// The slot of `running` is freed with the last part.
    pub(super) fn new(id: &str, hash: &str, bytes: u64, running: super::Running) -> Self {
        let head = answer::Head { id: id.into(), request: hash.into(), bytes };
        let mut head = serde_json::to_vec(&head).unwrap_or_default();
        head.push(b'\n');
        let seed = blake3::hash(id.as_bytes());
        let part = usize::try_from(PART_BYTES).unwrap_or_default();
        let block: Vec<u8> = seed.as_bytes().iter().copied().cycle().take(part).collect();
        let length = head.len() as u64 + bytes + answer::HASH_CHARS as u64;
        Self {
            step: Step::Head,
            head: Bytes::from(head),
            block: Bytes::from(block),
            remaining: bytes,
            part: PART_BYTES,
            length,
            hasher: blake3::Hasher::new(),
            cut: None,
            pause: time::Duration::ZERO,
            sleep: None,
            running: Some(running),
        }
    }

    /// Waits for `pause` before each part and sends at least [`MIN_TRICKLE_PARTS`] parts.
    pub(super) fn trickle(mut self, pause: time::Duration) -> Self {
        self.pause = pause;
        if !pause.is_zero() {
            self.part = (self.remaining / MIN_TRICKLE_PARTS).clamp(1, PART_BYTES);
        }
        self
    }

    /// Makes the body fail in the middle of its filler if `cut`.
    pub(super) fn cut(mut self, cut: bool) -> Self {
        self.cut = cut.then_some(self.remaining / 2);
        self
    }

    fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        let bytes = match self.step {
            Step::Head => {
                self.step = if self.remaining == 0 { Step::Hash } else { Step::Filler };
                self.head.clone()
            }
            Step::Filler => {
                if self.cut.is_some_and(|at| self.remaining <= at) {
                    self.step = Step::End;
                    return Some(Err(io::Error::from(io::ErrorKind::ConnectionReset)));
                }
                let size = self.remaining.saturating_sub(self.cut.unwrap_or(0)).min(self.part);
                self.remaining -= size;
                if self.remaining == 0 {
                    self.step = Step::Hash;
                }
                self.block.slice(..usize::try_from(size).unwrap_or_default())
            }
            Step::Hash => {
                self.step = Step::End;
                self.running = None;
                let hash = self.hasher.finalize().to_hex();
                return Some(Ok(Bytes::copy_from_slice(hash.as_bytes())));
            }
            Step::End => return None,
        };
        self.hasher.update(&bytes);
        Some(Ok(bytes))
    }
}

impl body::Body for Reply {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, io::Error>>> {
        if !self.pause.is_zero() {
            let pause = self.pause;
            let sleep = self.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep(pause)));
            task::ready!(sleep.as_mut().poll(cx));
            self.sleep = None;
        }
        task::Poll::Ready(self.next().map(|part| part.map(body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.step == Step::End
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::with_exact(self.length)
    }
}
