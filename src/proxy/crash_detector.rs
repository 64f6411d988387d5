//! Detects that the local upstream crashed while it ran calls.
//!
//! An upstream that crashes breaks off all its calls at once and then refuses connections. An
//! upstream that breaks off a single answer, or closes a connection, still accepts connections.

use std::cell::RefCell;
use std::io;
use std::net;
use std::time;

use tokio::net::TcpStream;
use tokio::sync;

use crate::quarantine;

#[cfg(test)]
mod tests;

/// Delay before each check. Answers that the upstream gave before the crash are read meanwhile.
const CHECK_DELAY: time::Duration = time::Duration::from_millis(10);

/// Maximum number of checks whether the other calls have been broken off, too. On a slow host, it
/// takes some time until all of them are noticed.
const MAX_CHECKS: u8 = 5;

/// A call that ran during a possible crash: its key in the running calls, and its fingerprint.
type Suspect = (u64, quarantine::Fingerprint);

/// Detects crashes of the local upstream.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// The calls that ran when a call was first broken off; `None` while there is nothing to check.
    suspects: RefCell<Option<Vec<Suspect>>>,
    woken: sync::Notify,
}

impl CrashDetector {
    /// Records that the upstream broke a call off while `suspects` ran, that call included.
    pub fn call_broken(&self, suspects: impl Iterator<Item = Suspect>) {
        let mut first = self.suspects.borrow_mut();
        if first.is_none() {
            *first = Some(suspects.collect());
            self.woken.notify_one();
        }
    }

    /// Records that the call `key` got its complete answer after all.
    pub fn call_completed(&self, key: u64) {
        if let Some(suspects) = self.suspects.borrow_mut().as_mut() {
            suspects.retain(|(other, _)| *other != key);
        }
    }

    /// Waits until the upstream has crashed while calls ran and returns their fingerprints.
    /// `is_running` tells whether a call still runs. `address` is where the upstream should accept
    /// connections, and `limit` bounds the time to open one.
    pub async fn next_crash(
        &self,
        is_running: impl Fn(u64) -> bool,
        address: impl Fn() -> Option<net::SocketAddr>,
        limit: time::Duration,
    ) -> Vec<quarantine::Fingerprint> {
        loop {
            self.woken.notified().await;
            let crashed = self.all_broken(&is_running).await
                && match address() {
                    Some(address) => refuses(address, limit).await,
                    // The upstream has stopped as planned.
                    None => false,
                };
            let suspects = self.suspects.take().unwrap_or_default();
            if crashed {
                return suspects.into_iter().map(|(_, fingerprint)| fingerprint).collect();
            }
        }
    }

    /// Whether all calls that ran with the first broken one have ended, too. This avoids a
    /// connection attempt to the upstream for a single broken answer.
    async fn all_broken(&self, is_running: impl Fn(u64) -> bool) -> bool {
        for _ in 0..MAX_CHECKS {
            tokio::time::sleep(CHECK_DELAY).await;
            let suspects = self.suspects.borrow();
            if !suspects.iter().flatten().any(|(key, _)| is_running(*key)) {
                return true;
            }
        }
        false
    }
}

/// Whether a connection to `address` is refused. A listener that is slow or full does not count as
/// crashed.
async fn refuses(address: net::SocketAddr, limit: time::Duration) -> bool {
    match tokio::time::timeout(limit, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
