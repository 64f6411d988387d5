//! The standing delay of a node's work. It handles load that occupies the CPU for longer than a
//! moment; a single burst, or a pause of the process, shows no standing delay.

use std::collections;
use std::time;

use crate::clock;

/// Window of which the shortest delay counts: work that was done without a wait within this time
/// shows that no queue stands.
pub const WINDOW: time::Duration = time::Duration::from_millis(100);

/// Minimum number of measurements that count, even if older than [`WINDOW`]. A pause of the process
/// delays one measurement only, whatever its length.
const MIN_MEASUREMENTS: usize = 2;

/// Maximum number of measurements in memory.
const MAX_MEASUREMENTS: usize = 16;

/// How late work was done.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    at: clock::Instant,
    late: time::Duration,
}

/// The standing delay: the minimum of the delays measured within [`WINDOW`].
#[derive(Clone, Debug, Default)]
pub struct Delay {
    /// The latest measurements, oldest first; at most [`MAX_MEASUREMENTS`].
    measured: collections::VecDeque<Measurement>,
}

impl Delay {
    /// Records that work that was due `late` earlier was done at `now`.
    pub fn record(&mut self, late: time::Duration, now: clock::Instant) {
        let expired = |first: &Measurement| now.since(first.at) > WINDOW;
        while self.measured.len() >= MAX_MEASUREMENTS
            || (self.measured.len() >= MIN_MEASUREMENTS
                && self.measured.front().is_some_and(expired))
        {
            self.measured.pop_front();
        }
        self.measured.push_back(Measurement { at: now, late });
    }

    /// Forgets all measurements: no work waits.
    pub fn clear(&mut self) {
        self.measured.clear();
    }

    /// The standing delay at `now`; zero before the second measurement.
    pub fn delay(&self, now: clock::Instant) -> time::Duration {
        if self.measured.len() < MIN_MEASUREMENTS {
            return time::Duration::ZERO;
        }
        let older = self.measured.len() - MIN_MEASUREMENTS;
        let counts = |(index, measured): &(usize, &Measurement)| {
            *index >= older || now.since(measured.at) <= WINDOW
        };
        let counted = self.measured.iter().enumerate().filter(counts);
        counted.map(|(_, measured)| measured.late).min().unwrap_or_default()
    }
}
