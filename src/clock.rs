//! Monotonic time, from a clock that tests can replace.

use std::ops;
use std::time;

/// A point in monotonic time, in microseconds since an arbitrary origin.
///
/// Only instants of the same process can be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Instant(u64);

impl Instant {
    /// The origin.
    pub const ZERO: Instant = Instant(0);

    /// The instant `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The instant `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`, zero when `earlier` is later than `self`.
    pub const fn since(self, earlier: Instant) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for Instant {
    type Output = Instant;

    fn add(self, rhs: time::Duration) -> Instant {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_add(micros))
    }
}

/// A source of time.
pub trait Clock {
    /// The current instant; it never decreases.
    fn now(&self) -> Instant;

    /// Wall-clock time in milliseconds since the Unix epoch; it may step back or forward.
    fn unix_millis(&self) -> u64;
}

/// The operating system's clock.
#[derive(Clone, Copy, Debug)]
pub struct System {
    origin: time::Duration,
}

impl System {
    /// A clock whose origin is the time of this call.
    pub fn new() -> Self {
        Self { origin: since_boot() }
    }
}

impl Default for System {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::ZERO + since_boot().saturating_sub(self.origin)
    }

    fn unix_millis(&self) -> u64 {
        let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        since.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)).unwrap_or(0)
    }
}

/// Time since the host booted, including the time it was suspended: after a suspension, a deadline,
/// a lease or the age of an update must not appear more recent than it is.
fn since_boot() -> time::Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    time::Duration::new(seconds, u32::try_from(now.tv_nsec).unwrap_or_default())
}
