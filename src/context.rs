//! Clock and randomness of a process, as one value that tests can replace.

use crate::clock;

/// Clock and randomness shared by every duty of one process.
#[derive(Clone, Copy, Debug)]
pub struct Context<C = clock::System> {
    /// Source of time.
    pub clock: C,
    /// Seed from which every duty derives its own seed.
    pub seed: u64,
}

impl Context {
    /// The real environment: system clock and a seed from the operating system.
    pub fn system() -> Self {
        Self { clock: clock::System::new(), seed: rand::random() }
    }
}

impl<C: clock::Clock> Context<C> {
    /// The current instant.
    pub fn now(&self) -> clock::Instant {
        self.clock.now()
    }

    /// The seed of the duty named `duty`. It depends only on that name and on [`Context::seed`].
    pub fn seed_for(&self, duty: &str) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.seed.to_le_bytes());
        hasher.update(duty.as_bytes());
        let bytes = hasher.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&bytes.as_bytes()[..8]);
        u64::from_le_bytes(first)
    }
}
