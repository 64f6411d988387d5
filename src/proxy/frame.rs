//! Finds where a request on a connection ends and the next one begins.
//!
//! hyper reads the next request of a connection only after it has answered the previous one. To run
//! pipelined requests concurrently, the bytes of a connection are split into requests first. The
//! rules are stricter than those of hyper, to prevent request smuggling: a request whose length two
//! parsers might understand differently is refused, as its rest could pass for another request.

use crate::retry;

#[cfg(test)]
mod tests;

/// Maximum length of a line of the chunked coding: a size in hexadecimal digits and its extensions.
const MAX_LINE_BYTES: usize = 1024;

/// Maximum size of a chunk. No valid request has a larger one.
const MAX_CHUNK_BYTES: u64 = 1 << 40;

/// Limits on the head of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a head, in bytes.
    pub head: usize,
    /// Maximum number of header fields.
    pub fields: usize,
}

/// Why bytes are not a valid request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// Not HTTP/1, or a request of ambiguous length.
    #[error("the request is malformed")]
    Malformed,
    /// The head is too large.
    #[error("the head of the request is too large")]
    TooLarge,
    /// The target is longer than the HTTP library reads.
    #[error("the target of the request is too long")]
    LongTarget,
}

impl Fault {
    /// The reason sent to the caller.
    pub const fn reason(self) -> retry::Reason {
        match self {
            Fault::Malformed => retry::Reason::Malformed,
            Fault::TooLarge | Fault::LongTarget => retry::Reason::TooLarge,
        }
    }

    /// The status sent to the caller.
    pub const fn status(self) -> http::StatusCode {
        match self {
            Fault::Malformed => http::StatusCode::BAD_REQUEST,
            Fault::TooLarge => http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Fault::LongTarget => http::StatusCode::URI_TOO_LONG,
        }
    }
}

/// The head of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Head {
    /// Whether the caller wants the connection closed after the answer.
    pub close: bool,
}

/// The part of a request found in some bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// Number of bytes in this part; 0 while more bytes are needed.
    pub bytes: usize,
    /// The head, if the part is a head.
    pub head: Option<Head>,
    /// Whether the request ends with this part.
    pub end: bool,
}

/// What is expected next.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    /// The head of a request.
    #[default]
    Head,
    /// The remaining bytes of a body of known length.
    Sized(u64),
    /// The line with the size of the next chunk.
    ChunkSize,
    /// The remaining bytes of a chunk and of the line end after it.
    Chunk(u64),
    /// The lines after the last chunk.
    Trailer,
}

/// Splits the bytes of a connection into requests.
#[derive(Clone, Debug)]
pub struct Framer {
    limits: Limits,
    state: State,
}

impl Framer {
    /// A framer for a new connection.
    pub const fn new(limits: Limits) -> Self {
        Self { limits, state: State::Head }
    }

    /// Whether the next byte starts a request.
    pub fn is_at_start(&self) -> bool {
        self.state == State::Head
    }

    /// Whether `bytes`, which follow the parts returned before, hold the rest of a body of known
    /// length.
    pub fn has_body(&self, bytes: &[u8]) -> bool {
        matches!(self.state, State::Sized(remaining) if remaining <= bytes.len() as u64)
    }

    /// Finds the next part of a request in `bytes`, which follow the parts returned before.
    ///
    /// # Errors
    ///
    /// The bytes are no valid request. The framer must not be used afterwards.
    pub fn step(&mut self, bytes: &[u8]) -> Result<Step, Fault> {
        match self.state {
            State::Head => self.head(bytes),
            State::Sized(remaining) => Ok(self.sized_body(remaining, bytes)),
            State::ChunkSize => self.chunk_size(bytes),
            State::Chunk(remaining) => Ok(self.chunk(remaining, bytes)),
            State::Trailer => self.trailer(bytes),
        }
    }

