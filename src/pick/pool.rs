//! The candidates of one call as a policy sees them.

use rand::rngs;

use crate::clock;
use crate::host;
use crate::pick;
use crate::pick::peer;
use crate::pick::table;

/// The upstreams of one list that stand equally far.
#[derive(Clone, Copy)]
pub struct Pool<'a> {
    pub(super) peers: &'a [pick::Peer],
    pub(super) members: &'a [u32],
    pub(super) rules: &'a peer::Rules,
    pub(super) avoid: &'a [host::HostId],
    pub(super) now: clock::Instant,
    /// Whether the call goes before new work.
    pub(super) inner: bool,
}

impl Pool<'_> {
    /// Number of upstreams, the unusable ones included.
    pub const fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are none.
    pub const fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The upstream at `place`, which is below [`Pool::len`].
    pub fn peer(&self, place: usize) -> &pick::Peer {
        &self.peers[self.members[place] as usize]
    }

    /// Whether the upstream at `place` may be chosen.
    pub fn is_usable(&self, place: usize) -> bool {
        let peer = self.peer(place);
        peer.is_usable(self.now) && !self.avoid.contains(&peer.host())
    }

    /// What a call would cost at `place`, in the usual service times of its kind.
    pub fn cost(&self, place: usize) -> f32 {
        self.peer(place).cost(self.inner, self.rules, self.now)
    }
}

/// A way to choose among the candidates of a call.
pub trait Policy {
    /// Chooses a usable upstream's place; `None` when there is none. `turn` is kept for the list.
    fn choose(
        &self,
        pool: &Pool<'_>,
        turn: &mut table::Turn,
        rng: &mut rngs::SmallRng,
    ) -> Option<usize>;
}
