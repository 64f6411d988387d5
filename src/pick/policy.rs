//! Policies that choose an upstream.

use rand::RngExt;
use rand::rngs;

use crate::pick;
use crate::pick::pool;
use crate::pick::table;

/// Random samples before the list is searched for a usable candidate.
const MAX_SAMPLES: usize = 4;

/// Chooses each upstream in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin;

impl pool::Policy for RoundRobin {
    fn choose(
        &self,
        pool: &pick::Pool<'_>,
        cursor: &mut table::Cursor,
        _rng: &mut rngs::SmallRng,
    ) -> Option<usize> {
        let index = first_usable(pool, cursor.next(pool.len()))?;
        cursor.set(index + 1);
        Some(index)
    }
}

/// Chooses the upstream with the fewest outstanding calls of this node; among equals, each in
/// turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

impl pool::Policy for LeastOutstanding {
    fn choose(
        &self,
        pool: &pick::Pool<'_>,
        cursor: &mut table::Cursor,
        _rng: &mut rngs::SmallRng,
    ) -> Option<usize> {
        let start = cursor.next(pool.len());
        let index = usable(pool, start).min_by_key(|&i| pool.peer(i).outstanding())?;
        cursor.set(index + 1);
        Some(index)
    }
}

/// Chooses two upstreams at random, and of these the one with fewer outstanding calls of this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwo;

impl pool::Policy for PowerOfTwo {
    fn choose(
        &self,
        pool: &pick::Pool<'_>,
        _cursor: &mut table::Cursor,
        rng: &mut rngs::SmallRng,
    ) -> Option<usize> {
        let first = sample(pool, rng)?;
        let second = sample(pool, rng)?;
        let fewer = pool.peer(second).outstanding() < pool.peer(first).outstanding();
        Some(if fewer { second } else { first })
    }
}

/// Chooses the upstream with the most free slots by its last report, as the paper describes it:
/// reports count however old they are, the first of equals is chosen, and none if no slot is free.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemainingCapacity;

impl pool::Policy for RemainingCapacity {
    fn choose(
        &self,
        pool: &pick::Pool<'_>,
        _cursor: &mut table::Cursor,
        _rng: &mut rngs::SmallRng,
    ) -> Option<usize> {
        let free = |index: &usize| {
            let peer = pool.peer(*index);
            peer.slots().saturating_sub(peer.reported_calls())
        };
        let index = usable(pool, 0).rev().max_by_key(free)?;
        (free(&index) > 0).then_some(index)
    }
}

/// Chooses a few upstreams at random, and of these the one with the lowest cost: the share of its
/// slots that is taken by calls of this node and by the load that it reported, weighted by the age
/// of the report.
#[derive(Clone, Copy, Debug)]
pub struct Cheapest {
    /// Number of candidates to compare.
    pub candidates: u8,
}

impl Default for Cheapest {
    fn default() -> Self {
        Self { candidates: 3 }
    }
}

impl pool::Policy for Cheapest {
    fn choose(
        &self,
        pool: &pick::Pool<'_>,
        cursor: &mut table::Cursor,
        rng: &mut rngs::SmallRng,
    ) -> Option<usize> {
        let len = pool.len();
        if len == 0 {
            return None;
        }
        let start = cursor.next(len);
        let stride = if len > 1 { rng.random_range(1..len) } else { 0 };
        let mut best = first_usable(pool, start)?;
        cursor.set(best + 1);
        let mut min = pool.cost(best);
        for step in 1..usize::from(self.candidates).min(len) {
            let index = first_usable(pool, (start + step * stride) % len)?;
            let cost = pool.cost(index);
            if cost < min {
                (best, min) = (index, cost);
            }
        }
        Some(best)
    }
}

/// The indices of usable upstreams from `start` on, around the list.
fn usable(pool: &pick::Pool<'_>, start: usize) -> impl DoubleEndedIterator<Item = usize> {
    (start..pool.len()).chain(0..start).filter(|&i| pool.is_usable(i))
}

/// The index of the first usable upstream from `start` on.
fn first_usable(pool: &pick::Pool<'_>, start: usize) -> Option<usize> {
    usable(pool, start).next()
}

/// The index of a usable upstream at random.
fn sample(pool: &pick::Pool<'_>, rng: &mut rngs::SmallRng) -> Option<usize> {
    if pool.is_empty() {
        return None;
    }
    for _ in 0..MAX_SAMPLES {
        let index = rng.random_range(0..pool.len());
        if pool.is_usable(index) {
            return Some(index);
        }
    }
    first_usable(pool, rng.random_range(0..pool.len()))
}
