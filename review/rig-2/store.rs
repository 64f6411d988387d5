//! A stand-in for the platform's metadata store. It answers every call soundly unless it is down.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// How often each door (an address of the store) was asked to wait for operator's records.
    waits: HashMap<usize, usize>,
    /// Whether it turns all calls away.
    down: bool,
}

#[derive(Default)]
struct Inner {
    state: Mutex<State>,
    changed: Condvar,
}

/// The store. It has one address for each node, so that a run can tell who reads what.
#[derive(Clone, Default)]
pub struct Store(Arc<Inner>);

impl Store {
    /// Opens the address that the node `door` uses.
    pub fn open(&self, ip: IpAddr, door: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream, door));
            }
        });
        Ok(address)
    }

    /// Writes the operator's configuration and returns when that was acknowledged.
    pub fn publish(&self, configuration: &str) -> Instant {
        self.put("config", configuration)
    }

    /// Writes a record of the operator and returns when that was acknowledged.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append("keyed.op", vec![record]);
        Instant::now()
    }

    /// The newest value that the system has written with `key`.
    pub fn status(&self, key: &str) -> Option<String> {
        let state = self.lock();
        let (_, value) = state.topics.get("keyed.status")?.newest.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// How often the node behind `door` waited for the operator's records.
    pub fn waits(&self, door: usize) -> usize {
        self.lock().waits.get(&door).copied().unwrap_or(0)
    }

    /// Starts to count anew.
    pub fn reset_waits(&self) {
        self.lock().waits.clear();
    }

    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.0.changed.notify_all();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn append(&self, name: &str, records: Vec<Vec<u8>>) -> u64 {
        let mut state = self.lock();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let first = topic.records.len() as u64;
        for (offset, record) in (first..).zip(records) {
            if name.starts_with("keyed.") && !record.is_empty() {
                let length = usize::from(record[0]);
                let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                let value = record[1 + length..].to_vec();
                if value.is_empty() {
                    topic.newest.remove(&key);
                } else {
                    topic.newest.insert(key, (offset, value));
                }
            }
            topic.records.push(record);
        }
        drop(state);
        self.0.changed.notify_all();
        first
    }

    fn serve(&self, stream: TcpStream, door: usize) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let answer = self.answer(&request, door);
            let answer = answer.with("Store-Era", "0");
            if answer.send(&mut out).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, door: usize) -> Message {
        if self.lock().down {
            return Message::answer(503);
        }
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let text = |name: &str| query.get(name).copied().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let topic = text("topic");
        // An answer takes 4 ms.
        thread::sleep(Duration::from_millis(4));
        match path {
            "/log-append" => {
                let end = self.end(topic);
                if query.contains_key("at") && number("at") != end {
                    return json(412, &format!("{{\"endOffset\":{end}}}"));
                }
                let records = split(&request.body);
                let count = records.len() as u64;
                let offset = self.append(topic, records);
                json(200, &format!("{{\"offset\":{offset},\"endOffset\":{}}}", offset + count))
            }
            "/log-read" => {
                if topic == "keyed.op" && number("waitMs") > 0 {
                    *self.lock().waits.entry(door).or_default() += 1;
                }
                self.read(topic, number("from"), Duration::from_millis(number("waitMs")))
            }
            "/log-newest" => self.newest(topic, text("after")),
            _ => Message::answer(404),
        }
    }

    fn end(&self, topic: &str) -> u64 {
        self.lock().topics.get(topic).map_or(0, |topic| topic.records.len() as u64)
    }

    fn read(&self, name: &str, from: u64, wait: Duration) -> Message {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let topic = state.topics.entry(name.to_owned()).or_default();
            let end = topic.records.len() as u64;
            if state.down {
                return Message::answer(503);
            }
            let topic = state.topics.entry(name.to_owned()).or_default();
            if from > end {
                return json(410, "{\"firstOffset\":0}");
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = end.to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in &topic.records[from as usize..] {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Message::answer(200).with_body(body);
            }
            state = self.0.changed.wait_timeout(state, left).unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn newest(&self, name: &str, after: &str) -> Message {
        let mut state = self.lock();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let items: Vec<String> = topic
            .newest
            .iter()
            .filter(|(key, _)| key.as_str() > after)
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let end = topic.records.len();
        let items = items.join(",");
        json(200, &format!("{{\"items\":[{items}],\"more\":false,\"endOffset\":{end}}}"))
    }
}

fn json(status: u16, body: &str) -> Message {
    Message::answer(status).with("Content-Type", "application/json").with_body(body)
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
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let word =
            part.iter().fold(0u32, |word, b| word << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index)) as usize & 63];
            out.push(if index <= part.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
