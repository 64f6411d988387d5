//! The status report of one node, on itself and on the mesh as it sees it.

use std::collections;
use std::sync::atomic;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::host;
use crate::logs::reachability;
use crate::node;
use crate::overload;
use crate::traffic;
use crate::version;
use crate::view;

/// Counts of one purpose of control traffic, see [`traffic::Counts`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Datagrams or frames sent.
    pub messages: u64,
    /// Invalid datagrams or frames that were dropped.
    pub dropped: u64,
}

/// Hosts by health.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Members {
    /// Hosts that answer.
    pub alive: u32,
    /// Hosts that did not answer a probe and can still refute the suspicion.
    pub suspect: u32,
    /// Hosts that were declared dead or are cut off.
    pub unreachable: u32,
}

/// Upstreams of one service by phase. Those with an unreachable node count only as unreachable.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstreams {
    /// Started a moment ago.
    pub warming: u32,
    /// Serve calls.
    pub serving: u32,
    /// Get no new calls.
    pub draining: u32,
    /// Their node is unreachable.
    pub unreachable: u32,
}

/// The upstream beside the node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Local {
    /// Name of its service.
    pub service: SmolStr,
    /// Name of its class.
    pub class: SmolStr,
    /// Life cycle: `warming`, `serving` or `draining`.
    pub phase: SmolStr,
    /// Maximum number of concurrent calls, within the limit of its class.
    pub slots: u16,
    /// Maximum number of connections, within the limit of its class.
    pub connections: u16,
}

/// What the overload protection of a node does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Overload {
    /// Standing delay of the node's own work, in milliseconds.
    pub delay_ms: f64,
    /// Share of the new calls of callers that is admitted.
    pub admitted_share: f64,
    /// Calls refused because the node was overloaded.
    pub refused: u64,
}

/// Status of one node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Base address of the node.
    pub host: SmolStr,
    /// Its region.
    pub region: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Whether it takes calls; see [`crate::admin::state::Readiness`].
    pub ready: bool,
    /// Number of the version it runs; 0 while it runs none.
    pub version: u64,
    /// Digest of that version's file, in hexadecimal.
    pub digest: String,
    /// When it applied that version, in milliseconds since the Unix epoch.
    pub applied_unix_ms: Option<u64>,
    /// Whether the log answers its requests, and since when it fails.
    pub log: reachability::Reachability,
    /// The upstream beside it.
    pub local: Option<Local>,
    /// Known hosts by health.
    pub members: Members,
    /// Known upstreams by service and phase.
    pub upstreams: collections::BTreeMap<SmolStr, Upstreams>,
    /// What its overload protection does; `None` from a node of an older build.
    #[serde(default)]
    pub overload: Option<Overload>,
    /// Its control traffic by purpose.
    pub traffic: collections::BTreeMap<SmolStr, Counts>,
}

/// The inputs of a status report.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// This host.
    pub host: host::HostId,
    /// Its region and availability zone.
    pub locality: &'a view::Locality,
    /// The version it runs.
    pub version_id: version::VersionId,
    /// When that version was applied, in milliseconds since the Unix epoch.
    pub applied_unix_ms: Option<u64>,
    /// The known hosts.
    pub view: &'a view::View,
    /// The upstream beside it.
    pub local: Option<&'a node::LocalUpstream>,
    /// Whether the log answers.
    pub log: reachability::Reachability,
    /// Whether it may take calls.
    pub ready: bool,
    /// The metrics of its overload protection.
    pub overload: &'a overload::Counts,
    /// Its control traffic.
    pub traffic: &'a traffic::Traffic,
}

impl Source<'_> {
    /// Creates the status report.
    pub fn status(&self) -> Status {
        let counts = traffic(self.traffic).into_iter();
        Status {
            host: smol_str::format_smolstr!("{}", self.host),
            region: self.locality.region.clone(),
            zone: self.locality.zone.clone(),
            incarnation: self.view.host(self.host).map_or(0, |h| h.incarnation),
            ready: self.ready,
            version: self.version_id.version.number(),
            digest: self.version_id.digest.to_string(),
            applied_unix_ms: self.applied_unix_ms,
            log: self.log,
            local: self.local.map(local),
            members: members(self.view),
            upstreams: upstreams(self.view),
            overload: Some(overload(self.overload)),
            traffic: counts.map(|(name, counts)| (SmolStr::new_static(name), counts)).collect(),
        }
    }
}

/// Returns the counts of control traffic, each with the name of its purpose.
pub fn traffic(traffic: &traffic::Traffic) -> [(&'static str, Counts); traffic::PURPOSES.len()] {
    traffic::PURPOSES.map(|purpose| {
        let counts = traffic.of(purpose);
        let read = |counter: &atomic::AtomicU64| counter.load(atomic::Ordering::Relaxed);
        let counts = Counts {
            sent: read(&counts.sent),
            received: read(&counts.received),
            messages: read(&counts.messages),
            dropped: read(&counts.dropped),
        };
        (purpose_name(purpose), counts)
    })
}

const fn purpose_name(purpose: traffic::Purpose) -> &'static str {
    match purpose {
        traffic::Purpose::Ledger => "ledger",
        traffic::Purpose::Log => "log",
        traffic::Purpose::Member => "member",
        traffic::Purpose::Spread => "spread",
    }
}

const fn phase_name(phase: view::Phase) -> &'static str {
    match phase {
        view::Phase::Warming => "warming",
        view::Phase::Serving => "serving",
        view::Phase::Draining => "draining",
    }
}

fn local(local: &node::LocalUpstream) -> Local {
    let upstream = &local.upstream;
    Local {
        service: upstream.service.clone(),
        class: upstream.class.clone(),
        phase: SmolStr::new_static(phase_name(upstream.phase)),
        slots: upstream.slots,
        connections: upstream.connections,
    }
}

fn overload(counts: &overload::Counts) -> Overload {
    Overload {
        delay_ms: counts.delay.get() * 1e3,
        admitted_share: counts.share.get(),
        refused: counts.refused.get(),
    }
}

fn members(view: &view::View) -> Members {
    let mut members = Members::default();
    for host in &view.hosts {
        let count = match host.health {
            view::Health::Alive => &mut members.alive,
            view::Health::Suspect => &mut members.suspect,
            view::Health::Unreachable => &mut members.unreachable,
        };
        *count += 1;
    }
    members
}

fn upstreams(view: &view::View) -> collections::BTreeMap<SmolStr, Upstreams> {
    let mut services = collections::BTreeMap::<SmolStr, Upstreams>::new();
    for host in &view.hosts {
        let Some(upstream) = &host.upstream else { continue };
        let counts = services.entry(upstream.service.clone()).or_default();
        let count = match (host.health, upstream.phase) {
            (view::Health::Unreachable, _) => &mut counts.unreachable,
            (_, view::Phase::Warming) => &mut counts.warming,
            (_, view::Phase::Serving) => &mut counts.serving,
            (_, view::Phase::Draining) => &mut counts.draining,
        };
        *count += 1;
    }
    services
}
