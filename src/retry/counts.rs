//! Counts of the decisions on retries.

use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;

/// Counts of the decisions of a node on retries.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Attempts that reached no upstream and were replaced by attempts at other hosts.
    pub diverted: counter::Counter,
    /// Waits of nested calls for others of the same running call.
    pub waited: counter::Counter,
    /// Nested calls that were not retried, though the budget allowed it, as others had failed.
    pub given_up: counter::Counter,
    /// Nested calls that were not sent, as their running call had lost another one.
    pub not_sent: counter::Counter,
    /// Requests that were sent again on another connection, by where they go: nothing of them had
    /// been sent on the connection before.
    pub resent: family::Family<[(&'static str, &'static str); 1], counter::Counter>,
}
