use std::collections;
use std::future;
use std::time::Duration;

use rstest::rstest;
use tokio::time;

use crate::configs;
use crate::proxy::inbound_link;

#[rstest]
#[case::slow(5.0, 2048, 8)]
#[case::medium(100.0, 31_250, 8)]
#[case::fast(1000.0, 262_144, 9)]
fn window_and_turns_follow_from_the_rate_of_the_link(
    #[case] mbps: f64,
    #[case] window: u32,
    #[case] turns: usize,
) {
    let settings = configs::proxy::Proxy { link_mbps: mbps, ..configs::proxy::Proxy::default() };
    assert_eq!(inbound_link::Plan::new(&settings), inbound_link::Plan { window, turns });
}

#[test]
fn a_link_of_unknown_rate_has_no_bounds() {
    let settings = configs::proxy::Proxy::default();
    let plan = inbound_link::Plan::new(&settings);
    assert_eq!(plan.window, settings.stream_bytes);
    assert!(plan.turns > usize::from(u16::MAX));
}

#[test]
fn bytes_are_pending_until_they_are_received_or_the_body_is_dropped() {
    let link = inbound_link::InboundLink::new(inbound_link::Plan { window: 4096, turns: 4 });
    let mut first = link.turn(60_000);
    let second = link.turn(40_000);
    assert_eq!(link.pending_bytes(), 100_000);
    first.record(50_000);
    assert_eq!(link.pending_bytes(), 50_000);
    first.record(50_000);
    assert_eq!(link.pending_bytes(), 40_000, "more than was announced");
    drop(second);
    drop(first);
    assert_eq!(link.pending_bytes(), 0);
}

/// A link of 15 Mbit/s carries 60 kB in 32 ms, and a window of 4687 bytes has no turn to wait for.
#[test]
fn a_transfer_takes_the_time_of_the_pending_bytes_and_of_the_body() {
    let settings = configs::proxy::Proxy { link_mbps: 15.0, ..configs::proxy::Proxy::default() };
    let link = inbound_link::InboundLink::new(inbound_link::Plan::new(&settings));
    let _pending = link.turn(120_000);
    let millis = |settings, size: hyper::body::SizeHint| {
        let transfer = link.transfer(settings, &size);
        (transfer.before.as_millis(), transfer.own.as_millis())
    };
    let exact = hyper::body::SizeHint::with_exact;
    assert_eq!(millis(&settings, exact(60_000)), (64, 32));
    assert_eq!(millis(&settings, exact(4687)), (0, 2));
    assert_eq!(millis(&settings, hyper::body::SizeHint::default()), (64, 0), "of unknown length");
    let unknown = configs::proxy::Proxy::default();
    assert_eq!(millis(&unknown, exact(60_000)), (0, 0), "the rate of the link is not known");
}

/// Guards against a panic at a rate that the settings allow.
#[test]
fn a_transfer_on_a_link_of_a_tiny_rate_takes_for_ever() {
    let settings = configs::proxy::Proxy { link_mbps: 1e-300, ..configs::proxy::Proxy::default() };
    let link = inbound_link::InboundLink::new(inbound_link::Plan::new(&settings));
    let _pending = link.turn(60_000);
    let transfer = link.transfer(&settings, &hyper::body::SizeHint::with_exact(60_000));
    assert_eq!((transfer.before, transfer.own), (Duration::MAX, Duration::MAX));
    assert_eq!(transfer.total(), Duration::MAX);
}

/// Guards against a sender that announces a body and never sends it: the bodies of other nodes would
/// be refused on an idle link until the deadline of its call. The load that is reported still
/// counts its bytes.
#[tokio::test(start_paused = true)]
async fn a_body_that_is_announced_and_never_sent_delays_no_other_after_the_stall_timeout() {
    let settings = configs::proxy::Proxy { link_mbps: 15.0, ..configs::proxy::Proxy::default() };
    let link = inbound_link::InboundLink::new(inbound_link::Plan::new(&settings));
    let size = hyper::body::SizeHint::with_exact(60_000);
    let before = || link.transfer(&settings, &size).before.as_millis();
    let mut moving = link.turn(60_000);
    let mut stalled = link.turn(120_000);
    moving.record(30_000);
    assert_eq!(before(), 80);
    let silence = stalled.await_frame(future::pending::<()>());
    assert!(time::timeout(Duration::from_millis(49), silence).await.is_err());
    assert_eq!(before(), 80, "not stalled yet");
    let silence = stalled.await_frame(time::sleep(Duration::from_millis(100)));
    let observed = async {
        time::sleep(Duration::from_millis(51)).await;
        (before(), link.pending_bytes())
    };
    let ((), observed) = tokio::join!(silence, observed);
    assert_eq!(observed, (16, 150_000), "stalled");
    assert_eq!(before(), 80, "a frame has come");
    let silence = stalled.await_frame(future::pending::<()>());
    assert!(time::timeout(Duration::from_millis(51), silence).await.is_err());
    assert_eq!(before(), 16, "stalled again");
    drop(stalled);
    assert_eq!((before(), link.pending_bytes()), (16, 30_000));
    drop(moving);
    assert_eq!((before(), link.pending_bytes()), (0, 0));
}

