//! Tests of what attempts report on nodes.

use std::cell::RefCell;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time;

use rstest::rstest;
use smol_str::SmolStr;

use super::{Attempt, Expected};
use crate::admit;
use crate::clock;
use crate::configs;
use crate::context;
use crate::host;
use crate::mesh;
use crate::pick;
use crate::retry;
use crate::rollout;
use crate::view;

const SHOP: pick::Target =
    pick::Target { service: mesh::ServiceKey(0), class: None, group: rollout::VersionGroup::Any };

const LOAD: admit::Load = admit::Load { running: 0, waiting: 0, slots: 9, service_us: 10_000 };

fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn host(number: u8) -> host::HostId {
    host::HostId::new(net::SocketAddr::from(([127, 0, 0, number], 7100)))
}

/// A picker for two upstreams in one zone that counts the delay of nodes.
fn picker(now: clock::Instant) -> Rc<RefCell<pick::Picker>> {
    let settings = configs::call::Call { node_delay: true, ..configs::call::Call::default() };
    picker_with(&settings, pick::Counts::default(), now)
}

/// A picker for two upstreams in one zone.
fn picker_with(
    settings: &configs::call::Call,
    counts: pick::Counts,
    now: clock::Instant,
) -> Rc<RefCell<pick::Picker>> {
    let objectives = mesh::Objectives {
        availability: 0.99,
        latency: ms(100),
        share: 0.99,
        window: time::Duration::from_secs(3600),
    };
    let service = mesh::Service {
        name: SmolStr::new_static("shop"),
        organisation: mesh::OrganisationKey(0),
        timeout: ms(1000),
        queue: 9,
        retries: 10,
        objectives,
    };
    let class = mesh::Class {
        name: SmolStr::new_static("shop"),
        service: mesh::ServiceKey(0),
        slots: 9,
        connections: 120,
        warmup: ms(0),
    };
    let mut mesh = mesh::Mesh::default();
    mesh.services = vec![service];
    mesh.classes = vec![class];
    let upstream = view::Upstream {
        service: SmolStr::new_static("shop"),
        class: SmolStr::new_static("shop"),
        phase: view::Phase::Serving,
        slots: 9,
        connections: 120,
        incarnation: 0,
        version: Default::default(),
        trial: Default::default(),
    };
    let upstream = Some(Arc::new(upstream));
    let locality = view::Locality { region: SmolStr::default(), zone: SmolStr::default() };
    let hosts = [1, 2].map(|number| view::Host {
        id: host(number),
        locality: Arc::new(locality.clone()),
        incarnation: 1,
        health: view::Health::Alive,
        upstream: upstream.clone(),
    });
    let mut picker = pick::Picker::new(locality, settings, 7).with_counts(counts);
    picker.rebuild(&view::View::new(hosts.to_vec()), &mesh, now);
    Rc::new(RefCell::new(picker))
}

/// An attempt at the upstream of host `number`, with a mean run time of 1 ms.
fn attempt(
    ctx: context::Context,
    picker: &Rc<RefCell<pick::Picker>>,
    number: u8,
    deadline: clock::Instant,
) -> Attempt {
    let other = [host(3 - number)];
    let choice = picker.borrow_mut().pick(SHOP, ctx.now(), &other).expect("a choice");
    assert_eq!(choice.host, host(number));
    let mut attempt = Attempt::start(ctx, Rc::clone(picker), choice);
    attempt.handle(retry::Event::Sending);
    attempt.set_expected(Expected { run: Some(ms(1)), deadline });
    attempt
}

/// How many of 20 calls go to the first host after an attempt there that `end` has ended, 30 ms
/// after its start; the second host has responded without delay.
fn picked_after(deadline: time::Duration, end: impl FnOnce(Attempt)) -> usize {
    let ctx = context::Context::system();
    let picker = picker(ctx.now());
    let deadline = ctx.now() + deadline;
    let first = attempt(ctx, &picker, 1, deadline);
    std::thread::sleep(ms(30));
    end(first);
    let mut second = attempt(ctx, &picker, 2, deadline);
    second.handle(retry::Event::Head);
    second.set_load(Some(LOAD), None);
    second.record_held(Some(time::Duration::MAX));
    second.end(retry::Event::End);
    let picks = || picker.borrow_mut().pick(SHOP, ctx.now(), &[]).expect("a choice").host;
    (0..20).filter(|_| picks() == host(1)).count()
}

