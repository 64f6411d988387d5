//! Policies of choice.

use rand::RngExt;
use rand::rngs;

use crate::pick;
use crate::pick::pool;
use crate::pick::table;

/// Random tries for a usable candidate before the list is walked.
const TRIES: usize = 4;

/// Each in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin;

impl pool::Policy for RoundRobin {
    fn choose(
        &self,
        pool: &pick::Pool<'_>,
        turn: &mut table::Turn,
        _rng: &mut rngs::SmallRng,
    ) -> Option<usize> {
        let place = walk(pool, turn.next(pool.len()))?;
        turn.set(place + 1);
        Some(place)
    }
}

/// The one with the fewest own outstanding calls; among equals, each in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

impl pool::Policy for LeastOutstanding {
    fn choose(
        &self,
        pool: &pick::Pool<'_>,
        turn: &mut table::Turn,
        _rng: &mut rngs::SmallRng,
    ) -> Option<usize> {
        let start = turn.next(pool.len());
        let place = places(pool, start).min_by_key(|&p| pool.peer(p).outstanding())?;
        turn.set(place + 1);
        Some(place)
    }
}

/// Two at random, the one with fewer own outstanding calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwo;

impl pool::Policy for PowerOfTwo {
    fn choose(
        &self,
        pool: &pick::Pool<'_>,
        _turn: &mut table::Turn,
        rng: &mut rngs::SmallRng,
    ) -> Option<usize> {
        let first = sample(pool, rng)?;
        let second = sample(pool, rng)?;
        let fewer = pool.peer(second).outstanding() < pool.peer(first).outstanding();
        Some(if fewer { second } else { first })
    }
}

/// The one with the most slots free by its last report, as the paper has it: reports are believed
/// however old they are, the first of equals is taken, and none is when no slot is free.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemainingCapacity;

impl pool::Policy for RemainingCapacity {
    fn choose(
        &self,
        pool: &pick::Pool<'_>,
        _turn: &mut table::Turn,
        _rng: &mut rngs::SmallRng,
    ) -> Option<usize> {
        let free = |place: &usize| {
            let peer = pool.peer(*place);
            peer.slots().saturating_sub(peer.reported_calls())
        };
        let place = places(pool, 0).rev().max_by_key(free)?;
        (free(&place) > 0).then_some(place)
    }
}

/// A few at random, the one with the least of its slots taken by own calls and by the load that
/// came back with answers, weighed by its age.
#[derive(Clone, Copy, Debug)]
pub struct Cheapest {
    /// Candidates compared.
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
        turn: &mut table::Turn,
        rng: &mut rngs::SmallRng,
    ) -> Option<usize> {
        let len = pool.len();
        if len == 0 {
            return None;
        }
        let start = turn.next(len);
        let stride = if len > 1 { rng.random_range(1..len) } else { 0 };
        let mut best = walk(pool, start)?;
        turn.set(best + 1);
        let mut least = pool.cost(best);
        for step in 1..usize::from(self.candidates).min(len) {
            let place = walk(pool, (start + step * stride) % len)?;
            let cost = pool.cost(place);
            if cost < least {
                (best, least) = (place, cost);
            }
        }
        Some(best)
    }
}

/// The usable places from `start` on, around the list.
fn places(pool: &pick::Pool<'_>, start: usize) -> impl DoubleEndedIterator<Item = usize> {
    (start..pool.len()).chain(0..start).filter(|&p| pool.is_usable(p))
}

/// The first usable place from `start` on.
fn walk(pool: &pick::Pool<'_>, start: usize) -> Option<usize> {
    places(pool, start).next()
}

/// A usable place at random.
fn sample(pool: &pick::Pool<'_>, rng: &mut rngs::SmallRng) -> Option<usize> {
    if pool.is_empty() {
        return None;
    }
    for _ in 0..TRIES {
        let place = rng.random_range(0..pool.len());
        if pool.is_usable(place) {
            return Some(place);
        }
    }
    walk(pool, rng.random_range(0..pool.len()))
}
