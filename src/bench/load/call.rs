//! One call of a caller: its tries, what it was told and whether that was whole.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::bench::load::client;
use crate::bench::load::plan;
use crate::proxy::headers;
use crate::standin::upstream::answer;

/// The client waits this much longer than its deadline before it gives up.
const MARGIN: time::Duration = time::Duration::from_secs(1);

/// How a try ended for its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, and its whole answer came.
    Served,
    /// It ran by the header, with another status than 2xx.
    Failed,
    /// It did not run, by the header.
    NotRun,
    /// It may have run, by the header.
    Unknown,
    /// An answer taken as whole is cut short, or another call's. Must never be.
    Wrong,
    /// An answer without an outcome header.
    Unnamed,
    /// No connection; nothing was sent.
    Connect,
    /// The connection broke before the whole answer.
    Broken,
    /// No whole answer until after the deadline.
    Silent,
}

/// What a caller was told about one try.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TryResult {
    /// Request id of the try.
    pub id: SmolStr,
    /// Idempotency key.
    pub key: Option<SmolStr>,
    /// How it ended.
    pub outcome: Outcome,
    /// Status; 0 without an answer.
    pub status: u16,
    /// Reason of a refusal or failure, by its header.
    pub reason: SmolStr,
    /// Time from the call's intended start, or the try's start if it is a later one, to its end.
    pub latency: time::Duration,
    /// Target it went to.
    pub target: usize,
}

/// A try to make.
pub struct Try<'a> {
    /// The flow it belongs to.
    pub flow: &'a plan::Flow,
    /// Request id, for a keyed call `KEY.NUMBER`.
    pub id: SmolStr,
    /// Idempotency key.
    pub key: Option<SmolStr>,
    /// Target it goes to.
    pub target: usize,
    /// From when on latency counts.
    pub since: time::Instant,
}

impl Try<'_> {
    /// Sends it and says what the caller was told.
    pub async fn make(self, client: &client::Client) -> TryResult {
        let limit = time::Duration::from_millis(self.flow.deadline_ms) + MARGIN;
        let body = body(&self.id, self.flow.body);
        let Ok(request) = self.request(client.address(self.target), body.clone()) else {
            return self.told(Outcome::Connect, 0, SmolStr::default());
        };
        match tokio::time::timeout(limit, client.send(self.target, request)).await {
            Err(_) => self.told(Outcome::Silent, 0, SmolStr::default()),
            Ok(Err(client::Error::Connect(_))) => {
                self.told(Outcome::Connect, 0, SmolStr::default())
            }
            Ok(Err(client::Error::Broken(error))) => {
                self.told(Outcome::Broken, 0, format_smolstr!("{error}"))
            }
            Ok(Ok(answer)) => {
                let outcome = self.outcome(&answer, &body);
                let reason = text(&answer, headers::REASON);
                self.told(outcome, answer.status().as_u16(), reason)
            }
        }
    }

    fn request(&self, to: net::SocketAddr, body: Bytes) -> Result<client::Request, http::Error> {
        let host = match self.flow.host.as_str() {
            "" => to.to_string(),
            host => host.to_owned(),
        };
        let mut request = http::Request::builder()
            .method(self.flow.method.as_str())
            .uri(self.flow.path.as_str())
            .header(http::header::HOST, host)
            .header(headers::REQUEST_ID, self.id.as_str())
            .header(headers::DEADLINE, self.flow.deadline_ms);
        if let Some(key) = &self.key {
            request = request.header(headers::IDEMPOTENCY_KEY, key.as_str());
        }
        request.body(Full::new(body))
    }

    /// What `answer` to a request with the body `sent` tells the caller.
    pub fn outcome(&self, answer: &http::Response<Bytes>, sent: &[u8]) -> Outcome {
        match text(answer, headers::OUTCOME).as_str() {
            headers::RAN if !answer.status().is_success() => Outcome::Failed,
            headers::RAN if self.whole(answer.body(), sent) => Outcome::Served,
            headers::RAN => Outcome::Wrong,
            headers::NOT_RUN => Outcome::NotRun,
            headers::UNKNOWN => Outcome::Unknown,
            // An upstream that is called without a node names no outcome.
            _ if answer.status().is_success() && self.whole(answer.body(), sent) => Outcome::Served,
            _ => Outcome::Unnamed,
        }
    }

    /// Whether `body` answers this try, or an earlier one with the same key.
    fn whole(&self, body: &[u8], sent: &[u8]) -> bool {
        match (answer::check(body, &self.id, sent), &self.key) {
            (Ok(_), _) => true,
            (Err(answer::Fault::WrongRequest(id)), Some(key)) => {
                let own = id.rsplit_once('.').is_some_and(|(of, _)| of == key.as_str());
                own && answer::check(body, &id, sent).is_ok()
            }
            (Err(_), _) => false,
        }
    }

    fn told(&self, outcome: Outcome, status: u16, reason: SmolStr) -> TryResult {
        TryResult {
            id: self.id.clone(),
            key: self.key.clone(),
            outcome,
            status,
            reason,
            latency: self.since.elapsed(),
            target: self.target,
        }
    }
}

/// Whether a caller tries again after `outcome`.
pub fn again(outcome: Outcome, keyed: bool) -> bool {
    match outcome {
        Outcome::Served | Outcome::Failed | Outcome::Wrong => false,
        Outcome::NotRun | Outcome::Connect => true,
        Outcome::Unknown | Outcome::Unnamed | Outcome::Broken | Outcome::Silent => keyed,
    }
}

/// A body that depends on the call's id, or its key, only: a repeat sends the same bytes.
fn body(id: &str, length: usize) -> Bytes {
    let call = id.rsplit_once('.').map_or(id, |(call, _)| call);
    let seed = blake3::hash(call.as_bytes());
    seed.as_bytes().iter().copied().cycle().take(length).collect()
}

fn text(answer: &http::Response<Bytes>, name: &str) -> SmolStr {
    let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
    value.map(SmolStr::new).unwrap_or_default()
}
