//! A small HTTP/1.1 reader and writer.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: &str, limit: Duration) -> io::Result<Self> {
        let address = address.parse().map_err(io::Error::other)?;
        Ok(Self::new(TcpStream::connect_timeout(&address, limit)?))
    }

    /// Reads more bytes before `end`.
    fn fill(&mut self, end: Instant) -> io::Result<()> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = [0; 16_384];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buffer.extend_from_slice(&bytes[..n]);
                Ok(())
            }
        }
    }

    fn take(&mut self, count: usize, end: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill(end)?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self, end: Instant) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = self.take(at + 2, end)?;
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill(end)?;
        }
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self, limit: Duration) -> io::Result<Message> {
        let end = Instant::now() + limit;
        let mut message = Message { first: self.line(end)?, ..Message::default() };
        loop {
            let line = self.line(end)?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body of `message`, whose head was read before.
    pub fn read_body(&mut self, message: &mut Message, limit: Duration) -> io::Result<()> {
        let end = Instant::now() + limit;
        if message.header("transfer-encoding").is_some() {
            loop {
                let line = self.line(end)?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16);
                let size = size.map_err(io::Error::other)?;
                let chunk = self.take(size, end)?;
                message.body.extend_from_slice(&chunk);
                self.line(end)?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        message.body = self.take(length, end)?;
        Ok(())
    }

    /// Reads a whole message.
    pub fn read(&mut self, limit: Duration) -> io::Result<Message> {
        let end = Instant::now() + limit;
        let mut message = self.read_head(limit)?;
        self.read_body(&mut message, end.saturating_duration_since(Instant::now()))?;
        Ok(message)
    }

    /// Writes a message with its length.
    pub fn write(&mut self, first: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        self.stream.write_all(&encode(first, headers, body))
    }
}

/// The bytes of a message with its length.
pub fn encode(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{first}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}
