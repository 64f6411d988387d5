//! One try of a call: request, response, and the outcome for the caller.

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

/// How much longer than the deadline the client waits, so that a late response is still seen.
const TIMEOUT_MARGIN: time::Duration = time::Duration::from_secs(1);

/// The outcome of a try, as its caller sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, and its complete response arrived.
    Served,
    /// It ran according to the header, with a status other than 2xx.
    Failed,
    /// It did not run, according to the header.
    NotRun,
    /// It may have run, according to the header.
    Unknown,
    /// A response without an error is truncated or belongs to another call, which is a bug.
    Wrong,
    /// The response has no outcome header.
    Unnamed,
    /// The connection can't be opened; nothing was sent.
    Connect,
    /// The connection broke before the response was complete.
    Broken,
    /// No complete response arrived until a second after the deadline.
    Silent,
}

/// The result of one try for its caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TryResult {
    /// Request id of the try.
    pub id: SmolStr,
    /// Idempotency key; `None` if the call has none.
    pub key: Option<SmolStr>,
    /// Its outcome.
    pub outcome: Outcome,
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// Reason of a refusal or failure from the header; of a broken connection, the error.
    pub reason: SmolStr,
    /// Time to the end of the try from its start; of a first try, from the call's intended start.
    pub latency: time::Duration,
    /// Index of the target it was sent to.
    pub target: usize,
}

/// A try that is about to be made.
pub struct Try<'a> {
    /// The flow it belongs to.
    pub flow: &'a plan::Flow,
    /// Request id, for a keyed call `KEY.NUMBER`.
    pub id: SmolStr,
    /// Idempotency key; `None` if the call has none.
    pub key: Option<SmolStr>,
    /// Index of the target it is sent to.
    pub target: usize,
    /// Start of the latency.
    pub since: time::Instant,
}

impl Try<'_> {
    /// Sends it and waits for its result.
    pub async fn make(self, client: &client::Client) -> TryResult {
        let limit = time::Duration::from_millis(self.flow.deadline_ms) + TIMEOUT_MARGIN;
        let body = body(&self.id, self.flow.body);
        let Ok(request) = self.request(client.address(self.target), body.clone()) else {
            return self.result(Outcome::Connect, 0, SmolStr::default());
        };
        match tokio::time::timeout(limit, client.send(self.target, request)).await {
            Err(_) => self.result(Outcome::Silent, 0, SmolStr::default()),
            Ok(Err(client::Error::Connect(_))) => {
                self.result(Outcome::Connect, 0, SmolStr::default())
            }
            Ok(Err(client::Error::Broken(error))) => {
                self.result(Outcome::Broken, 0, format_smolstr!("{error}"))
            }
            Ok(Ok(answer)) => {
                let outcome = self.outcome(&answer, &body);
                let reason = text(&answer, headers::REASON);
                self.result(outcome, answer.status().as_u16(), reason)
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

    /// The outcome by `answer`, the response to a request with the body `sent`.
    pub fn outcome(&self, answer: &http::Response<Bytes>, sent: &[u8]) -> Outcome {
        match text(answer, headers::OUTCOME).as_str() {
            headers::RAN if !answer.status().is_success() => Outcome::Failed,
            headers::RAN if self.is_complete(answer.body(), sent) => Outcome::Served,
            headers::RAN => Outcome::Wrong,
            headers::NOT_RUN => Outcome::NotRun,
            headers::UNKNOWN => Outcome::Unknown,
            // An upstream that is called directly sends no outcome header.
            _ if answer.status().is_success() && self.is_complete(answer.body(), sent) => {
                Outcome::Served
            }
            _ => Outcome::Unnamed,
        }
    }

    /// Whether `body` is the complete response to this try, or to another one with the same key.
    fn is_complete(&self, body: &[u8], sent: &[u8]) -> bool {
        match (answer::check(body, &self.id, sent), &self.key) {
            (Ok(_), _) => true,
            (Err(answer::Fault::WrongRequest(id)), Some(key)) => {
                let own = id.rsplit_once('.').is_some_and(|(of, _)| of == key.as_str());
                own && answer::check(body, &id, sent).is_ok()
            }
            (Err(_), _) => false,
        }
    }

    fn result(&self, outcome: Outcome, status: u16, reason: SmolStr) -> TryResult {
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

/// Whether a caller retries after `outcome`.
pub fn retries(outcome: Outcome, keyed: bool) -> bool {
    match outcome {
        Outcome::Served | Outcome::Failed | Outcome::Wrong => false,
        Outcome::NotRun | Outcome::Connect => true,
        Outcome::Unknown | Outcome::Unnamed | Outcome::Broken | Outcome::Silent => keyed,
    }
}

/// The request body, which depends on the part of `id` that all tries of a call share, so that a
/// retry sends the same bytes.
fn body(id: &str, length: usize) -> Bytes {
    let call = id.rsplit_once('.').map_or(id, |(call, _)| call);
    let seed = blake3::hash(call.as_bytes());
    seed.as_bytes().iter().copied().cycle().take(length).collect()
}

fn text(answer: &http::Response<Bytes>, name: &str) -> SmolStr {
    let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
    value.map(SmolStr::new).unwrap_or_default()
}
