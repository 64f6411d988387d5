//! The candidates of one call as a policy sees them.

use rand::rngs;

use crate::admit;
use crate::clock;
use crate::host;
use crate::pick;
use crate::pick::loss;
use crate::pick::peer;
use crate::pick::table;

/// The upstreams of one list that are in the same tier of distance.
#[derive(Clone, Copy)]
pub struct Pool<'a> {
    pub(super) peers: &'a [pick::Peer],
    pub(super) members: &'a [u32],
    pub(super) rules: &'a peer::Rules,
    pub(super) avoid: &'a [host::HostId],
    pub(super) now: clock::Instant,
    /// Priority of the call.
    pub(super) rank: admit::Rank,
    /// Delay above which that of a node counts, in microseconds; computed by `delay::base_us`.
    pub(super) base_delay_us: f32,
    /// Which upstreams may be chosen, by the last response of their nodes.
    pub(super) candidates: loss::Candidates,
    /// See [`pick::TransferCost::urgency`].
    pub(super) urgency: Option<pick::Urgency>,
}

impl Pool<'_> {
    /// Number of upstreams, the unusable ones included.
    pub const fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the pool has no upstreams.
    pub const fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The upstream at `index`, which is below [`Pool::len`].
    pub fn peer(&self, index: usize) -> &pick::Peer {
        &self.peers[self.members[index] as usize]
    }

    /// Whether the upstream at `index` may be chosen.
    pub fn is_usable(&self, index: usize) -> bool {
        let peer = self.peer(index);
        self.candidates.include(peer.responded_at)
            && peer.is_usable(self.rank, self.now)
            && !self.avoid.contains(&peer.host())
    }

    /// What a call would cost at `index`, in mean service times of its kind. An urgent call that
    /// would miss its target there costs up to as much more as a refusal.
    pub fn cost(&self, index: usize) -> f32 {
        let Self { base_delay_us, rules, now, .. } = *self;
        let (peer, nested) = (self.peer(index), self.rank.nested);
        peer.cost(nested, base_delay_us, rules, now)
            + peer.urgent_cost(self.urgency, nested, base_delay_us, rules, now)
    }
}

/// A policy that chooses among the candidates of a call.
pub trait Policy {
    /// Chooses the index of a usable upstream; `None` if there is none. `cursor` is kept between
    /// the calls for one list.
    fn choose(
        &self,
        pool: &Pool<'_>,
        cursor: &mut table::Cursor,
        rng: &mut rngs::SmallRng,
    ) -> Option<usize>;
}
