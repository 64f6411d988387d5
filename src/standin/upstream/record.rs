//! The record of the calls that an upstream ran.

use std::collections;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Maximum number of request ids kept; further ones are only counted in [`Record::lost`].
const MAX_IDS: usize = 400_000;

/// The runs of one request id.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Idempotency key, if the request had one.
    pub key: Option<SmolStr>,
    /// Path of the request.
    pub path: SmolStr,
    /// Runs started.
    pub starts: u32,
    /// Runs that completed.
    pub ends: u32,
    /// Runs cancelled because the connection closed or the deadline passed.
    pub cancels: u32,
    /// Wall-clock time of the last start, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// A limit that an upstream names in its responses from a time on.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct NamedLimit {
    /// Calls a second; 0 if it names none any more.
    pub rate: f64,
    /// Wall-clock time of the first such response, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// All runs of one upstream.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// By request id.
    pub runs: collections::BTreeMap<SmolStr, Run>,
    /// Runs started under each idempotency key.
    pub keys: collections::BTreeMap<SmolStr, u32>,
    /// Runs started.
    pub starts: u64,
    /// Calls shed.
    pub sheds: u64,
    /// Answers sent once more.
    pub repeats: u64,
    /// Connections closed at once because there were too many.
    pub refusals: u64,
    /// Maximum number of calls that ran at the same time.
    pub peak: u32,
    /// Wall-clock time of the last start, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Wall-clock time at which the drain began, in milliseconds since the Unix epoch.
    pub drain_unix_ms: Option<u64>,
    /// Wall-clock time at which the node acknowledged the withdrawal, in milliseconds since the Unix
    /// epoch.
    pub withdrawn_unix_ms: Option<u64>,
    /// The limits named, in order.
    pub limits: Vec<NamedLimit>,
    /// Wall-clock time of the first response that said that it leaves, in milliseconds since the
    /// Unix epoch.
    pub leaving_unix_ms: Option<u64>,
    /// Runs started that are not in `runs` because there were too many ids.
    pub lost: u64,
}

impl Record {
    /// Records the start of a run.
    pub fn start(&mut self, id: &SmolStr, key: Option<&SmolStr>, path: &str, unix_ms: u64) {
        self.starts += 1;
        self.unix_ms = unix_ms;
        if self.runs.len() >= MAX_IDS && !self.runs.contains_key(id) {
            self.lost += 1;
            return;
        }
        if let Some(key) = key {
            *self.keys.entry(key.clone()).or_default() += 1;
        }
        let run = self.runs.entry(id.clone()).or_default();
        run.key = key.cloned();
        run.path = SmolStr::new(path);
        run.starts += 1;
        run.unix_ms = unix_ms;
    }

    /// Records what a response at `unix_ms` says of the upstream.
    pub fn say(&mut self, limit: f64, leaving: bool, unix_ms: u64) {
        if self.limits.last().map_or(0.0, |named| named.rate) != limit {
            self.limits.push(NamedLimit { rate: limit, unix_ms });
        }
        if leaving {
            self.leaving_unix_ms.get_or_insert(unix_ms);
        }
    }

    /// Records that the run of `id` completed.
    pub fn end(&mut self, id: &SmolStr) {
        if let Some(run) = self.runs.get_mut(id) {
            run.ends += 1;
        }
    }

    /// Records that the run of `id` was cancelled.
    pub fn cancel(&mut self, id: &SmolStr) {
        if let Some(run) = self.runs.get_mut(id) {
            run.cancels += 1;
        }
    }
}
