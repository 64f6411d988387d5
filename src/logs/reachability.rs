//! Reachability of the log service, as observed by the requests of this process.

use std::future;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::clock::{self, Clock as _};
use crate::logs;

/// Whether the log service answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Reachability {
    /// This process has sent no request yet.
    #[default]
    Unasked,
    /// The last request succeeded.
    Answers {
        /// Since when, in milliseconds since the Unix epoch.
        since_unix_ms: u64,
    },
    /// The last request failed.
    Fails {
        /// Since when, in milliseconds since the Unix epoch.
        since_unix_ms: u64,
    },
}

impl Reachability {
    /// The state after a request that finished at `unix_ms`.
    pub const fn after(self, success: bool, unix_ms: u64) -> Self {
        match (self, success) {
            (Reachability::Answers { .. }, true) | (Reachability::Fails { .. }, false) => self,
            (_, true) => Reachability::Answers { since_unix_ms: unix_ms },
            (_, false) => Reachability::Fails { since_unix_ms: unix_ms },
        }
    }
}

/// A log service whose reachability is observed.
#[derive(Clone, Debug)]
pub struct Watched<S> {
    inner: S,
    clock: clock::System,
    reachability: Arc<watch::Sender<Reachability>>,
}

impl<S> Watched<S> {
    /// Wraps `inner` and records its reachability in `reachability`.
    pub fn new(
        inner: S,
        clock: clock::System,
        reachability: Arc<watch::Sender<Reachability>>,
    ) -> Self {
        Self { inner, clock, reachability }
    }

    fn record(&self, success: bool) {
        let unix_ms = self.clock.unix_millis();
        self.reachability.send_if_modified(|reachability| {
            let after = reachability.after(success, unix_ms);
            let changed = after != *reachability;
            *reachability = after;
            if changed {
                log::info!(reachable = success; "the reachability of the log service changed");
            }
            changed
        });
    }
}

impl<S: logs::Service> logs::Service for Watched<S> {
    type Error = S::Error;

    fn append(
        &self,
        stream: &str,
        body: Bytes,
    ) -> impl future::Future<Output = Result<logs::Offset, Self::Error>> + Send {
        let sent = self.inner.append(stream, body);
        async {
            let result = sent.await;
            self.record(result.is_ok());
            result
        }
    }

    fn read(
        &self,
        stream: &str,
        from: logs::Offset,
        max: u32,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<logs::Batch, Self::Error>> + Send {
        let sent = self.inner.read(stream, from, max, wait);
        async {
            let result = sent.await;
            self.record(result.is_ok());
            result
        }
    }
}