    fn head(&mut self, bytes: &[u8]) -> Result<Step, Fault> {
        let mut fields = vec![httparse::EMPTY_HEADER; self.limits.fields];
        let mut request = httparse::Request::new(&mut fields);
        let length = match request.parse(bytes) {
            Ok(httparse::Status::Complete(length)) if length <= self.limits.head => length,
            Ok(httparse::Status::Partial) if bytes.len() < self.limits.head => {
                return Ok(Step::default());
            }
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Fault::TooLarge),
            Err(_) => return Err(Fault::Malformed),
        };
        if request.method == Some("CONNECT") {
            return Err(Fault::Malformed);
        }
        check_target(request.path.unwrap_or_default())?;
        let framing = framing(request.headers)?;
        let head = Head { close: wants_close(request.version, request.headers) };
        self.state = match framing {
            Framing::Sized(0) => State::Head,
            Framing::Sized(remaining) => State::Sized(remaining),
            Framing::Chunked if request.version == Some(0) => return Err(Fault::Malformed),
            Framing::Chunked => State::ChunkSize,
        };
        Ok(Step { bytes: length, head: Some(head), end: self.is_at_start() })
    }

    fn sized_body(&mut self, remaining: u64, bytes: &[u8]) -> Step {
        let taken = remaining.min(bytes.len() as u64);
        self.state = if taken == remaining { State::Head } else { State::Sized(remaining - taken) };
        let bytes = usize::try_from(taken).unwrap_or(bytes.len());
        Step { bytes, head: None, end: taken == remaining }
    }

    fn chunk_size(&mut self, bytes: &[u8]) -> Result<Step, Fault> {
        let Some(length) = line_end(bytes)? else { return Ok(Step::default()) };
        let line = bytes.get(..length - LINE_END.len()).unwrap_or_default();
        let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
        let rest = line.get(digits..).unwrap_or_default();
        if digits == 0 || rest.first().is_some_and(|b| *b != b';') {
            return Err(Fault::Malformed);
        }
        let size = std::str::from_utf8(&line[..digits]).ok();
        let size = size.and_then(|s| u64::from_str_radix(s, 16).ok());
        let size = size.filter(|size| *size <= MAX_CHUNK_BYTES).ok_or(Fault::Malformed)?;
        let end = LINE_END.len() as u64;
        self.state = if size == 0 { State::Trailer } else { State::Chunk(size + end) };
        Ok(Step { bytes: length, ..Step::default() })
    }

    fn chunk(&mut self, remaining: u64, bytes: &[u8]) -> Step {
        let taken = remaining.min(bytes.len() as u64);
        self.state =
            if taken == remaining { State::ChunkSize } else { State::Chunk(remaining - taken) };
        Step { bytes: usize::try_from(taken).unwrap_or(bytes.len()), ..Step::default() }
    }

    fn trailer(&mut self, bytes: &[u8]) -> Result<Step, Fault> {
        let Some(length) = line_end(bytes)? else { return Ok(Step::default()) };
        let end = length == LINE_END.len();
        if end {
            self.state = State::Head;
        }
        Ok(Step { bytes: length, head: None, end })
    }
}

/// Maximum length of a target that the HTTP library reads.
const MAX_TARGET_BYTES: usize = u16::MAX as usize - 1;

/// Checks what the HTTP library would refuse by itself, with an answer that closes the connection.
/// Requests behind it would have been taken by then, and callers count them as not read.
fn check_target(target: &str) -> Result<(), Fault> {
    if target.len() > MAX_TARGET_BYTES {
        return Err(Fault::LongTarget);
    }
    http::Uri::try_from(target).map(drop).map_err(|_| Fault::Malformed)
}

/// The end of a line. A bare line feed is refused: some parsers accept it as a line end, others
/// don't.
const LINE_END: &[u8] = b"\r\n";

/// Length of the first line of `bytes`, including its end; `None` while the line is incomplete.
fn line_end(bytes: &[u8]) -> Result<Option<usize>, Fault> {
    let within = bytes.get(..MAX_LINE_BYTES.min(bytes.len())).unwrap_or_default();
    match within.iter().position(|b| *b == b'\n') {
        Some(feed) if feed > 0 && within[feed - 1] == b'\r' => Ok(Some(feed + 1)),
        Some(_) => Err(Fault::Malformed),
        None if within.len() >= MAX_LINE_BYTES => Err(Fault::Malformed),
        None => Ok(None),
    }
}

/// How the end of a body is marked.
enum Framing {
    Sized(u64),
    Chunked,
}

fn framing(fields: &[httparse::Header<'_>]) -> Result<Framing, Fault> {
    let mut codings = named(fields, "transfer-encoding");
    let mut lengths = named(fields, "content-length");
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(Framing::Sized(0)),
        (None, Some(length)) if lengths.next().is_none() => number(length).map(Framing::Sized),
        (Some(coding), None) if codings.next().is_none() => {
            let chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if chunked { Ok(Framing::Chunked) } else { Err(Fault::Malformed) }
        }
        // Two lengths, or a length and a coding: parsers differ in which one they use.
        _ => Err(Fault::Malformed),
    }
}

fn number(value: &[u8]) -> Result<u64, Fault> {
    let value = value.trim_ascii();
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(Fault::Malformed);
    }
    let text = std::str::from_utf8(value).map_err(|_| Fault::Malformed)?;
    text.parse().map_err(|_| Fault::Malformed)
}

fn wants_close(version: Option<u8>, fields: &[httparse::Header<'_>]) -> bool {
    let mut words = named(fields, "connection").flat_map(|v| v.split(|b| *b == b','));
    let equals = |word: &[u8], wanted: &[u8]| word.trim_ascii().eq_ignore_ascii_case(wanted);
    // An HTTP/1.0 connection stays open only if the request asks for it, which is not supported.
    version == Some(0) || words.any(|word| equals(word, b"close"))
}

fn named<'a>(
    fields: &'a [httparse::Header<'a>],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> + 'a {
    fields.iter().filter(move |f| f.name.eq_ignore_ascii_case(name)).map(|f| f.value)
}
