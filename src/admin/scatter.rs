//! Asking every host of the mesh, a few at a time and within a limit.

use std::future;
use std::time;

use futures_util::StreamExt;
use futures_util::stream;

use crate::host;
use crate::view;

/// How a report on the whole mesh is gathered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Hosts asked at once.
    pub concurrency: usize,
    /// Longest the whole may take.
    pub timeout: time::Duration,
}

/// What came back.
///
/// Invariant: each host that was asked is either counted in `answers` or in `missing`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Gathered<T> {
    /// The answers, in no order.
    pub answers: Vec<T>,
    /// Hosts that did not answer, sorted.
    pub missing: Vec<host::HostId>,
}

/// Asks each of `hosts` by `ask`, in the given order.
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
    let mut heard = Vec::with_capacity(hosts.len());
    let limit = tokio::time::sleep(limits.timeout);
    tokio::pin!(limit);
    loop {
        let arrived = tokio::select! {
            arrived = arriving.next() => arrived,
            () = &mut limit => None,
        };
        match arrived {
            Some((host, Ok(answer))) => {
                heard.push(host);
                answers.push(answer);
            }
            Some((_, Err(_))) => {}
            None => break,
        }
    }
    heard.sort();
    let mut missing: Vec<host::HostId> =
        hosts.iter().copied().filter(|h| heard.binary_search(h).is_err()).collect();
    missing.sort();
    Gathered { answers, missing }
}

/// The hosts of `view` but `own`, those first that probably answer.
pub fn other_hosts(view: &view::View, own: host::HostId) -> Vec<host::HostId> {
    let mut hosts: Vec<&view::Host> = view.hosts.iter().filter(|h| h.id != own).collect();
    hosts.sort_by_key(|h| (h.health, h.id));
    hosts.into_iter().map(|h| h.id).collect()
}
