//! Whether the log service answers, as seen by those of this process that use it.

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
    /// This process has not asked it yet.
    #[default]
    Unasked,
    /// Its last answer was a success.
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
    /// What holds after a request that ended at `unix_ms`, with success or not.
    pub const fn after(self, success: bool, unix_ms: u64) -> Self {
        match (self, success) {
            (Reachability::Answers { .. }, true) | (Reachability::Fails { .. }, false) => self,
            (_, true) => Reachability::Answers { since_unix_ms: unix_ms },
            (_, false) => Reachability::Fails { since_unix_ms: unix_ms },
        }
    }
}

/// A log service whose reachability is watched.
#[derive(Clone, Debug)]
pub struct Watched<S> {
    inner: S,
    clock: clock::System,
    reach: Arc<watch::Sender<Reachability>>,
}

impl<S> Watched<S> {
    /// Watches `inner` and tells `reach`.
    pub fn new(inner: S, clock: clock::System, reach: Arc<watch::Sender<Reachability>>) -> Self {
        Self { inner, clock, reach }
    }

    fn note(&self, success: bool) {
        let unix_ms = self.clock.unix_millis();
        self.reach.send_if_modified(|reach| {
            let after = reach.after(success, unix_ms);
            let changed = after != *reach;
            *reach = after;
            if changed {
                log::info!(reachable = success; "the log service has changed");
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
            self.note(result.is_ok());
            result
        }
    }

    fn read(
        &self,
        stream: &str,
        from: logs::Offset,
        most: u32,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<logs::Batch, Self::Error>> + Send {
        let sent = self.inner.read(stream, from, most, wait);
        async {
            let result = sent.await;
            self.note(result.is_ok());
            result
        }
    }
}
