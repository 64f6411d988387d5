//! Start times of the calls: a seeded Poisson process for each flow, merged in order of time.

use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use crate::bench::load::plan;

/// One call to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time from the start of the load to the call's intended start.
    pub at: time::Duration,
    /// Index of its flow.
    pub flow: usize,
    /// Its number among all calls of the thread.
    pub number: u64,
}

/// The arrivals of one thread in order of time.
#[derive(Debug)]
pub struct Arrivals {
    /// For each flow the time of its next arrival in seconds, and its rate per second.
    next: Vec<(f64, f64)>,
    end: f64,
    number: u64,
    rng: SmallRng,
}

impl Arrivals {
    /// The arrivals of the thread with the index `thread`.
    pub fn new(plan: &plan::Plan, thread: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.seed.wrapping_add(thread as u64));
        let share = plan.threads.max(1) as f64;
        let rates = plan.flows.iter().map(|flow| flow.rate / share);
        let next = rates.map(|rate| (gap(&mut rng, rate), rate)).collect();
        Self { next, end: plan.seconds, number: 0, rng }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let soonest = self.next.iter_mut().enumerate().min_by(|a, b| a.1.0.total_cmp(&b.1.0));
        let (flow, (at, rate)) = soonest?;
        if *at >= self.end {
            return None;
        }
        let arrival =
            Arrival { at: time::Duration::try_from_secs_f64(*at).ok()?, flow, number: self.number };
        *at += gap(&mut self.rng, *rate);
        self.number += 1;
        Some(arrival)
    }
}

/// Random time until the next arrival, in seconds, at `rate` arrivals per second.
fn gap(rng: &mut SmallRng, rate: f64) -> f64 {
    if rate <= 0.0 {
        return f64::INFINITY;
    }
    let share: f64 = rng.random_range(f64::EPSILON..1.0);
    -share.ln() / rate
}
