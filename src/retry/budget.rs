//! A token bucket that bounds the extra attempts of one service at one entry.

/// Parts of a token; one extra attempt costs this many.
const TOKEN: u32 = 100;

/// What fills the bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Earn {
    /// Every call that comes in.
    Call,
    /// Every call served whole, so that an outage earns nothing.
    Served,
}

/// The budget of extra attempts of one service.
///
/// Invariant: over any span, extra attempts are at most `percent` per hundred calls that earned,
/// plus the floor.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// What fills the bucket.
    earn: Earn,
    /// Hundredths of a token earned each time.
    percent: u32,
    /// Most hundredths of a token kept; the bucket starts full.
    max: u32,
    /// Hundredths of a token there are.
    remaining: u32,
}

impl Budget {
    /// A full bucket of `floor` extra attempts, earning `percent` per hundred calls served.
    pub fn new(percent: u8, floor: u16) -> Self {
        Self::earning(Earn::Served, percent, floor)
    }

    /// A full bucket of `floor` extra attempts that `earn` fills.
    pub fn earning(earn: Earn, percent: u8, floor: u16) -> Self {
        let most = u32::from(floor) * TOKEN;
        Self { earn, percent: u32::from(percent), max: most, remaining: most }
    }

    /// Changes the limits and keeps what is left within them.
    pub fn set_limits(&mut self, percent: u8, floor: u16) {
        self.percent = u32::from(percent);
        self.max = u32::from(floor) * TOKEN;
        self.remaining = self.remaining.min(self.max);
    }

    /// Notes a call that came in.
    pub fn record_arrival(&mut self) {
        if self.earn == Earn::Call {
            self.fill();
        }
    }

    /// Notes a call served whole.
    pub fn record_served(&mut self) {
        if self.earn == Earn::Served {
            self.fill();
        }
    }

    /// Takes one extra attempt; `false` when there is none left.
    pub fn take(&mut self) -> bool {
        let enough = self.remaining >= TOKEN;
        if enough {
            self.remaining -= TOKEN;
        }
        enough
    }

    /// Whole extra attempts left.
    pub const fn remaining(&self) -> u32 {
        self.remaining / TOKEN
    }

    fn fill(&mut self) {
        self.remaining = (self.remaining + self.percent).min(self.max);
    }
}
