//! The record of a case, and random numbers.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Locks `mutex`, whatever became of a thread that held it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes what was sent, answered and run, with the time since the start.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { began: Instant::now(), file: Mutex::new(file) }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes a line, and returns its time.
    pub fn write(&self, text: &str) -> Duration {
        let mut file = lock(&self.file);
        let now = self.now();
        let _ = writeln!(file, "{:8.3} {text}", now.as_secs_f64());
        now
    }

    /// Writes a line and shows it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.write(text);
    }
}

/// A generator of random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// The seed of a case: that of the variable `SEED`, or a new one.
pub fn seed() -> u64 {
    let given = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok());
    given.unwrap_or_else(|| {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::from(time.subsec_nanos()) ^ u64::from(std::process::id()) << 20
    })
}
