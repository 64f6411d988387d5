//! What each forwarder follows: the rules in force and the counters.

use std::sync::Arc;
use std::sync::atomic;
use std::time;

use serde_json::json;
use tokio::sync::watch;
use tokio_netem::delayer;
use tokio_netem::throttler;

use crate::standin::fault::rules;

/// Counters of the proxy.
#[derive(Debug, Default)]
pub struct Counts {
    /// Datagrams received.
    pub datagrams: atomic::AtomicU64,
    /// Datagrams lost on purpose.
    pub lost: atomic::AtomicU64,
    /// Datagrams sent twice on purpose.
    pub twice: atomic::AtomicU64,
    /// Connections taken.
    pub connections: atomic::AtomicU64,
    /// Connections reset or refused on purpose.
    pub cuts: atomic::AtomicU64,
}

impl Counts {
    /// Adds one to `count`.
    pub fn add(count: &atomic::AtomicU64) {
        count.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// The counters as JSON.
    pub fn report(&self) -> serde_json::Value {
        let of = |count: &atomic::AtomicU64| count.load(atomic::Ordering::Relaxed);
        json!({
            "datagrams": of(&self.datagrams),
            "lost": of(&self.lost),
            "twice": of(&self.twice),
            "connections": of(&self.connections),
            "cuts": of(&self.cuts),
        })
    }
}

/// The rules in force as a forwarder sees them.
pub type Rules = watch::Receiver<Arc<Vec<rules::Rule>>>;

/// The faults of one connection, changed while it lives.
#[derive(Debug)]
pub struct Knobs {
    way: rules::Way,
    rules: Rules,
    /// Delay of each write.
    pub delay: Arc<delayer::DynamicDuration>,
    /// Bytes a second.
    pub rate: Arc<throttler::DynamicRate>,
    faults: watch::Sender<rules::Faults>,
}

impl Knobs {
    /// The faults on `way` by `rules`.
    pub fn new(way: rules::Way, mut rules: Rules) -> Self {
        let first = rules::faults(&rules.borrow_and_update(), way);
        let delay = delayer::DynamicDuration::new(time::Duration::ZERO);
        let rate = throttler::DynamicRate::new(0);
        let knobs = Self { way, rules, delay, rate, faults: watch::Sender::new(first) };
        knobs.set(first);
        knobs
    }

    /// Faults in force, to be waited on.
    pub fn faults(&self) -> watch::Receiver<rules::Faults> {
        self.faults.subscribe()
    }

    /// Follows the rules until the way is cut.
    pub async fn until_cut(mut self) {
        loop {
            let now = rules::faults(&self.rules.borrow_and_update(), self.way);
            self.set(now);
            if now.cut || self.rules.changed().await.is_err() {
                return;
            }
        }
    }

    fn set(&self, faults: rules::Faults) {
        self.delay.set(time::Duration::from_millis(faults.delay_ms));
        self.rate.set(faults.rate);
        self.faults.send_replace(faults);
    }
}
