//! Counts of the decisions on retries.

use prometheus_client::metrics::counter;

/// Counts of the decisions of an entry node on retries.
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
}
