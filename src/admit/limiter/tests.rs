use std::collections;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use rstest::rstest;

use crate::admit;
use crate::bench::named_limit;
use crate::clock;
use crate::retry;

const ORDER: u32 = 10;
const BROWSE: u32 = 1;

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

/// A gate that has slots for everything, and the starts that it allowed.
struct Upstream {
    gate: admit::Gate,
    next: u64,
    starts: Vec<u64>,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    Started,
    /// With the time until it may be tried again, in milliseconds.
    Limited(u64),
    Waits,
}

impl Upstream {
    fn new(slots: u16) -> Self {
        let limits = admit::Limits { slots, connections: 1000, queue: 50 };
        Self { gate: admit::Gate::new(limits), next: 0, starts: Vec::new() }
    }

    fn handle(&mut self, event: admit::Event, now: u64) -> Vec<admit::Action> {
        let mut actions = Vec::new();
        self.gate.handle(event, at(now), &mut actions);
        let started = actions.iter().filter(|a| matches!(a, admit::Action::Run { .. })).count();
        self.starts.extend(std::iter::repeat_n(now, started));
        actions
    }

    fn name(&mut self, rate: Option<&str>, now: u64) -> Vec<admit::Action> {
        let rate = rate.map(|rate| rate.parse().expect("a rate"));
        self.handle(admit::Event::Rate(rate), now)
    }

    /// A call that ends at once if it starts.
    fn call(&mut self, weight: u32, now: u64) -> Verdict {
        self.call_of(weight, false, now)
    }

    /// A call that ends at once if it starts, of a caller that returns.
    fn call_again(&mut self, weight: u32, now: u64) -> Verdict {
        self.call_of(weight, true, now)
    }

    fn call_of(&mut self, weight: u32, returning: bool, now: u64) -> Verdict {
        let ticket = admit::Ticket(self.next);
        self.next += 1;
        let (target, deadline) = (at(now + 1000), at(now + 1000));
        let kind = admit::Kind(0);
        let call = admit::Call { ticket, kind, weight, nested: false, returning, target, deadline };
        let verdict = match self.handle(admit::Event::Arrive(call), now)[..] {
            [admit::Action::Run { .. }] => Verdict::Started,
            [admit::Action::Refuse { reason: retry::Reason::Limited, retry_after, .. }] => {
                Verdict::Limited(u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX))
            }
            [] => Verdict::Waits,
            ref other => panic!("{other:?}"),
        };
        if verdict == Verdict::Started {
            self.handle(admit::Event::Ended { ticket }, now);
        }
        verdict
    }

    /// The most starts in any span.
    fn most_in_a_span(&self) -> usize {
        let starts: Vec<clock::Instant> = self.starts.iter().copied().map(at).collect();
        named_limit::most_starts(&starts)
    }
}

#[rstest]
#[case::nothing("0", 0.0)]
#[case::less_than_one("0.4", 0.4)]
#[case::few("10.4", 10.4)]
#[case::many("47.5", 47.5)]
#[case::hundreds("400", 400.0)]
fn no_more_calls_start_in_any_span_than_the_limit_allows(#[case] named: &str, #[case] rate: f64) {
    let mut upstream = Upstream::new(100);
    upstream.name(Some(named), 0);
    let mut rng = rngs::SmallRng::seed_from_u64(1);
    for now in 0..40_000 {
        // Callers pause now and then, so that unused calls add up.
        let pressed = now / 3000 % 2 == 0;
        if pressed && rng.random_bool(0.9) {
            let weight = if rng.random_bool(0.3) { ORDER } else { BROWSE };
            upstream.call(weight, now);
        }
    }
    let most = upstream.most_in_a_span();
    assert!(
        most <= named_limit::allowed(rate),
        "{most} calls, {} allowed",
        named_limit::allowed(rate)
    );
    assert!(upstream.starts.len() > (rate * 20.0) as usize, "{} calls", upstream.starts.len());
}

#[test]
fn a_limit_that_changes_with_each_answer_is_kept_at_its_highest() {
    let mut upstream = Upstream::new(100);
    let mut rng = rngs::SmallRng::seed_from_u64(2);
    for now in 0..20_000 {
        if now % 7 == 0 {
            let rate = rng.random_range(0..=20).to_string();
            upstream.name(Some(&rate), now);
        }
        upstream.call(BROWSE, now);
    }
    let most = upstream.most_in_a_span();
    assert!(most <= named_limit::allowed(20.0), "{most} calls");
}

