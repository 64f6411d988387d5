//! Queries to all hosts of the mesh, with limits on concurrency and time.

use std::future;
use std::time;

use futures_util::StreamExt;
use futures_util::stream;

use crate::host;
use crate::view;

/// Limits for gathering the answers of many hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of hosts queried concurrently.
    pub concurrency: usize,
    /// Timeout for all answers together.
    pub timeout: time::Duration,
}

/// The answers that were gathered.
///
/// Invariant: each queried host has either an answer in `answers` or an entry in `missing`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Gathered<T> {
    /// The answers, in no particular order.
    pub answers: Vec<T>,
    /// Hosts that did not answer, sorted.
    pub missing: Vec<host::HostId>,
}

/// Calls `ask` for each of `hosts`, in their order, and gathers the answers.
pub async fn gather<T, E, A, F>(hosts: &[host::HostId], limits: Limits, ask: A) -> Gathered<T>
where
    A: Fn(host::HostId) -> F,
    F: future::Future<Output = Result<T, E>>,
{
    let asked = hosts.iter().map(|&host| {
        let answer = ask(host);
        async move { (host, answer.await) }
    });
    let mut arriving = stream::iter(asked).buffer_unordered(limits.concurrency.max(1));
    let mut answers = Vec::with_capacity(hosts.len());
    let mut answered = Vec::with_capacity(hosts.len());
    let limit = tokio::time::sleep(limits.timeout);
    tokio::pin!(limit);
    loop {
        let arrived = tokio::select! {
            arrived = arriving.next() => arrived,
            () = &mut limit => None,
        };
        match arrived {
            Some((host, Ok(answer))) => {
                answered.push(host);
                answers.push(answer);
            }
            Some((_, Err(_))) => {}
            None => break,
        }
    }
    answered.sort();
    let mut missing: Vec<host::HostId> =
        hosts.iter().copied().filter(|h| answered.binary_search(h).is_err()).collect();
    missing.sort();
    Gathered { answers, missing }
}

/// Returns the hosts of `view` except `own`, healthy ones first.
pub fn other_hosts(view: &view::View, own: host::HostId) -> Vec<host::HostId> {
    let mut hosts: Vec<&view::Host> = view.hosts.iter().filter(|h| h.id != own).collect();
    hosts.sort_by_key(|h| (h.health, h.id));
    hosts.into_iter().map(|h| h.id).collect()
}
