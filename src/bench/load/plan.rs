//! What load is sent, and where.

use std::net;
use std::time;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Most calls a plan may send.
const MOST_CALLS: f64 = 5_000_000.0;
/// Longest a plan may run, in seconds.
const MOST_SECONDS: f64 = 600.0;

/// Calls of one kind at a steady rate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Flow {
    /// Name in the report.
    pub name: SmolStr,
    /// Method.
    pub method: SmolStr,
    /// Host header; the target's address when empty.
    pub host: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// Calls a second, spread as a Poisson process.
    pub rate: f64,
    /// Worth of one call served whole.
    pub weight: u32,
    /// Length of the request's body, in bytes.
    pub body: usize,
    /// Whether each call has an idempotency key.
    pub keyed: bool,
    /// Share of keyed calls that are sent twice at the same time, 0 to 1.
    pub twice: f64,
    /// Tries of a call with the same key, the first included; without a key only proven
    /// "not run" is tried again.
    pub tries: u32,
    /// Pause before another try, in milliseconds.
    pub pause_ms: u64,
    /// Deadline of each try, in milliseconds; the client gives up a second later.
    pub deadline_ms: u64,
}

impl Default for Flow {
    fn default() -> Self {
        Self {
            name: SmolStr::new_static("calls"),
            method: SmolStr::new_static("GET"),
            host: SmolStr::default(),
            path: SmolStr::new_static("/"),
            rate: 100.0,
            weight: 1,
            body: 0,
            keyed: false,
            twice: 0.0,
            tries: 1,
            pause_ms: 50,
            deadline_ms: 2000,
        }
    }
}

impl Flow {
    /// `rate` calls a second of `method` to `path`.
    pub fn new(name: &str, method: &str, path: &str, rate: f64) -> Self {
        let (name, method) = (SmolStr::new(name), SmolStr::new(method));
        Self { name, method, path: SmolStr::new(path), rate, ..Self::default() }
    }

    /// Host header.
    pub fn host(mut self, host: &str) -> Self {
        self.host = SmolStr::new(host);
        self
    }

    /// Worth of one call served whole.
    pub fn weight(mut self, weight: u32) -> Self {
        self.weight = weight;
        self
    }

    /// Length of the request's body, in bytes.
    pub fn body(mut self, bytes: usize) -> Self {
        self.body = bytes;
        self
    }

    /// Gives each call an idempotency key; the share `twice` is sent twice at the same time.
    pub fn keyed(mut self, twice: f64) -> Self {
        self.keyed = true;
        self.twice = twice;
        self
    }

    /// Tries of a call, the first included, and the pause between them in milliseconds.
    pub fn tries(mut self, tries: u32, pause_ms: u64) -> Self {
        self.tries = tries;
        self.pause_ms = pause_ms;
        self
    }

    /// Deadline of each try, in milliseconds.
    pub fn deadline_ms(mut self, millis: u64) -> Self {
        self.deadline_ms = millis;
        self
    }
}

/// Load of several flows on several targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Addresses that take calls; each try goes to one of them by chance.
    pub targets: Vec<net::SocketAddr>,
    /// What is sent.
    pub flows: Vec<Flow>,
    /// Time over which calls start, in seconds.
    pub seconds: f64,
    /// Time from the start on that is not counted, in seconds.
    pub warmup: f64,
    /// Seed of all chance.
    pub seed: u64,
    /// Most calls in flight in each thread; those beyond are counted as dropped.
    #[serde(rename = "most")]
    pub max_in_flight: usize,
    /// Threads that share the rates.
    pub threads: usize,
    /// Whether what callers were told is kept, call by call.
    pub keep: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            flows: Vec::new(),
            seconds: 10.0,
            warmup: 0.0,
            seed: 0,
            max_in_flight: 5000,
            threads: 1,
            keep: false,
        }
    }
}

/// Why a plan can't be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// There is no target.
    #[error("the plan has no target")]
    Targets,
    /// It runs too long, or its length is no length.
    #[error("`seconds` must be above 0 and at most {MOST_SECONDS}")]
    Seconds,
    /// It sends too many calls.
    #[error("rates and seconds must give at most {MOST_CALLS} calls")]
    Calls,
    /// It has no thread.
    #[error("`threads` must be 1 to 64")]
    Threads,
    /// A method is not valid.
    #[error("a flow's method, path or host is not valid")]
    Request,
}

impl Plan {
    /// A plan for `targets` without flows.
    pub fn new(targets: Vec<net::SocketAddr>) -> Self {
        Self { targets, ..Self::default() }
    }

    /// Adds a flow.
    pub fn flow(mut self, flow: Flow) -> Self {
        self.flows.push(flow);
        self
    }

    /// Time over which calls start, in seconds.
    pub fn seconds(mut self, seconds: f64) -> Self {
        self.seconds = seconds;
        self
    }

    /// Time from the start on that is not counted, in seconds.
    pub fn warmup(mut self, seconds: f64) -> Self {
        self.warmup = seconds;
        self
    }

    /// Seed of all chance.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Most calls in flight in each thread.
    pub fn max_in_flight(mut self, most: usize) -> Self {
        self.max_in_flight = most;
        self
    }

    /// Threads that share the rates.
    pub fn threads(mut self, threads: usize) -> Self {
        self.threads = threads;
        self
    }

    /// Keeps what callers were told, call by call.
    pub fn keep(mut self) -> Self {
        self.keep = true;
        self
    }

    /// Time that is counted.
    pub fn duration(&self) -> time::Duration {
        time::Duration::try_from_secs_f64(self.seconds - self.warmup).unwrap_or_default()
    }

    /// Checks that the plan can be run and is bounded.
    pub fn check(&self) -> Result<(), PlanError> {
        if self.targets.is_empty() {
            return Err(PlanError::Targets);
        }
        if !(self.seconds > 0.0 && self.seconds <= MOST_SECONDS) {
            return Err(PlanError::Seconds);
        }
        let rate: f64 = self.flows.iter().map(|f| f.rate).sum();
        if !(rate >= 0.0 && rate * self.seconds <= MOST_CALLS) {
            return Err(PlanError::Calls);
        }
        if !(1..=64).contains(&self.threads) {
            return Err(PlanError::Threads);
        }
        self.flows.iter().try_for_each(Flow::check)
    }
}

impl Flow {
    fn check(&self) -> Result<(), PlanError> {
        let request = http::Request::builder()
            .method(self.method.as_str())
            .uri(self.path.as_str())
            .header(http::header::HOST, self.host.as_str())
            .body(());
        request.map(drop).map_err(|_| PlanError::Request)
    }
}
