//! A token bucket that bounds the extra attempts of one service at one entry node.

/// Cost of an extra attempt, in hundredths of a token.
const ATTEMPT_COST: u32 = 100;

/// Share of the bucket, one in this many, that nested calls leave to the calls of callers: a caller
/// gains nothing from retries of nested calls if its own call can't be retried.
const RESERVED_ONE_IN: u32 = 4;

/// What fills the bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Earn {
    /// Every call that arrives.
    Call,
    /// Every call that is served completely, so that nothing is earned in an outage.
    Served,
}

/// The budget of extra attempts of one service.
///
/// Invariant: in any period, there are at most `percent` extra attempts per hundred calls that
/// earned, plus the capacity of the bucket.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// What fills the bucket.
    earn: Earn,
    /// Hundredths of a token that a call earns.
    percent: u32,
    /// Capacity in hundredths of a token; the bucket starts full.
    capacity: u32,
    /// Content in hundredths of a token.
    remaining: u32,
}

impl Budget {
    /// A full bucket of `burst` extra attempts that earns `percent` more per hundred served calls.
    pub fn new(percent: u8, burst: u16) -> Self {
        Self::earning(Earn::Served, percent, burst)
    }

    /// A full bucket of `burst` extra attempts that earns `percent` more per hundred calls of the
    /// kind `earn`.
    pub fn earning(earn: Earn, percent: u8, burst: u16) -> Self {
        let capacity = u32::from(burst) * ATTEMPT_COST;
        Self { earn, percent: u32::from(percent), capacity, remaining: capacity }
    }

    /// Changes the limits; the content is reduced to the new capacity if it exceeds it.
    pub fn set_limits(&mut self, percent: u8, burst: u16) {
        self.percent = u32::from(percent);
        self.capacity = u32::from(burst) * ATTEMPT_COST;
        self.remaining = self.remaining.min(self.capacity);
    }

    /// Records a call that arrived.
    pub fn record_arrival(&mut self) {
        if self.earn == Earn::Call {
            self.fill();
        }
    }

    /// Records a call that was served completely.
    pub fn record_served(&mut self) {
        if self.earn == Earn::Served {
            self.fill();
        }
    }

    /// Takes one extra attempt; `false` if none is left.
    pub fn take(&mut self) -> bool {
        let enough = self.remaining >= ATTEMPT_COST;
        if enough {
            self.remaining -= ATTEMPT_COST;
        }
        enough
    }

    /// Whether an extra attempt of a nested call may be taken: nested calls leave a quarter, in whole
    /// attempts.
    pub const fn has_nested(&self) -> bool {
        let reserved = self.capacity / RESERVED_ONE_IN / ATTEMPT_COST * ATTEMPT_COST;
        self.remaining >= ATTEMPT_COST + reserved
    }

    /// Whether less than half of the bucket is left.
    pub const fn is_low(&self) -> bool {
        self.remaining * 2 < self.capacity
    }

    /// Number of extra attempts left.
    pub const fn remaining(&self) -> u32 {
        self.remaining / ATTEMPT_COST
    }

    fn fill(&mut self) {
        self.remaining = (self.remaining + self.percent).min(self.capacity);
    }
}
