//! The plan of a load: the flows of calls and their targets.

use std::net;
use std::time;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Maximum number of calls of a plan.
const MAX_CALLS: f64 = 5_000_000.0;
/// Maximum duration of a plan.
const MAX_SECONDS: f64 = 600.0;

/// Calls of one kind at a constant mean rate.
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
    /// Mean number of calls per second, which start as a Poisson process.
    pub rate: f64,
    /// Weight of a served call in the goodput.
    pub weight: u32,
    /// Length of the request's body, in bytes.
    pub body: usize,
    /// Whether each call has an idempotency key.
    pub keyed: bool,
    /// Share of keyed calls that are sent twice at the same time, 0 to 1.
    pub twice: f64,
    /// Maximum number of tries of a call, including the first. A call without a key is only retried
    /// if it has certainly not run.
    pub tries: u32,
    /// Pause before a retry, in milliseconds.
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
    /// `rate` calls per second of `method` to `path`.
    pub fn new(name: &str, method: &str, path: &str, rate: f64) -> Self {
        let (name, method) = (SmolStr::new(name), SmolStr::new(method));
        Self { name, method, path: SmolStr::new(path), rate, ..Self::default() }
    }

    /// Host header.
    pub fn host(mut self, host: &str) -> Self {
        self.host = SmolStr::new(host);
        self
    }

    /// Weight of a served call in the goodput.
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

    /// Maximum number of tries of a call, and the pause before a retry in milliseconds.
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
    /// Addresses to which calls are sent; each try goes to a random one.
    pub targets: Vec<net::SocketAddr>,
    /// The calls to send.
    pub flows: Vec<Flow>,
    /// Time over which calls start, in seconds.
    pub seconds: f64,
    /// Time at the start whose calls are not counted, in seconds.
    pub warmup: f64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Maximum number of calls in flight in each thread; further ones are counted as dropped.
    #[serde(rename = "most")]
    pub max_in_flight: usize,
    /// Number of threads, each of which has an equal share of the rates.
    pub threads: usize,
    /// Whether the result of every try is kept.
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
    /// Its duration is too long, not positive, or not a number.
    #[error("`seconds` must be above 0 and at most {MAX_SECONDS}")]
    Seconds,
    /// It sends too many calls, or a rate is not a number.
    #[error("rates and seconds must give at most {MAX_CALLS} calls")]
    Calls,
    /// It has no thread, or too many.
    #[error("`threads` must be 1 to 64")]
    Threads,
    /// The method, path or host of a flow is not valid.
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

    /// Time at the start whose calls are not counted, in seconds.
    pub fn warmup(mut self, seconds: f64) -> Self {
        self.warmup = seconds;
        self
    }

    /// Seed of all random numbers.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Maximum number of calls in flight in each thread.
    pub fn max_in_flight(mut self, max: usize) -> Self {
        self.max_in_flight = max;
        self
    }

    /// Number of threads, each of which has an equal share of the rates.
    pub fn threads(mut self, threads: usize) -> Self {
        self.threads = threads;
        self
    }

    /// Keeps the result of every try.
    pub fn keep(mut self) -> Self {
        self.keep = true;
        self
    }

    /// Time whose calls are counted.
    pub fn duration(&self) -> time::Duration {
        time::Duration::try_from_secs_f64(self.seconds - self.warmup).unwrap_or_default()
    }

    /// Checks that the plan can be run and is within the limits.
    pub fn check(&self) -> Result<(), PlanError> {
        if self.targets.is_empty() {
            return Err(PlanError::Targets);
        }
        if !(self.seconds > 0.0 && self.seconds <= MAX_SECONDS) {
            return Err(PlanError::Seconds);
        }
        let rate: f64 = self.flows.iter().map(|f| f.rate).sum();
        if !(rate >= 0.0 && rate * self.seconds <= MAX_CALLS) {
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
