//! State that the forwarders share: the rules in force, the faults of a connection, counters.

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
    /// Datagrams dropped by a rule.
    pub lost: atomic::AtomicU64,
    /// Datagrams duplicated by a rule.
    pub twice: atomic::AtomicU64,
    /// Connections accepted.
    pub connections: atomic::AtomicU64,
    /// Connections reset, by a rule or because one side failed.
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

/// Receives the rules in force and their changes.
pub type Rules = watch::Receiver<Arc<Vec<rules::Rule>>>;

/// The faults of one connection, which follow changes of the rules while it is open.
#[derive(Debug)]
pub struct LiveFaults {
    route: rules::Route,
    rules: Rules,
    /// Delay of each write.
    pub delay: Arc<delayer::DynamicDuration>,
    /// Maximum rate of each direction in bytes per second; 0 is unlimited.
    pub rate: Arc<throttler::DynamicRate>,
    faults: watch::Sender<rules::Faults>,
}

impl LiveFaults {
    /// The faults that `rules` give for `route`.
    pub fn new(route: rules::Route, mut rules: Rules) -> Self {
        let first = rules::faults(&rules.borrow_and_update(), route);
        let delay = delayer::DynamicDuration::new(time::Duration::ZERO);
        let rate = throttler::DynamicRate::new(0);
        let live = Self { route, rules, delay, rate, faults: watch::Sender::new(first) };
        live.set(first);
        live
    }

    /// Receives the faults in force and their changes.
    pub fn faults(&self) -> watch::Receiver<rules::Faults> {
        self.faults.subscribe()
    }

    /// Applies each change of the rules; returns when they cut the route or the proxy stops.
    pub async fn until_cut(mut self) {
        loop {
            let now = rules::faults(&self.rules.borrow_and_update(), self.route);
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
