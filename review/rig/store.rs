//! The platform's metadata store: a log with keyed topics.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};
use crate::record::lock;

/// How long an idle connection stays open.
const IDLE: Duration = Duration::from_secs(300);

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("an address");
        let store = Self { address, state: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        store
    }

    /// Stores the operator's configuration, which the store acknowledges by returning.
    pub fn publish(&self, configuration: &str) {
        let mut record = vec![6];
        record.extend_from_slice(b"config");
        record.extend_from_slice(configuration.as_bytes());
        let appended = self.append("keyed.op", vec![record], None);
        assert!(appended.is_ok(), "an append without a condition is accepted");
    }

    /// Returns the offsets before and after, or the end if it is not `at`.
    fn append(
        &self,
        name: &str,
        records: Vec<Vec<u8>>,
        at: Option<u64>,
    ) -> Result<(u64, u64), u64> {
        let mut topics = lock(&self.state.topics);
        let topic = topics.entry(name.to_owned()).or_default();
        let first = topic.records.len() as u64;
        if at.is_some_and(|at| at != first) {
            return Err(first);
        }
        for record in records {
            let offset = topic.records.len() as u64;
            if name.starts_with("keyed.") && !record.is_empty() {
                let length = 1 + usize::from(record[0]);
                let key = String::from_utf8_lossy(&record[1..length]).into_owned();
                if record.len() == length {
                    topic.newest.remove(&key);
                } else {
                    topic.newest.insert(key, (offset, record[length..].to_vec()));
                }
            }
            topic.records.push(record);
        }
        let end = topic.records.len() as u64;
        self.state.changed.notify_all();
        Ok((first, end))
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(request) = conn.read(IDLE) {
            // The pages give 4 ms an answer.
            thread::sleep(Duration::from_millis(4));
            if self.answer(&mut conn, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, conn: &mut Conn, request: &Message) -> io::Result<()> {
        let (_, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or("");
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
        match path {
            "/log-append" => match self.append(topic, split(&request.body), number("at")) {
                Ok((first, end)) => {
                    json(conn, "200 OK", &format!("{{\"offset\":{first},\"endOffset\":{end}}}"))
                }
                Err(end) => {
                    json(conn, "412 Precondition Failed", &format!("{{\"endOffset\":{end}}}"))
                }
            },
            "/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                let body = self.read(topic, number("from").unwrap_or(0), wait);
                conn.write("HTTP/1.1 200 OK", &[], &body)
            }
            "/log-newest" => json(conn, "200 OK", &self.newest(topic)),
            _ => json(conn, "404 Not Found", "{}"),
        }
    }

    fn read(&self, name: &str, from: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = lock(&self.state.topics);
        loop {
            let topic = topics.entry(name.to_owned()).or_default();
            let end = topic.records.len() as u64;
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = end.to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in topic.records.iter().skip(usize::try_from(from).unwrap_or(usize::MAX))
                {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return body;
            }
            let waited = self.state.changed.wait_timeout(topics, left);
            topics = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, name: &str) -> String {
        let mut topics = lock(&self.state.topics);
        let topic = topics.entry(name.to_owned()).or_default();
        let items: Vec<String> = topic
            .newest
            .iter()
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let end = topic.records.len();
        format!("{{\"items\":[{}],\"more\":false,\"endOffset\":{end}}}", items.join(","))
    }
}

fn json(conn: &mut Conn, status: &str, body: &str) -> io::Result<()> {
    let kind = [("Content-Type", "application/json")];
    conn.write(&format!("HTTP/1.1 {status}"), &kind, body.as_bytes())
}

/// The records in the body of an append.
fn split(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let length = (u32::from_be_bytes(*length) as usize).min(rest.len());
        records.push(rest[..length].to_vec());
        body = &rest[length..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) & 63;
            text.push(if digit <= chunk.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    text
}
