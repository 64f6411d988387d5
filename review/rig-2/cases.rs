//! The cases, one module each. A case returns whether the rule held.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::backend::Behaviour;
use crate::client;
use crate::http::Message;
use crate::mesh::{self, Mesh, Place, Route};

pub mod forgotten;
pub mod inner;
pub mod limit;
pub mod merged;
pub mod paths;
pub mod poison;
pub mod quota;
pub mod rollout;
pub mod stale;
pub mod stop;
pub mod uploads;

/// Whether the rule held, or why the case could not run.
pub type Verdict = Result<bool, String>;

/// Number of the next client attempt.
static NEXT: AtomicU64 = AtomicU64::new(1);

/// Odd, so that different numbers give different ids.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// An id of 16 hexadecimal digits, as in the examples of the pages.
fn new_id() -> String {
    format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst).wrapping_mul(SPREAD))
}

fn request(method: &str, target: &str, id: &str, timeout_ms: u64) -> Message {
    Message::request(method, target)
        .with("Host", mesh::HOST)
        .with("Attempt-Id", id)
        .with("Timeout-Ms", &timeout_ms.to_string())
}

fn route(path: &'static str, kind: &'static str, service: &'static str) -> Route {
    Route { path, kind, service, timeout_ms: 4000, latency_ms: 1000, attempts: 2 }
}

fn place(zone: &'static str, service: &'static str, behaviour: Behaviour) -> Place {
    Place { zone, service, behaviour }
}

/// A client attempt.
struct Sent {
    id: String,
    at: Instant,
    status: u16,
    /// Whether the answer is that of a backend.
    signed: bool,
}

/// Sends `message` through the node `number`, records it and waits for its answer; status 0 means
/// that there was none.
fn call(mesh: &Mesh, number: usize, id: String, message: &Message, limit: Duration) -> Sent {
    let at = Instant::now();
    let answer = client::exchange(mesh.nodes[number].outbound(), message, limit);
    let status = answer.as_ref().map_or(0, Message::status);
    let signed = answer.is_ok_and(|answer| answer.header("server-signature").is_some());
    let (target, by) = (message.target(), if signed { "a backend" } else { "no backend" });
    mesh.record
        .line_at(at, &format!("{id} {target} sent to node {number}, answered {status} by {by}"));
    Sent { id, at, status, signed }
}