#[test]
fn calls_that_wait_are_refused_when_a_limit_is_named_and_go_elsewhere() {
    let mut upstream = Upstream::new(1);
    let first = admit::Ticket(1000);
    let call = admit::Call {
        ticket: first,
        kind: admit::Kind(0),
        weight: BROWSE,
        nested: false,
        returning: false,
        target: at(1000),
        deadline: at(1000),
    };
    upstream.handle(admit::Event::Arrive(call), 0);
    assert_eq!(upstream.call(BROWSE, 0), Verdict::Waits);
    assert_eq!(upstream.call(ORDER, 0), Verdict::Waits);
    let refused = upstream.name(Some("5"), 1);
    assert_eq!(refused.len(), 2, "{refused:?}");
    assert!(refused.iter().all(|action| matches!(
        action,
        admit::Action::Refuse { reason: retry::Reason::Limited, .. }
    )));
}

#[test]
fn a_limit_no_longer_named_binds_no_call() {
    let mut upstream = Upstream::new(100);
    upstream.name(Some("1"), 0);
    assert!(matches!(upstream.call(BROWSE, 0), Verdict::Limited(_)));
    upstream.name(None, 1);
    assert!((0..50).all(|_| upstream.call(BROWSE, 1) == Verdict::Started));
    upstream.name(Some("1"), 2);
    upstream.handle(admit::Event::Restart, 3);
    assert_eq!(upstream.call(BROWSE, 3), Verdict::Started, "another process has named none");
}

#[test]
fn the_most_urgent_calls_get_what_a_limit_leaves() {
    let mut upstream = Upstream::new(100);
    upstream.name(Some("10"), 0);
    let mut rng = rngs::SmallRng::seed_from_u64(3);
    let mut started = collections::HashMap::new();
    let mut made = collections::HashMap::new();
    for now in 0..60_000 {
        for (weight, per_second) in [(ORDER, 5.0), (BROWSE, 40.0)] {
            if rng.random_bool(per_second / 1000.0) {
                let served = upstream.call(weight, now) == Verdict::Started;
                *made.entry(weight).or_insert(0) += 1;
                *started.entry(weight).or_insert(0) += u32::from(served);
            }
        }
    }
    let share = |weight| f64::from(started[&weight]) / f64::from(made[&weight]);
    assert!(share(ORDER) > 0.95, "{started:?} of {made:?}");
    assert!(started[&BROWSE] > 100, "{started:?} of {made:?}");
}

#[test]
fn refused_callers_that_return_on_time_find_room() {
    let mut upstream = Upstream::new(100);
    upstream.name(Some("20"), 0);
    let mut due = collections::BTreeMap::<u64, u32>::new();
    let (mut refused, mut kept) = (0, 0);
    for now in 0..30_000 {
        let returning = due.remove(&now).unwrap_or_default();
        for _ in 0..returning {
            match upstream.call_again(BROWSE, now) {
                Verdict::Started => kept += 1,
                Verdict::Limited(_) | Verdict::Waits => {}
            }
        }
        // 15 new callers a second, and 15 more in each first half second of five.
        let burst = now % 5000 < 500 && now % 20 == 0;
        if (now % 66 == 0 || burst)
            && let Verdict::Limited(after) = upstream.call(BROWSE, now)
        {
            refused += 1;
            *due.entry(now + after.max(1)).or_default() += 1;
        }
    }
    assert!(refused > 20, "{refused} were refused");
    assert!(kept * 10 >= refused * 8, "{kept} of {refused} found room when they returned");
}

#[test]
fn a_wait_is_never_longer_than_a_second() {
    let mut upstream = Upstream::new(100);
    upstream.name(Some("2"), 0);
    let waits: Vec<Verdict> = (0..100).map(|_| upstream.call(BROWSE, 0)).collect();
    assert!(waits.iter().all(|w| matches!(w, Verdict::Limited(1..=1000))), "{waits:?}");
    let allowance = upstream.gate.allowance(at(60_000)).expect("a limit");
    assert_eq!((allowance.left, allowance.rate.per_second()), (2, 2.0));
    assert_eq!(allowance.rate.time_of(1.0), time::Duration::from_millis(500));
}
