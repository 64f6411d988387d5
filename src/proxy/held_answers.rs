//! Answers to calls with an idempotency key, held for a limited time for duplicates of the call.

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
use crate::proxy::proof;
use crate::proxy::refuse;

/// Bytes counted for an answer in addition to its body.
const OVERHEAD_BYTES: usize = 512;

/// Hash of a request, to tell two requests with the same key apart.
pub type RequestHash = blake3::Hash;

/// Identifies the first call of a key at its entry node.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallId {
    /// The idempotency key.
    pub key: claim::Key,
    /// [`claim::Attempt::number`].
    pub number: u64,
}

/// A buffered answer.
#[derive(Clone, Debug)]
pub struct Answer {
    status: http::StatusCode,
    headers: header::HeaderMap,
    body: Bytes,
}

impl Answer {
    /// A copy of `answer`; `None` if its body is streamed.
    pub fn copy(answer: &http::Response<body::Reply>) -> Option<Self> {
        let body = answer.body().bytes()?.clone();
        Some(Self { status: answer.status(), headers: answer.headers().clone(), body })
    }

    /// The answer for a duplicate.
    pub fn replay(self) -> http::Response<body::Reply> {
        let mut answer = http::Response::new(body::Reply::buffered(self.body));
        *answer.status_mut() = self.status;
        *answer.headers_mut() = self.headers;
        let held = header::HeaderValue::from_static(headers::HELD);
        answer.headers_mut().insert(headers::ANSWER, held);
        answer
    }
}

/// The proof that the first call of a key did not run.
#[derive(Clone, Copy, Debug)]
pub struct Released(proof::By);

impl Released {
    /// The proof in `refusal`, that of the call; `None` if the call may have run.
    pub fn of(refusal: &refuse::Refusal) -> Option<Self> {
        refusal.by().map(Self)
    }

    /// Who vouches for it.
    pub const fn by(self) -> proof::By {
        self.0
    }
}

/// The state of the first call of a key.
#[derive(Clone, Debug)]
pub enum FirstCall {
    /// It ran; this is its answer.
    Answer(Answer),
    /// It is proven not to have run, and its claim is released.
    Released(Released),
    /// Nothing is known, or the key was used for another request.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    request_hash: RequestHash,
    /// `None` while the call is in flight.
    state: watch::Receiver<Option<FirstCall>>,
}

#[derive(Clone, Copy, Debug)]
struct HeldEntry {
    id: CallId,
    bytes: usize,
    until: time::Instant,
}

/// Limits on the held answers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum time for which an answer is held.
    pub time: time::Duration,
    /// Maximum number of answers.
    pub count: usize,
    /// Maximum number of bytes.
    pub bytes: usize,
}

/// The held answers.
///
/// Invariant: `by_age` lists the entries of calls that have ended, oldest first, and `bytes` is the
/// sum of their sizes.
#[derive(Debug)]
pub struct HeldAnswers {
    limits: Limits,
    entries: RefCell<collections::HashMap<CallId, Entry>>,
    by_age: RefCell<collections::VecDeque<HeldEntry>>,
    bytes: Cell<usize>,
}

/// A call in flight whose answer will be held. If this is dropped without an answer, duplicates get
/// [`FirstCall::Unknown`].
#[derive(Debug)]
pub struct PendingAnswer {
    held: Rc<HeldAnswers>,
    id: CallId,
    sender: watch::Sender<Option<FirstCall>>,
}

impl HeldAnswers {
    /// No held answers.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: RefCell::default(),
            by_age: RefCell::default(),
            bytes: Cell::new(0),
        }
    }

    /// Adds a call in flight.
    pub fn begin(self: &Rc<Self>, id: CallId, request_hash: RequestHash) -> PendingAnswer {
        let (sender, state) = watch::channel(None);
        self.entries.borrow_mut().insert(id, Entry { request_hash, state });
        PendingAnswer { held: Rc::clone(self), id, sender }
    }

    /// The state of the call `id`; waits while it is in flight.
    pub async fn find(&self, id: CallId, request_hash: RequestHash) -> FirstCall {
        let known = self.entries.borrow().get(&id).map(|e| (e.request_hash, e.state.clone()));
        let Some((first_hash, mut state)) = known else { return FirstCall::Unknown };
        if first_hash != request_hash {
            return FirstCall::Unknown;
        }
        match state.wait_for(Option::is_some).await {
            Ok(state) => state.clone().unwrap_or(FirstCall::Unknown),
            Err(_) => FirstCall::Unknown,
        }
    }

    /// Removes the answers that have been held for the maximum time.
    pub fn remove_expired(&self) {
        let now = time::Instant::now();
        while self.by_age.borrow().front().is_some_and(|k| k.until <= now) {
            self.drop_oldest();
        }
    }

    /// Number of held answers.
    pub fn count(&self) -> usize {
        self.by_age.borrow().len()
    }

    fn hold(&self, id: CallId, bytes: usize) {
        let until = time::Instant::now() + self.limits.time;
        self.by_age.borrow_mut().push_back(HeldEntry { id, bytes, until });
        self.bytes.set(self.bytes.get() + bytes);
        while self.count() > self.limits.count || self.bytes.get() > self.limits.bytes {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&self) {
        if let Some(oldest) = self.by_age.borrow_mut().pop_front() {
            self.bytes.set(self.bytes.get().saturating_sub(oldest.bytes));
            self.entries.borrow_mut().remove(&oldest.id);
        }
    }
}

impl PendingAnswer {
    /// The call ran: holds its answer if it is buffered.
    pub fn ran(self, answer: &http::Response<body::Reply>) {
        if let Some(answer) = Answer::copy(answer) {
            let bytes = answer.body.len() + OVERHEAD_BYTES;
            self.sender.send_replace(Some(FirstCall::Answer(answer)));
            self.held.hold(self.id, bytes);
        }
    }

    /// The call is proven not to have run.
    pub fn released(self, released: Released) {
        self.sender.send_replace(Some(FirstCall::Released(released)));
        self.held.hold(self.id, OVERHEAD_BYTES);
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if self.sender.borrow().is_none() {
            self.held.entries.borrow_mut().remove(&self.id);
        }
    }
}
