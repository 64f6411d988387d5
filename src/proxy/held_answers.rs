//! Answers to calls with an idempotency key, held for a short time for their duplicates.

use std::cell::{Cell, RefCell};
use std::collections;
use std::rc::Rc;
use std::time;

use bytes::Bytes;
use http::header;
use tokio::sync::watch;

use crate::claim;
use crate::proxy::body;
use crate::proxy::headers;

/// Bytes counted for an answer beside its body.
const HEAD_BYTES: usize = 512;

/// A hash of what a caller asked, to tell two requests with the same key apart.
pub type Print = blake3::Hash;

/// Names the first call of a key: the key and the number of its attempt at this entry.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Name {
    /// The key.
    pub key: claim::Key,
    /// [`claim::Attempt::number`].
    pub number: u64,
}

/// An answer that was read whole.
#[derive(Clone, Debug)]
pub struct Answer {
    status: http::StatusCode,
    headers: header::HeaderMap,
    body: Bytes,
}

impl Answer {
    /// A copy of `answer`; `None` when it streams.
    pub fn copy(answer: &http::Response<body::Reply>) -> Option<Self> {
        let body = answer.body().bytes()?.clone();
        Some(Self { status: answer.status(), headers: answer.headers().clone(), body })
    }

    /// The answer for a duplicate.
    pub fn replay(self) -> http::Response<body::Reply> {
        let mut answer = http::Response::new(body::Reply::whole(self.body));
        *answer.status_mut() = self.status;
        *answer.headers_mut() = self.headers;
        let held = header::HeaderValue::from_static(headers::HELD);
        answer.headers_mut().insert(headers::ANSWER, held);
        answer
    }
}

/// How the first call of a key stands.
#[derive(Clone, Debug)]
pub enum Found {
    /// It ran; this is its answer.
    Answer(Answer),
    /// It is proven not to have run, and its claim is given up.
    Released,
    /// Nothing is known, or it was another request.
    Gone,
}

#[derive(Debug)]
struct Entry {
    print: Print,
    /// `None` while the call is in flight.
    found: watch::Receiver<Option<Found>>,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    name: Name,
    bytes: usize,
    until: time::Instant,
}

/// How much is held, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest.
    pub time: time::Duration,
    /// Most answers.
    pub count: usize,
    /// Most bytes.
    pub bytes: usize,
}

/// The answers.
///
/// Invariant: `kept` names the entries that have ended, oldest first, and `bytes` is their sum.
#[derive(Debug)]
pub struct Held {
    limits: Limits,
    entries: RefCell<collections::HashMap<Name, Entry>>,
    kept: RefCell<collections::VecDeque<Kept>>,
    bytes: Cell<usize>,
}

/// A call in flight whose answer is to be held. Dropped without an answer, its duplicates are
/// told that nothing is known.
#[derive(Debug)]
pub struct Flying {
    held: Rc<Held>,
    name: Name,
    sender: watch::Sender<Option<Found>>,
}

impl Held {
    /// Holds nothing yet.
    pub fn new(limits: Limits) -> Self {
        Self { limits, entries: RefCell::default(), kept: RefCell::default(), bytes: Cell::new(0) }
    }

    /// Notes a call in flight.
    pub fn begin(self: &Rc<Self>, name: Name, print: Print) -> Flying {
        let (sender, found) = watch::channel(None);
        self.entries.borrow_mut().insert(name, Entry { print, found });
        Flying { held: Rc::clone(self), name, sender }
    }

    /// How the call `name` stands, waiting while it is in flight.
    pub async fn find(&self, name: Name, print: Print) -> Found {
        let known = self.entries.borrow().get(&name).map(|e| (e.print, e.found.clone()));
        let Some((first, mut found)) = known else { return Found::Gone };
        if first != print {
            return Found::Gone;
        }
        match found.wait_for(Option::is_some).await {
            Ok(found) => found.clone().unwrap_or(Found::Gone),
            Err(_) => Found::Gone,
        }
    }

    /// Drops what has been held for long enough.
    pub fn tidy(&self) {
        let now = time::Instant::now();
        while self.kept.borrow().front().is_some_and(|k| k.until <= now) {
            self.drop_oldest();
        }
    }

    /// How many answers are held.
    pub fn count(&self) -> usize {
        self.kept.borrow().len()
    }

    fn keep(&self, name: Name, bytes: usize) {
        let until = time::Instant::now() + self.limits.time;
        self.kept.borrow_mut().push_back(Kept { name, bytes, until });
        self.bytes.set(self.bytes.get() + bytes);
        while self.count() > self.limits.count || self.bytes.get() > self.limits.bytes {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&self) {
        if let Some(kept) = self.kept.borrow_mut().pop_front() {
            self.bytes.set(self.bytes.get().saturating_sub(kept.bytes));
            self.entries.borrow_mut().remove(&kept.name);
        }
    }
}

impl Flying {
    /// The call ran: holds its answer if it was read whole.
    pub fn ran(self, answer: &http::Response<body::Reply>) {
        if let Some(answer) = Answer::copy(answer) {
            let bytes = answer.body.len() + HEAD_BYTES;
            self.sender.send_replace(Some(Found::Answer(answer)));
            self.held.keep(self.name, bytes);
        }
    }

    /// The call is proven not to have run.
    pub fn released(self) {
        self.sender.send_replace(Some(Found::Released));
        self.held.keep(self.name, HEAD_BYTES);
    }
}

impl Drop for Flying {
    fn drop(&mut self) {
        if self.sender.borrow().is_none() {
            self.held.entries.borrow_mut().remove(&self.name);
        }
    }
}
