//! Finds the ends of the answers in the bytes that a connection sends.

use bytes::Bytes;

use crate::proxy::headers;
use crate::standin::upstream;
use crate::standin::upstream::repeat;

/// Maximum size of an answer that is kept for a copy.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Maximum number of headers of an answer.
const MAX_HEADERS: usize = 64;

/// Part of an answer that is sent next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Head,
    /// This many bytes of the body remain.
    Body(usize),
    /// The end of an answer can't be known, so that none is found any more.
    Lost,
}

/// Splits the bytes of a connection into answers whose length is in their head.
#[derive(Debug)]
pub struct Framer {
    step: Step,
    /// Bytes of the current answer; those of its body only if it is kept.
    bytes: Vec<u8>,
    copies: Option<repeat::Copies>,
}

/// What the head of an answer says of its length and content.
struct Parsed {
    head: repeat::Head,
    /// Size of the head.
    size: usize,
    /// Size of the body; `None` if unknown.
    body: Option<usize>,
    /// Whether the actual answer follows.
    interim: bool,
}

/// Result of [`Framer::push`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The answer goes on.
    Open,
    /// The answer has ended; with its bytes, if copies of it are to be sent.
    Ended(Option<(Bytes, repeat::Copies)>),
}

impl Framer {
    /// A framer for a new connection.
    pub const fn new() -> Self {
        Self { step: Step::Head, bytes: Vec::new(), copies: None }
    }

    /// Whether no answer has begun since the end of the last one.
    pub fn is_between(&self) -> bool {
        self.step == Step::Head && self.bytes.is_empty()
    }

    /// How many of `bytes`, which are sent next, belong to the current answer.
    pub fn limit(&self, bytes: &[u8]) -> usize {
        let whole = match self.step {
            Step::Lost => return bytes.len(),
            Step::Body(remaining) => remaining,
            Step::Head => {
                let parsed = if self.bytes.is_empty() {
                    parse(bytes)
                } else {
                    parse(&[self.bytes.as_slice(), bytes].concat())
                };
                match parsed {
                    Ok(Some(Parsed { size, body: Some(body), .. })) => {
                        (size + body).saturating_sub(self.bytes.len())
                    }
                    _ => bytes.len(),
                }
            }
        };
        whole.min(bytes.len())
    }

    /// Notes that `bytes` were sent, at most as many as [`Self::limit`] allows. `copies` decides
    /// whether the answer is repeated, once its head is known.
    pub fn push(
        &mut self,
        bytes: &[u8],
        copies: impl FnOnce(&repeat::Head) -> Option<repeat::Copies>,
    ) -> Progress {
        match self.step {
            Step::Lost => return Progress::Open,
            Step::Body(remaining) => {
                if self.copies.is_some() {
                    self.bytes.extend_from_slice(bytes);
                }
                self.step = Step::Body(remaining.saturating_sub(bytes.len()));
            }
            Step::Head => {
                self.bytes.extend_from_slice(bytes);
                match parse(&self.bytes) {
                    Ok(None) => return Progress::Open,
                    Ok(Some(Parsed { interim: true, .. })) => {
                        self.bytes.clear();
                        return Progress::Open;
                    }
                    Ok(Some(Parsed { head, size, body: Some(body), .. })) => {
                        let fits = size + body <= MAX_KEPT_BYTES;
                        self.copies = if fits { copies(&head) } else { None };
                        self.step = Step::Body((size + body).saturating_sub(self.bytes.len()));
                    }
                    Ok(Some(_)) | Err(_) => {
                        self.step = Step::Lost;
                        self.bytes.clear();
                        return Progress::Open;
                    }
                }
            }
        }
        if self.step != Step::Body(0) {
            return Progress::Open;
        }
        self.step = Step::Head;
        let bytes = std::mem::take(&mut self.bytes);
        Progress::Ended(self.copies.take().map(|copies| (Bytes::from(bytes), copies)))
    }
}

/// Parses the head of an answer; `None` if it is not complete.
fn parse(bytes: &[u8]) -> Result<Option<Parsed>, httparse::Error> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(size) = response.parse(bytes)? else { return Ok(None) };
    let text = |name: &str| {
        let field = response.headers.iter().find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(field.value).ok()
    };
    let interim = response.code.is_some_and(|code| code < 200);
    let length = text(http::header::CONTENT_LENGTH.as_str()).and_then(|l| l.parse().ok());
    let head = repeat::Head {
        id: text(headers::REQUEST_ID).unwrap_or_default().into(),
        rejection: text(upstream::HEADER) == Some(upstream::SHED),
    };
    let body = if interim { Some(0) } else { length };
    Ok(Some(Parsed { head, size, body, interim }))
}