/// Guards against nodes that look fast as the calls that time out inside them are not measured, and
/// against a delay of nodes for attempts that show none.
#[rstest]
#[case::timed_out(1000, retry::Event::Failed(retry::Reason::Timeout), true)]
#[case::cut(1000, retry::Event::Failed(retry::Reason::Cut), true)]
#[case::no_connection_in_time(1000, retry::Event::Refused(retry::Reason::TooLate), true)]
#[case::caller_left_at_its_deadline(20, retry::Event::Failed(retry::Reason::Cancelled), true)]
#[case::caller_left_early(1000, retry::Event::Failed(retry::Reason::Cancelled), false)]
#[case::refused(1000, retry::Event::Refused(retry::Reason::Full), false)]
fn an_attempt_without_a_response_counts_with_its_time(
    #[case] deadline: u64,
    #[case] event: retry::Event,
    #[case] slow: bool,
) {
    let picked = picked_after(ms(deadline), |attempt| {
        attempt.end(event);
    });
    assert_eq!(picked == 0, slow, "{picked} of 20 calls go there");
}

#[rstest]
#[case::not_held(Some(0), true)]
#[case::held_longer_than_the_attempt(Some(5000), false)]
#[case::not_sent(None, false)]
fn the_time_for_which_the_node_held_the_call_is_no_delay(
    #[case] held: Option<u64>,
    #[case] slow: bool,
) {
    let picked = picked_after(ms(1000), |mut attempt| {
        attempt.handle(retry::Event::Head);
        attempt.set_load(Some(LOAD), None);
        attempt.record_held(held.map(ms));
        attempt.end(retry::Event::End);
    });
    assert_eq!(picked == 0, slow, "{picked} of 20 calls go there");
}

/// Guards against a time-out that a live node reports, as its upstream did not answer, and that
/// counts as a delay of the node.
#[test]
fn a_timeout_at_the_upstream_is_no_delay_of_the_node() {
    let picked = picked_after(ms(1000), |mut attempt| {
        attempt.set_load(Some(LOAD), None);
        attempt.record_held(Some(ms(5000)));
        attempt.end(retry::Event::PossiblyRan(retry::Reason::Timeout));
    });
    assert!(picked > 0);
}

/// Guards against a delay of nodes whose callers broke off the bodies of their requests.
#[rstest]
#[case::broken_off(true, false)]
#[case::lost(false, true)]
fn an_attempt_that_its_caller_broke_off_shows_no_delay(
    #[case] broken_off: bool,
    #[case] slow: bool,
) {
    let picked = picked_after(ms(1000), |mut attempt| {
        if broken_off {
            attempt.record_broken_off();
        }
        attempt.end(retry::Event::PossiblyRan(retry::Reason::Cut));
    });
    assert_eq!(picked == 0, slow, "{picked} of 20 calls go there");
}

/// Guards against hosts that count as lost as one caller broke off its uploads.
#[rstest]
#[case::broken_off(true, 0)]
#[case::lost(false, 1)]
fn an_attempt_that_its_caller_broke_off_shows_no_lost_host(
    #[case] broken_off: bool,
    #[case] losses: u64,
) {
    let ctx = context::Context::system();
    let settings = configs::call::Call { loss_window_ms: 2000, ..configs::call::Call::default() };
    let counts = pick::Counts::default();
    let picker = picker_with(&settings, counts.clone(), ctx.now());
    for number in [1, 2] {
        let mut attempt = attempt(ctx, &picker, number, ctx.now() + ms(1000));
        if broken_off {
            attempt.record_broken_off();
        }
        attempt.end(retry::Event::PossiblyRan(retry::Reason::Cut));
    }
    assert_eq!(counts.losses.get(), losses);
}

/// Guards against responses without a load that count as none, so that the hosts of nodes that send
/// no load, or one that can't be parsed, count as lost or slow.
#[rstest]
#[case::responded(true, 0)]
#[case::silent(false, 1)]
fn a_response_without_a_load_is_a_response(#[case] responded: bool, #[case] losses: u64) {
    let ctx = context::Context::system();
    let settings = configs::call::Call { loss_window_ms: 2000, ..configs::call::Call::default() };
    let counts = pick::Counts::default();
    let picker = picker_with(&settings, counts.clone(), ctx.now());
    for number in [1, 2] {
        let mut attempt = attempt(ctx, &picker, number, ctx.now() + ms(1000));
        if responded {
            attempt.record_response();
        }
        attempt.set_load(None, None);
        attempt.end(retry::Event::PossiblyRan(retry::Reason::Cut));
    }
    assert_eq!(counts.losses.get(), losses);
}

#[test]
fn a_response_without_a_load_is_no_delay_of_the_node() {
    let picked = picked_after(ms(1000), |mut attempt| {
        attempt.record_response();
        attempt.set_load(None, None);
        attempt.end(retry::Event::PossiblyRan(retry::Reason::Timeout));
    });
    assert!(picked > 0);
}
