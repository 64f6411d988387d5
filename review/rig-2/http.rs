//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn request(method: &str, target: &str) -> Self {
        Self { start: format!("{method} {target} HTTP/1.1"), ..Self::default() }
    }

    pub fn answer(status: u16) -> Self {
        Self { start: format!("HTTP/1.1 {status} {}", phrase(status)), ..Self::default() }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The bytes of the head, with a length for the body.
    pub fn head(&self) -> Vec<u8> {
        let mut out = format!("{}\r\n", self.start);
        for (name, value) in &self.headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        let bodiless = self.start.starts_with("GET ") || self.start.starts_with("DELETE ");
        if !(bodiless && self.body.is_empty()) {
            out.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        out.push_str("\r\n");
        out.into_bytes()
    }

    pub fn send(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut bytes = self.head();
        bytes.extend_from_slice(&self.body);
        stream.write_all(&bytes)
    }
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that belongs to the head `message`.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    if let Some(length) = message.header("content-length").and_then(|v| v.parse::<usize>().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
        return Ok(());
    }
    if !message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return Ok(());
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let digits = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(digits, 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        message.body.extend_from_slice(&chunk[..size]);
    }
}

/// Reads a whole message; `None` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}
