//! Metrics of the overload protection.

use std::sync::atomic;
use std::time;

use prometheus_client::metrics::{counter, gauge};

/// Metrics of the overload protection of a node. Clones share their values.
#[derive(Clone, Debug)]
pub struct Counts {
    /// Calls refused because the node is overloaded.
    pub refused: counter::Counter,
    /// The standing delay of the node's own work, in seconds.
    pub delay: gauge::Gauge<f64, atomic::AtomicU64>,
    /// The share of new calls that is admitted.
    pub share: gauge::Gauge<f64, atomic::AtomicU64>,
}

impl Default for Counts {
    fn default() -> Self {
        let share = gauge::Gauge::default();
        share.set(1.0);
        Self { refused: counter::Counter::default(), delay: gauge::Gauge::default(), share }
    }
}

impl Counts {
    /// Sets the standing delay and the admitted share.
    pub fn set(&self, delay: time::Duration, share: f64) {
        self.delay.set(delay.as_secs_f64());
        self.share.set(share);
    }
}
