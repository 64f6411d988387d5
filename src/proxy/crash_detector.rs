//! Finds out that the upstream beside this node has ended while it ran calls.
//!
//! An upstream that ends breaks all its calls off at once and takes no connection any more; one that
//! breaks off a single answer, or closes a connection, still takes one.

use std::cell::RefCell;
use std::io;
use std::net;
use std::time;

use tokio::net::TcpStream;
use tokio::sync;

use crate::quarantine;

#[cfg(test)]
mod tests;

/// Time from the first call that is broken off to the look whether the upstream is still there: answers
/// that it gave before are read until then.
const SETTLE: time::Duration = time::Duration::from_millis(10);

/// Looks at the calls that ran beside it: on a slow host it takes a while until all are found broken off.
const LOOKS: u8 = 5;

/// A call that ran: its number among the runs of this node, and its fingerprint.
type Ran = (u64, quarantine::Fingerprint);

/// What ran when the upstream last broke a call off.
#[derive(Debug, Default)]
pub struct Ends {
    /// `None` while there is nothing to look at.
    ran: RefCell<Option<Vec<Ran>>>,
    woken: sync::Notify,
}

impl Ends {
    /// The upstream broke a call off while `ran` ran, that call among them.
    pub fn cut(&self, ran: impl Iterator<Item = Ran>) {
        let mut first = self.ran.borrow_mut();
        if first.is_none() {
            *first = Some(ran.collect());
            self.woken.notify_one();
        }
    }

    /// The call numbered `key` has its whole answer after all.
    pub fn whole(&self, key: u64) {
        if let Some(ran) = self.ran.borrow_mut().as_mut() {
            ran.retain(|(other, _)| *other != key);
        }
    }

    /// Waits until an upstream has ended under calls; gives their fingerprints. `runs` says whether a
    /// call still runs, `address` where the upstream is expected to take connections, `limit` how long one
    /// may take to open.
    pub async fn next(
        &self,
        runs: impl Fn(u64) -> bool,
        address: impl Fn() -> Option<net::SocketAddr>,
        limit: time::Duration,
    ) -> Vec<quarantine::Fingerprint> {
        loop {
            self.woken.notified().await;
            let gone = self.broke_all(&runs).await
                && match address() {
                    Some(address) => refuses(address, limit).await,
                    // It has left in order.
                    None => false,
                };
            let ran = self.ran.take().unwrap_or_default();
            if gone {
                return ran.into_iter().map(|(_, print)| print).collect();
            }
        }
    }

    /// Whether none of the calls that ran beside the first one broken off runs on. Looking whether the
    /// upstream is there costs it a connection, and a single broken answer is no reason for that.
    async fn broke_all(&self, runs: impl Fn(u64) -> bool) -> bool {
        for _ in 0..LOOKS {
            tokio::time::sleep(SETTLE).await;
            let ran = self.ran.borrow();
            if !ran.iter().flatten().any(|(key, _)| runs(*key)) {
                return true;
            }
        }
        false
    }
}

/// Whether nobody listens at `address`. A listener that is slow or full is there.
async fn refuses(address: net::SocketAddr, limit: time::Duration) -> bool {
    match tokio::time::timeout(limit, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
