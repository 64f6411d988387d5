//! Where one request of a connection ends and the next begins.
//!
//! The library that serves a connection takes the next request only after the answer before it. To
//! run requests that were sent ahead side by side, a connection is cut into its requests first. The
//! rules are stricter than the library's: a request whose length two readers might take differently
//! is refused, as the rest of it could pass for a request of its own.

use crate::retry;

#[cfg(test)]
mod tests;

/// Most bytes of one line of chunked coding: a size in hexadecimal digits and its extensions.
const LINE_BYTES: usize = 1024;

/// Largest chunk, in bytes; larger ones are no request of a sound caller.
const CHUNK_BYTES: u64 = 1 << 40;

/// What a connection's bytes may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Most fields of a head.
    pub fields: usize,
}

/// Bytes that are not a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// Not HTTP/1, or a length that can be read in two ways.
    #[error("the request is malformed")]
    Malformed,
    /// The head is too large.
    #[error("the head of the request is too large")]
    TooLarge,
}

impl Fault {
    /// The reason that a caller is told.
    pub const fn reason(self) -> retry::Reason {
        match self {
            Fault::Malformed => retry::Reason::Malformed,
            Fault::TooLarge => retry::Reason::TooLarge,
        }
    }
}

/// The head of a request that has just begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Head {
    /// Whether the caller wants the connection closed behind the answer.
    pub last: bool,
}

/// How far some bytes bring a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// Bytes that belong to it; none while more have to come before anything can be said.
    pub bytes: usize,
    /// Its head, if these bytes begin with it.
    pub head: Option<Head>,
    /// Whether it ends with these bytes.
    pub end: bool,
}

/// What has to come next.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    /// The head of a request.
    #[default]
    Head,
    /// The rest of a body of known length.
    Sized(u64),
    /// The line before a chunk.
    Line,
    /// The rest of a chunk and of the line end behind it.
    Chunk(u64),
    /// The lines behind the last chunk.
    Trailer,
}

/// Cuts the bytes of a connection into requests.
#[derive(Clone, Debug)]
pub struct Framer {
    limits: Limits,
    state: State,
}

impl Framer {
    /// A framer at the beginning of a connection.
    pub const fn new(limits: Limits) -> Self {
        Self { limits, state: State::Head }
    }

    /// Whether the next byte begins a request.
    pub fn is_between(&self) -> bool {
        self.state == State::Head
    }

    /// Looks at the bytes that come next.
    ///
    /// # Errors
    ///
    /// Bytes that no request begins with or goes on with. The framer is of no use afterwards.
    pub fn step(&mut self, bytes: &[u8]) -> Result<Step, Fault> {
        match self.state {
            State::Head => self.head(bytes),
            State::Sized(left) => Ok(self.sized(left, bytes)),
            State::Line => self.line(bytes),
            State::Chunk(left) => Ok(self.chunk(left, bytes)),
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
        let body = body(request.headers)?;
        let head = Head { last: is_last(request.version, request.headers) };
        self.state = match body {
            Body::Sized(0) => State::Head,
            Body::Sized(left) => State::Sized(left),
            Body::Chunked if request.version == Some(0) => return Err(Fault::Malformed),
            Body::Chunked => State::Line,
        };
        Ok(Step { bytes: length, head: Some(head), end: self.is_between() })
    }

    fn sized(&mut self, left: u64, bytes: &[u8]) -> Step {
        let taken = left.min(bytes.len() as u64);
        self.state = if taken == left { State::Head } else { State::Sized(left - taken) };
        let bytes = usize::try_from(taken).unwrap_or(bytes.len());
        Step { bytes, head: None, end: taken == left }
    }

    fn line(&mut self, bytes: &[u8]) -> Result<Step, Fault> {
        let Some(length) = line_end(bytes)? else { return Ok(Step::default()) };
        let line = bytes.get(..length - LINE_END.len()).unwrap_or_default();
        let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
        let rest = line.get(digits..).unwrap_or_default();
        if digits == 0 || rest.first().is_some_and(|b| *b != b';') {
            return Err(Fault::Malformed);
        }
        let size = std::str::from_utf8(&line[..digits]).ok();
        let size = size.and_then(|s| u64::from_str_radix(s, 16).ok());
        let size = size.filter(|size| *size <= CHUNK_BYTES).ok_or(Fault::Malformed)?;
        let end = LINE_END.len() as u64;
        self.state = if size == 0 { State::Trailer } else { State::Chunk(size + end) };
        Ok(Step { bytes: length, ..Step::default() })
    }

    fn chunk(&mut self, left: u64, bytes: &[u8]) -> Step {
        let taken = left.min(bytes.len() as u64);
        self.state = if taken == left { State::Line } else { State::Chunk(left - taken) };
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

/// The end of a line. A bare line feed is none: some readers take it for one and some don't.
const LINE_END: &[u8] = b"\r\n";

/// Length of the line that `bytes` begin with, its end included.
fn line_end(bytes: &[u8]) -> Result<Option<usize>, Fault> {
    let within = bytes.get(..LINE_BYTES.min(bytes.len())).unwrap_or_default();
    match within.iter().position(|b| *b == b'\n') {
        Some(feed) if feed > 0 && within[feed - 1] == b'\r' => Ok(Some(feed + 1)),
        Some(_) => Err(Fault::Malformed),
        None if within.len() >= LINE_BYTES => Err(Fault::Malformed),
        None => Ok(None),
    }
}

/// How the end of a body is known.
enum Body {
    Sized(u64),
    Chunked,
}

fn body(fields: &[httparse::Header<'_>]) -> Result<Body, Fault> {
    let mut codings = named(fields, "transfer-encoding");
    let mut lengths = named(fields, "content-length");
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(Body::Sized(0)),
        (None, Some(length)) if lengths.next().is_none() => number(length).map(Body::Sized),
        (Some(coding), None) if codings.next().is_none() => {
            let chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if chunked { Ok(Body::Chunked) } else { Err(Fault::Malformed) }
        }
        // Two lengths, or a length beside a coding: each reader may believe another one.
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

fn is_last(version: Option<u8>, fields: &[httparse::Header<'_>]) -> bool {
    let mut words = named(fields, "connection").flat_map(|v| v.split(|b| *b == b','));
    let says = |word: &[u8], wanted: &[u8]| word.trim_ascii().eq_ignore_ascii_case(wanted);
    // An older caller keeps its connection only if it says so; it is closed all the same.
    version == Some(0) || words.any(|word| says(word, b"close"))
}

fn named<'a>(
    fields: &'a [httparse::Header<'a>],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> + 'a {
    fields.iter().filter(move |f| f.name.eq_ignore_ascii_case(name)).map(|f| f.value)
}
