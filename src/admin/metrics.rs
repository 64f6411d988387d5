//! The registry of metrics, to which every duty adds its own.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus_client::collector;
use prometheus_client::encoding;
use prometheus_client::encoding::EncodeMetric as _;
use prometheus_client::metrics::counter;
use prometheus_client::registry;

use crate::admin::status;
use crate::notice;
use crate::overload;
use crate::pick;
use crate::proxy::answer;
use crate::proxy::slots;
use crate::quarantine;
use crate::quota;
use crate::retry;
use crate::ring;
use crate::traffic;

/// Prefix of the name of every metric.
const PREFIX: &str = "dandelionspool";

/// A handle to the registry of this process. Clones share the registry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Mutex<registry::Registry>>,
    overload: overload::Counts,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates a registry that has only the metrics of the overload protection.
    pub fn new() -> Self {
        let mut registry = registry::Registry::with_prefix(PREFIX);
        let overload = overload::Counts::default();
        let help = "Calls refused because the node is overloaded";
        registry.register("overload_refused", help, overload.refused.clone());
        let help = "Standing delay of the node's own work in seconds";
        registry.register("overload_delay_seconds", help, overload.delay.clone());
        let help = "Share of the new calls of callers that is admitted";
        registry.register("overload_admitted_share", help, overload.share.clone());
        Self { registry: Arc::new(Mutex::new(registry)), overload }
    }

    /// The metrics of the overload protection, which the call path updates.
    pub const fn overload(&self) -> &overload::Counts {
        &self.overload
    }

    /// Adds `metric` under `name` and returns a handle that updates it. `help` must not end with a
    /// full stop, which the encoder adds.
    pub fn register<M: registry::Metric + Clone>(&self, name: &str, help: &str, metric: M) -> M {
        self.lock().register(name, help, metric.clone());
        metric
    }

    /// Adds a collector, which is called on each scrape.
    pub fn collect(&self, collector: impl collector::Collector) {
        self.lock().register_collector(Box::new(collector));
    }

    /// Adds the count of items that `ring` refused because it was full.
    pub fn ring<T>(&self, name: &'static str, ring: &ring::Sender<T>) {
        self.collect(Ring { name, refusals: ring.refusals() });
    }

    /// Adds the counts of upstream crashes and of quarantined requests.
    pub fn quarantine(&self, counts: &quarantine::Counts) {
        let (crashes, refused, quarantined) =
            (&counts.crashes, &counts.refused, &counts.quarantined);
        self.register("upstream_ends", "Ends of the upstream while it ran calls", crashes.clone());
        self.register("quarantine_refused", "Calls refused as quarantined", refused.clone());
        self.register("quarantine_held", "Requests held responsible for ends", quarantined.clone());
    }

    /// Adds the counts of the answers of the upstream that were not believed.
    pub fn answers(&self, counts: &answer::Counts) {
        let help = "Answers of the upstream that belong to another request";
        self.register("upstream_foreign_answers", help, counts.foreign.clone());
        let help = "Answers that are incomplete, cut, or promise what the upstream does not say";
        self.register("upstream_malformed_answers", help, counts.malformed.clone());
    }

    /// Adds the counts of what the upstream says of itself.
    pub fn notices(&self, counts: &notice::Counts) {
        let help = "Whether the upstream names a limit";
        self.register("upstream_limited", help, counts.limited.clone());
        let help = "Whether the upstream has said that it is leaving";
        self.register("upstream_leaving", help, counts.leaving.clone());
        let help = "Calls refused at the limit that the upstream names";
        self.register("upstream_limit_refused", help, counts.refused.clone());
    }

    /// Adds the counts of slow nodes and of lost hosts.
    pub fn picks(&self, counts: &pick::Counts) {
        let rows = [
            ("pick_slow_nodes", "Nodes found slow", &counts.slow_nodes),
            ("pick_losses", "Simultaneous losses of hosts", &counts.losses),
            ("pick_probes", "Calls to hosts silent since such a loss", &counts.probes),
            ("pick_kept_in_zone", "Calls kept in their busy zone", &counts.kept_in_zone),
        ];
        for (name, help, counter) in rows {
            self.register(name, help, counter.clone());
        }
    }

    /// Adds the counts of the slots reserved for urgent calls, and of the room for bodies.
    pub fn slots(&self, counts: &slots::Counts) {
        self.register("slots_reserved", "Slots reserved for urgent calls", counts.reserved.clone());
        let help = "Calls that waited although a slot was free, as it was reserved";
        self.register("slots_held_back", help, counts.held_back.clone());
        let help = "Calls refused before their bodies were read, as the link would make them late";
        self.register("body_refused", help, counts.body_refused.clone());
    }

    /// Adds the counts of the limits of organisations.
    pub fn quotas(&self, counts: &quota::Counts) {
        let rows = [
            ("quota_allowed", "Calls that got a credit of their organisation", &counts.allowed),
            ("quota_refused", "Calls refused at the limit of their organisation", &counts.refused),
            ("quota_asked", "Requests for credits sent to other nodes", &counts.asked),
            ("quota_answered", "Requests for credits answered as holder", &counts.answered),
            ("unauthenticated", "Calls without a valid API key", &counts.unauthenticated),
        ];
        for (name, help, counter) in rows {
            self.register(name, help, counter.clone());
        }
    }

    /// Adds the counts of the decisions on retries.
    pub fn retries(&self, counts: &retry::Counts) {
        let rows = [
            (
                "retry_diverted",
                "Attempts at unreachable hosts that were replaced",
                &counts.diverted,
            ),
            ("retry_inner_waited", "Waits of nested calls for their siblings", &counts.waited),
            ("retry_inner_given_up", "Nested calls not retried for siblings", &counts.given_up),
            ("retry_inner_not_sent", "Nested calls not sent for siblings", &counts.not_sent),
        ];
        for (name, help, counter) in rows {
            self.register(name, help, counter.clone());
        }
        let help = "Requests sent again on another connection as nothing of them was sent";
        self.register("call_resent", help, counts.resent.clone());
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encoding::text::encode(&mut text, &self.lock()) {
            log::error!(error:% = error; "cannot encode the metrics");
        }
        text
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, registry::Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Metric of the items that one ring refused.
#[derive(Debug)]
struct Ring {
    name: &'static str,
    refusals: ring::Refusals,
}

impl collector::Collector for Ring {
    fn encode(&self, mut encoder: encoding::DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let counter = counter::ConstCounter::new(self.refusals.get());
        let help = "Items that a full ring between two threads refused";
        let name = format!("ring_{}_refused", self.name);
        let metric = encoder.encode_descriptor(&name, help, None, counter.metric_type())?;
        counter.encode(metric)
    }
}

/// Metrics of the control traffic by purpose.
#[derive(Debug)]
pub struct Traffic(pub Arc<traffic::Traffic>);

/// Name and help text of a counter, and the function that reads its value.
type Column = (&'static str, &'static str, fn(&status::Counts) -> u64);

const COLUMNS: [Column; 4] = [
    ("control_sent_bytes", "Payload bytes sent by purpose", |c| c.sent),
    ("control_received_bytes", "Payload bytes received by purpose", |c| c.received),
    ("control_messages", "Datagrams or frames sent by purpose", |c| c.messages),
    ("control_dropped", "Datagrams or frames dropped as not valid by purpose", |c| c.dropped),
];

impl collector::Collector for Traffic {
    fn encode(&self, mut encoder: encoding::DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let counts = status::traffic(&self.0);
        for (name, help, column) in COLUMNS {
            let kind = counter::ConstCounter::new(0u64).metric_type();
            let mut metric = encoder.encode_descriptor(name, help, None, kind)?;
            for (purpose, counts) in &counts {
                let labels = [("purpose", *purpose)];
                let counter = counter::ConstCounter::new(column(counts));
                counter.encode(metric.encode_family(&labels)?)?;
            }
        }
        Ok(())
    }
}