/// Simulates uploads over one link of 6.5 Mbit/s and short calls behind them, in virtual time.
struct Link {
    plan: inbound_link::Plan,
    /// Bytes that each upload has yet to send.
    rest: Vec<u64>,
    /// Packets in flight: the upload and the number of bytes of each.
    in_flight: collections::VecDeque<(usize, u64)>,
    /// Uploads that hold a turn, and those that wait for one, with the bytes received before it.
    turns: collections::BTreeSet<usize>,
    waiting: collections::VecDeque<(usize, u64)>,
    done: usize,
}

impl Link {
    /// Microseconds for one byte at 6.5 Mbit/s.
    const BYTE_US: f64 = 8.0 / 6.5;

    fn new(plan: inbound_link::Plan) -> Self {
        let (rest, in_flight) = (Vec::new(), collections::VecDeque::new());
        let (turns, waiting) = (collections::BTreeSet::new(), collections::VecDeque::new());
        Self { plan, rest, in_flight, turns, waiting, done: 0 }
    }

    fn begin(&mut self, bytes: u64) {
        self.rest.push(bytes);
        self.send(self.rest.len() - 1, u64::from(self.plan.window));
    }

    /// Lets the sender of `upload` send `bytes` more.
    fn send(&mut self, upload: usize, bytes: u64) {
        let bytes = bytes.min(self.rest[upload]);
        self.rest[upload] -= bytes;
        if bytes > 0 {
            self.in_flight.push_back((upload, bytes));
        } else if self.turns.remove(&upload) {
            self.done += 1;
            if let Some((next, bytes)) = self.waiting.pop_front() {
                self.turns.insert(next);
                self.send(next, bytes);
            }
        }
    }

    /// Carries one packet and returns the time that took, in microseconds.
    fn carry(&mut self) -> f64 {
        let Some((upload, bytes)) = self.in_flight.pop_front() else { return 1000.0 };
        if self.turns.contains(&upload) || self.turns.len() < self.plan.turns {
            self.turns.insert(upload);
            self.send(upload, bytes);
        } else {
            self.waiting.push_back((upload, bytes));
        }
        bytes as f64 * Self::BYTE_US
    }

    /// How long a packet that arrives now waits for the link, in milliseconds.
    fn delay_ms(&self) -> f64 {
        let bytes: u64 = self.in_flight.iter().map(|(_, bytes)| bytes).sum();
        bytes as f64 * Self::BYTE_US / 1000.0
    }
}

/// Runs eleven uploads of 20 to 100 kB a second for a minute, in bursts of four. Returns the 90th
/// percentile of the delay of a short call, in milliseconds, and the number of completed uploads.
fn short_calls(plan: inbound_link::Plan) -> (u64, usize) {
    let mut link = Link::new(plan);
    let (mut now, mut next, mut number) = (0.0, 0.0, 0);
    let mut delays = Vec::new();
    while now < 60e6 {
        while next <= now {
            (0..4).for_each(|n| link.begin(20_000 + (number + n) * 7919 % 80_000));
            number += 4;
            next += 4e6 / 11.0;
        }
        // One call arrives each millisecond; the packet that is being carried shortens its wait.
        let (wait, took) = (link.delay_ms() as u64, link.carry());
        delays.extend((0..(took / 1000.0) as u64 + 1).map(|ms| wait.saturating_sub(ms)));
        now += took;
    }
    delays.sort_unstable();
    (delays[delays.len() * 9 / 10], link.done)
}

#[test]
fn short_calls_pass_a_link_that_uploads_fill() {
    let settings = configs::proxy::Proxy { link_mbps: 6.5, ..configs::proxy::Proxy::default() };
    let all_at_once = inbound_link::Plan { window: 262_144, turns: usize::MAX };
    let (before, completed) = short_calls(all_at_once);
    let (after, in_turns) = short_calls(inbound_link::Plan::new(&settings));
    println!("{before} ms and {completed} uploads at once, {after} ms and {in_turns} in turns");
    assert!(before > 200, "{before} ms behind all uploads at once");
    assert!(after <= 40, "{after} ms behind uploads in turns");
    assert!(in_turns * 100 >= completed * 98, "the link stays busy: {in_turns} of {completed}");
}
