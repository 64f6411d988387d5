//! The local upstream, the one beside this node: its limits, what it says of itself, and whether it
//! takes calls.

use std::net;

use crate::admit;
use crate::claim;
use crate::node;
use crate::notice;
use crate::proxy::state;
use crate::proxy::trace;
use crate::quarantine;
use crate::view;

impl<C: claim::Claims> state::State<C> {
    /// Applies the limits of the local upstream.
    pub fn apply_limits(&self) {
        let local = self.local.borrow().clone();
        if let Some(local) = &local {
            self.reset_if_restarted(local);
        }
        let address = local.as_ref().map(|l| l.address);
        self.pool.close_idle(address);
        self.slots.reserve_urgent(self.settings.call.urgent_room);
        self.slots.set_limits(local.as_ref().map_or_else(
            || admit::Limits { slots: 0, connections: 0, queue: 0 },
            |local| self.limits(&local.upstream),
        ));
        self.apply_notice();
    }

    /// Applies a changed notice of the local upstream.
    pub fn apply_notice(&self) {
        let local = self.local.borrow().clone();
        let notice = self.notices.publish(local.as_deref());
        self.slots.set_rate(notice.limit);
        self.update_admission(local.as_deref());
    }

    /// Takes over what another node has heard of the local upstream.
    pub fn learn_notice(&self, relayed: &notice::Relayed) {
        let local = self.local.borrow().clone();
        let learn = |local| self.notices.learn(local, relayed, &self.trace, self.ctx.now());
        if local.as_deref().is_some_and(learn) {
            self.apply_notice();
        }
    }

    /// What to tell other nodes of the local upstream; `None` if there is nothing to tell.
    pub fn relayed_notice(&self) -> Option<notice::Relayed> {
        self.local.borrow().as_ref().and_then(|local| self.notices.relayed(local))
    }

    /// The limit that the local upstream names; `None` if it names none.
    pub fn limit_in_force(&self) -> Option<trace::LimitInForce> {
        let allowance = self.slots.allowance()?;
        let local = self.local.borrow();
        let confirmed = local.as_ref().and_then(|local| self.notices.confirmed_at(local));
        let now = self.ctx.now();
        Some(trace::LimitInForce { allowance, age: now.since(confirmed.unwrap_or(now)) })
    }

    /// Resets what was learned of the local upstream when its incarnation changed. If the instance
    /// is the same, it has restarted: its connections are closed, as calls of the previous process
    /// would otherwise hold their slots until their deadline. Calls of another instance, which may
    /// be leaving, go on.
    fn reset_if_restarted(&self, local: &node::LocalUpstream) {
        let now = (local.instance.clone(), local.upstream.incarnation);
        let Some((instance, incarnation)) = self.last_upstream.replace(Some(now)) else { return };
        if incarnation == local.upstream.incarnation {
            return;
        }
        if instance == local.instance {
            self.pool.close_all();
        }
        self.slots.restart();
    }

    /// Refuses the calls that wait for an upstream that is leaving, and admits calls again for its
    /// successor.
    fn update_admission(&self, local: Option<&node::LocalUpstream>) {
        let leaving = local.is_some_and(|local| self.is_upstream_leaving(local));
        if leaving || self.is_draining() {
            self.slots.drain();
        } else {
            self.slots.resume();
        }
    }

    /// Whether the upstream `local` takes no new calls: it announces its drain, or has said in an
    /// answer that it leaves.
    pub fn is_upstream_leaving(&self, local: &node::LocalUpstream) -> bool {
        local.upstream.phase == view::Phase::Draining || self.notices.of(local).leaving
    }

    /// Address of the local upstream; `None` while there is none, or it is leaving.
    pub fn serving_address(&self) -> Option<net::SocketAddr> {
        let local = self.local.borrow();
        let local = local.as_ref().filter(|local| !self.is_upstream_leaving(local));
        local.map(|local| local.address)
    }

    /// Reports that the local upstream crashed while requests with these fingerprints ran.
    pub fn upstream_crashed(&self, fingerprints: &[quarantine::Fingerprint]) {
        let local = self.local.borrow();
        let Some(local) = local.as_ref() else { return };
        self.trace.upstream_crashed(&local.instance, local.upstream.incarnation, fingerprints);
        self.quarantine.crashed(fingerprints);
    }

    fn limits(&self, upstream: &view::Upstream) -> admit::Limits {
        let applied = self.applied.borrow();
        let service = applied.mesh.services.iter().find(|s| s.name == upstream.service);
        admit::Limits {
            slots: upstream.slots,
            connections: upstream.connections,
            queue: service.map_or(0, |s| s.queue),
        }
    }
}
