//! Tests of the picker.

mod delay;
mod event;
mod loss;
mod overflow;
mod simulation;
mod urgency;

use std::collections;
use std::net;
use std::sync::Arc;
use std::time;

use proptest::prelude::*;
use rstest::rstest;
use smol_str::SmolStr;

use crate::admit;
use crate::clock;
use crate::configs;
use crate::host;
use crate::mesh;
use crate::notice;
use crate::pick;
use crate::retry;
use crate::rollout;
use crate::view;

const SHOP: pick::Target =
    pick::Target { service: mesh::ServiceKey(0), class: None, group: rollout::VersionGroup::Any };
const UNREACHABLE: retry::Outcome = retry::Outcome::NotRun(retry::Reason::Unreachable);

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

fn id(number: u8) -> host::HostId {
    host::HostId::new(net::SocketAddr::from(([127, 0, 0, number], 7100)))
}

fn locality(zone: &str) -> view::Locality {
    view::Locality { region: SmolStr::new_static("north"), zone: SmolStr::new(zone) }
}

fn host(number: u8, zone: &str, phase: view::Phase) -> view::Host {
    let upstream = view::Upstream {
        service: SmolStr::new_static("shop"),
        class: SmolStr::new_static("shop-large"),
        phase,
        slots: 9,
        connections: 120,
        incarnation: 0,
        version: Default::default(),
        trial: Default::default(),
    };
    view::Host {
        id: id(number),
        locality: Arc::new(locality(zone)),
        incarnation: 1,
        health: view::Health::Alive,
        upstream: Some(Arc::new(upstream)),
    }
}

fn serving(zones: &[&str]) -> Vec<view::Host> {
    (1..).zip(zones).map(|(n, zone)| host(n, zone, view::Phase::Serving)).collect()
}

fn shop() -> mesh::Mesh {
    let objectives = mesh::Objectives {
        availability: 0.99,
        latency: time::Duration::from_millis(100),
        share: 0.99,
        window: time::Duration::from_secs(3600),
    };
    let service = mesh::Service {
        name: SmolStr::new_static("shop"),
        organisation: mesh::OrganisationKey(0),
        timeout: time::Duration::from_secs(1),
        queue: 9,
        retries: 10,
        objectives,
    };
    let class = mesh::Class {
        name: SmolStr::new_static("shop-large"),
        service: mesh::ServiceKey(0),
        slots: 9,
        connections: 120,
        warmup: time::Duration::from_secs(10),
    };
    let mut mesh = mesh::Mesh::default();
    mesh.services = vec![service];
    mesh.classes = vec![class];
    mesh
}

/// A picker of an entry node in zone a, with `hosts`.
fn picker(hosts: Vec<view::Host>) -> pick::Picker {
    let mut picker = pick::Picker::new(locality("a"), &configs::call::Call::default(), 7);
    rebuild(&mut picker, hosts, 0);
    picker
}

fn rebuild(picker: &mut pick::Picker, hosts: Vec<view::Host>, millis: u64) {
    picker.rebuild(&view::View::new(hosts), &shop(), at(millis));
}

fn report(outcome: retry::Outcome, service_us: u32) -> pick::Report {
    let load = admit::Load { running: 0, waiting: 0, slots: 9, service_us };
    let load = (outcome != UNREACHABLE).then_some(load);
    pick::Report {
        outcome,
        load,
        relative_time: None,
        notice: None,
        retry_after: None,
        latency: time::Duration::from_millis(1),
        node_delay: None,
        responded_at: None,
    }
}

/// Makes a call that ends at once with `outcome`, and returns the host that was picked.
fn call(picker: &mut pick::Picker, outcome: retry::Outcome, millis: u64) -> host::HostId {
    let choice = picker.pick(SHOP, at(millis), &[]).expect("a choice");
    picker.started(choice, at(millis));
    picker.ended(choice, &report(outcome, 1000), at(millis));
    choice.host
}

/// How often each host is picked for `calls` calls that end at once.
fn share(picker: &mut pick::Picker, calls: u32, millis: u64) -> collections::HashMap<u8, u32> {
    let mut share = collections::HashMap::new();
    for _ in 0..calls {
        let host = call(picker, retry::Outcome::Ran, millis);
        let net::IpAddr::V4(ip) = host.member_addr().ip() else { continue };
        *share.entry(ip.octets()[3]).or_default() += 1;
    }
    share
}

#[test]
fn a_draining_upstream_is_never_picked() {
    let mut hosts = serving(&["a", "a"]);
    hosts[0] = host(1, "a", view::Phase::Draining);
    let mut picker = picker(hosts);
    assert_eq!(share(&mut picker, 100, 0).get(&1), None);
    rebuild(&mut picker, vec![host(1, "a", view::Phase::Draining)], 1);
    assert_eq!(picker.pick(SHOP, at(1), &[]), None);
}

#[test]
fn an_unreachable_upstream_is_picked_only_if_there_is_no_other() {
    let mut hosts = serving(&["a", "b"]);
    hosts[0].health = view::Health::Unreachable;
    let mut picker = picker(hosts.clone());
    assert_eq!(share(&mut picker, 100, 0).get(&1), None);
    hosts[1].health = view::Health::Unreachable;
    rebuild(&mut picker, hosts, 1);
    assert!(picker.pick(SHOP, at(1), &[]).is_some());
}

#[test]
fn calls_stay_in_their_zone_until_they_would_wait() {
    let mut picker = picker(serving(&["a", "b", "b"]));
    let near = share(&mut picker, 1000, 0)[&1];
    assert!(near > 980, "{near} of 1000 calls stayed in the zone");
    let mut started = 0;
    while let Some(choice) = picker.pick(SHOP, at(0), &[]) {
        picker.started(choice, at(0));
        started += u32::from(choice.same_zone);
        if !choice.same_zone && started >= 9 {
            break;
        }
    }
    assert_eq!(started, 9, "calls in the zone before one left it");
}

#[test]
fn an_unreachable_upstream_is_ejected_and_probed_at_growing_intervals() {
    let mut picker = picker(serving(&["a", "a", "a"]));
    let mut picked = Vec::new();
    for millis in 0..20_000 {
        let choice = picker.pick(SHOP, at(millis), &[]).expect("a choice");
        picker.started(choice, at(millis));
        let unreachable = choice.host == id(1);
        let outcome = if unreachable { UNREACHABLE } else { retry::Outcome::Ran };
        picker.ended(choice, &report(outcome, 1000), at(millis));
        picked.extend(unreachable.then_some(millis));
    }
    assert!((4..=7).contains(&picked.len()), "{picked:?}");
    let gaps: Vec<u64> = picked.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps.windows(2).all(|w| w[1] > w[0]), "{gaps:?}");
}

#[test]
fn a_fault_of_all_upstreams_never_leaves_a_call_without_a_candidate() {
    let mut picker = picker(serving(&["a", "a", "a", "a"]));
    for millis in 0..100 {
        call(&mut picker, UNREACHABLE, millis);
    }
    let after = share(&mut picker, 400, 60_000);
    assert_eq!(after.len(), 4, "all get calls again once they serve: {after:?}");
}

#[test]
fn failures_eject_at_most_half_of_the_upstreams() {
    let mut picker = picker(serving(&["a", "a", "a", "a"]));
    for _ in 0..100 {
        call(&mut picker, retry::Outcome::Unknown(retry::Reason::Timeout), 0);
    }
    assert_eq!(share(&mut picker, 100, 1).len(), 2);
}

/// Guards against the ejection of the last upstream because of an aggregate from before the
/// ejection of the others.
#[test]
fn slowness_ejects_no_upstream_once_half_are_ejected() {
    let mut picker = picker(serving(&["a", "a"]));
    for number in [1, 2] {
        let other = [id(3 - number)];
        let choice = picker.pick(SHOP, at(0), &other).expect("one");
        picker.started(choice, at(0));
        let slow = if number == 2 { 100_000 } else { 400 };
        picker.ended(choice, &report(retry::Outcome::Ran, slow), at(0));
    }
    let draining = picker.pick(SHOP, at(1), &[id(2)]).expect("one");
    picker.started(draining, at(1));
    let refusal = retry::Outcome::NotRun(retry::Reason::Draining);
    picker.ended(draining, &report(refusal, 400), at(1));
    for millis in 2..60 {
        let choice = picker.pick(SHOP, at(millis), &[]).expect("one");
        assert_eq!(choice.host, id(2));
        picker.started(choice, at(millis));
        picker.ended(choice, &report(retry::Outcome::Ran, 100_000), at(millis));
        let peer = picker.peer(choice).expect("known");
        assert!(!peer.is_ejected(), "the last upstream is ejected as slow");
    }
}

#[test]
fn an_upstream_much_slower_than_its_peers_is_ejected() {
    let mut picker = picker(serving(&["a", "a", "a"]));
    let mut slow = 0;
    for millis in 0..1000 {
        let choice = picker.pick(SHOP, at(millis), &[]).expect("a choice");
        picker.started(choice, at(millis));
        let service_us = if choice.host == id(1) { 10_000 } else { 1000 };
        picker.ended(choice, &report(retry::Outcome::Ran, service_us), at(millis));
        slow += u32::from(choice.host == id(1));
    }
    assert!(slow < 20, "{slow} of 1000 calls went to the slow upstream");
}

#[test]
fn a_warming_upstream_gets_a_growing_share() {
    let mut hosts = serving(&["a", "a"]);
    hosts[0] = host(1, "a", view::Phase::Warming);
    let mut picker = picker(hosts);
    let started = |picker: &mut pick::Picker, millis| {
        let choices: Vec<pick::Choice> = (0..10)
            .map(|_| {
                let choice = picker.pick(SHOP, at(millis), &[]).expect("a choice");
                picker.started(choice, at(millis));
                choice
            })
            .collect();
        for choice in &choices {
            picker.ended(*choice, &report(retry::Outcome::Ran, 1000), at(millis));
        }
        choices.iter().filter(|c| c.host == id(1)).count()
    };
    assert!(started(&mut picker, 0) <= 2);
    assert!(started(&mut picker, 10_000) >= 3);
}

#[test]
fn the_state_of_a_host_outlives_a_rebuild_but_not_a_restart() {
    let mut hosts = serving(&["a", "a"]);
    let mut picker = picker(hosts.clone());
    while call(&mut picker, UNREACHABLE, 0) != id(1) {}
    rebuild(&mut picker, hosts.clone(), 1);
    assert_eq!(share(&mut picker, 50, 1).get(&1), None);
    hosts[0].incarnation = 2;
    rebuild(&mut picker, hosts, 2);
    assert!(share(&mut picker, 50, 2).contains_key(&1));
}

#[rstest]
#[case::avoided(&[1], 2)]
#[case::no_other(&[1, 2], 2)]
fn a_host_to_avoid_is_picked_only_if_there_is_no_other(#[case] avoid: &[u8], #[case] hosts: usize) {
    let mut picker = picker(serving(&["a", "a"]));
    let avoid: Vec<host::HostId> = avoid.iter().copied().map(id).collect();
    for _ in 0..50 {
        let choice = picker.pick(SHOP, at(0), &avoid).expect("a choice");
        assert!(avoid.len() == hosts || !avoid.contains(&choice.host));
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Pick,
    End(prop::sample::Index, bool),
    /// Two bits for each host: it serves, drains, or has left.
    Rebuild(u16),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::Pick),
        4 => (any::<prop::sample::Index>(), any::<bool>()).prop_map(|(i, ok)| Step::End(i, ok)),
        1 => any::<u16>().prop_map(Step::Rebuild),
        1 => (1_u64..2000).prop_map(Step::Pass),
    ]
}

fn hosts(bits: u16) -> Vec<view::Host> {
    let zones = ["a", "a", "b", "b", "c", "c"];
    let mut hosts = serving(&zones);
    for (n, host) in hosts.iter_mut().enumerate() {
        if (bits >> (2 * n)) & 3 == 1 {
            *host = self::host(n as u8 + 1, zones[n], view::Phase::Draining);
        }
    }
    let mut bits = (0..zones.len()).map(|n| (bits >> (2 * n)) & 3);
    hosts.retain(|_| bits.next() != Some(0));
    hosts
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// A choice is always listed and never drains, there is one whenever an upstream is open, and
    /// the calls of the node are counted exactly across rebuilds.
    #[test]
    fn choices_are_open_and_calls_are_counted(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut known = hosts(u16::MAX);
        let mut picker = picker(known.clone());
        let mut outstanding: Vec<pick::Choice> = Vec::new();
        let mut now = 0;
        for step in steps {
            match step {
                Step::Pick => {
                    let choice = picker.pick(SHOP, at(now), &[]);
                    let open = |h: &view::Host| {
                        h.upstream.as_ref().is_some_and(|u| u.phase != view::Phase::Draining)
                    };
                    prop_assert_eq!(choice.is_some(), known.iter().any(open));
                    let Some(choice) = choice else { continue };
                    prop_assert!(known.iter().any(|h| h.id == choice.host && open(h)));
                    picker.started(choice, at(now));
                    outstanding.push(choice);
                }
                Step::End(index, ok) if !outstanding.is_empty() => {
                    let choice = outstanding.swap_remove(index.index(outstanding.len()));
                    let outcome = if ok { retry::Outcome::Ran } else { UNREACHABLE };
                    picker.ended(choice, &report(outcome, 1000), at(now));
                }
                Step::End(..) => {}
                Step::Rebuild(bits) => {
                    known = hosts(bits);
                    rebuild(&mut picker, known.clone(), now);
                }
                Step::Pass(millis) => now += millis,
            }
            for choice in &outstanding {
                let expected = outstanding.iter().filter(|c| c.host == choice.host).count();
                let counted = picker.peer(*choice).map(|p| usize::from(p.outstanding()));
                prop_assert_eq!(counted, Some(expected));
            }
        }
    }
}

/// A cost of transfer to another zone.
fn crossing(cross_zone: f32) -> pick::TransferCost {
    pick::TransferCost { cross_zone, ..pick::TransferCost::FREE }
}

/// How many of 100 calls stay on the host of the entry node, with `busy` of its nine slots taken,
/// if their bytes occupy the link of another host for `link_ms`.
fn staying(link_ms: f32, busy: u16) -> usize {
    let settings = configs::call::Call::default();
    let mut picker = pick::Picker::new(locality("a"), &settings, 7).with_host(id(1));
    rebuild(&mut picker, serving(&["a", "a", "a"]), 0);
    let cost = pick::TransferCost { link_us: link_ms * 1000.0, ..pick::TransferCost::FREE };
    let heavy = pick::TransferCost { link_us: 1e9, ..pick::TransferCost::FREE };
    for _ in 0..busy {
        let choice = picker.pick_with_cost(SHOP, heavy, at(0), &[]).expect("a choice");
        picker.started(choice, at(0));
    }
    let pick =
        |picker: &mut pick::Picker| picker.pick_with_cost(SHOP, cost, at(0), &[]).map(|c| c.host);
    (0..100).filter(|_| pick(&mut picker) == Some(id(1))).count()
}

#[rstest]
#[case::heavy_stays(74.0, 6, 100)]
#[case::heavy_leaves_a_full_host(74.0, 9, 0)]
#[case::light_goes_where_more_slots_are_free(1.0, 1, 0)]
fn calls_with_many_bytes_stay_on_the_host(
    #[case] link_ms: f32,
    #[case] busy: u16,
    #[case] wanted: usize,
) {
    assert_eq!(staying(link_ms, busy), wanted);
}

/// How many of 100 calls of `cost` leave a zone whose only upstream has `full` times as many calls
/// as slots.
fn crossed(cost: pick::TransferCost, full: u16) -> usize {
    let mut picker = picker(serving(&["a", "b", "b"]));
    for _ in 0..9 * full {
        let choice = picker.pick_with_cost(SHOP, crossing(1000.0), at(0), &[]).expect("a choice");
        picker.started(choice, at(0));
    }
    (0..100)
        .filter(|_| !picker.pick_with_cost(SHOP, cost, at(0), &[]).expect("a choice").same_zone)
        .count()
}

#[rstest]
#[case::light_leaves_a_full_zone(0.2, 1, 100)]
#[case::heavy_waits_in_it(2.0, 1, 0)]
#[case::heavy_leaves_when_the_wait_costs_more(2.0, 3, 100)]
#[case::heavy_is_not_sent_to_explore(2.0, 0, 0)]
fn the_wait_is_weighed_against_the_transfer(
    #[case] cost: f32,
    #[case] full: u16,
    #[case] wanted: usize,
) {
    assert_eq!(crossed(crossing(cost), full), wanted);
}

#[test]
fn a_heavy_call_leaves_a_zone_without_upstreams() {
    let mut picker = picker(serving(&["b"]));
    assert!(picker.pick_with_cost(SHOP, crossing(1000.0), at(0), &[]).is_some());
}

/// Guards against calls that a zone with a full queue refuses although another zone can serve them.
#[rstest]
#[case::light(1.3, 1)]
#[case::heavy(15.0, 0)]
fn a_zone_about_to_refuse_sends_light_calls_away(#[case] cost: f32, #[case] wanted: usize) {
    let mut picker = picker(serving(&["a", "b", "b"]));
    let queue = shop().services[0].queue;
    for _ in 0..9 + queue {
        let choice = picker.pick_with_cost(SHOP, crossing(1000.0), at(0), &[]).expect("a choice");
        picker.started(choice, at(0));
    }
    let choice = picker.pick_with_cost(SHOP, crossing(cost), at(0), &[]).expect("a choice");
    assert_eq!(usize::from(!choice.same_zone), wanted);
}

/// How many of 100 calls leave a zone of 18 upstreams, of which all but one have three times as
/// many calls as slots.
fn leaving_with_one_free() -> usize {
    let zones: Vec<&str> = (0..36).map(|n| if n < 18 { "a" } else { "b" }).collect();
    let mut picker = picker(serving(&zones));
    for full in (1..18).map(id) {
        let others: Vec<host::HostId> = (1..=36).map(id).filter(|host| *host != full).collect();
        for _ in 0..27 {
            let choice = picker
                .pick_with_cost(SHOP, pick::TransferCost::FREE, at(0), &others)
                .expect("a choice");
            assert_eq!(choice.host, full);
            picker.started(choice, at(0));
        }
    }
    (0..100)
        .filter(|_| {
            !picker.pick_with_cost(SHOP, crossing(1.0), at(0), &[]).expect("a choice").same_zone
        })
        .count()
}

#[test]
fn a_call_does_not_leave_a_zone_in_which_an_upstream_is_free() {
    let left = leaving_with_one_free();
    println!("{left} of 100 calls leave");
    // One call in 200 explores the other zones.
    assert!(left <= 3, "{left} of 100 calls leave");
}

/// How many of 100 calls leave a zone of `near` upstreams that all have `load` times as many calls
/// as slots, for a zone of which all upstreams are free.
fn leaving(near: u8, load: u16) -> usize {
    let zones: Vec<&str> = (0..2 * near).map(|n| if n < near { "a" } else { "b" }).collect();
    let mut picker = picker(serving(&zones));
    for full in (1..=near).map(id) {
        let others: Vec<host::HostId> =
            (1..=2 * near).map(id).filter(|host| *host != full).collect();
        for _ in 0..9 * load {
            let choice = picker
                .pick_with_cost(SHOP, pick::TransferCost::FREE, at(0), &others)
                .expect("a choice");
            picker.started(choice, at(0));
        }
    }
    let leaves = |_: &i32| {
        !picker.pick_with_cost(SHOP, crossing(1.0), at(0), &[]).expect("a choice").same_zone
    };
    (0..100).filter(leaves).count()
}

#[rstest]
#[case::small(3, 2, 100)]
#[case::large(18, 2, 0)]
#[case::large_and_overloaded(18, 6, 100)]
fn transfers_out_of_a_large_zone_cost_more(
    #[case] near: u8,
    #[case] load: u16,
    #[case] wanted: usize,
) {
    let left = leaving(near, load);
    // One call in 200 explores the other zones.
    assert!(left.abs_diff(wanted) <= 3, "{left} of 100 calls leave");
}

#[test]
fn the_state_of_an_upstream_does_not_outlive_its_restart() {
    let mut picker = picker(vec![host(1, "a", view::Phase::Serving)]);
    call(&mut picker, retry::Outcome::Ran, 0);
    let choice = picker.pick(SHOP, at(1), &[]).expect("a choice");
    assert_eq!(picker.peer(choice).expect("known").service_us(), Some(1000.0));
    let mut again = host(1, "a", view::Phase::Warming);
    let upstream = again.upstream.take().expect("an upstream");
    again.upstream = Some(Arc::new(view::Upstream { incarnation: 1, ..(*upstream).clone() }));
    rebuild(&mut picker, vec![again], 2);
    let choice = picker.pick(SHOP, at(2), &[]).expect("a choice");
    assert_eq!(picker.peer(choice).expect("known").service_us(), None);
}

/// A picker for two upstreams in one zone, the second of which takes `ratio` times as long.
fn uneven(ratio: f32) -> pick::Picker {
    let mut picker = picker(serving(&["a", "a"]));
    for round in 0..200 {
        let other = id(1 + (round % 2) as u8);
        let choice = picker.pick(SHOP, at(round), &[other]).expect("a choice");
        picker.started(choice, at(round));
        let ratio = if choice.host == id(2) { ratio } else { 1.0 };
        let load = admit::Load { running: 0, waiting: 0, slots: 9, service_us: 1000 };
        let latency = time::Duration::from_millis(1);
        let outcome = retry::Outcome::Ran;
        let report = pick::Report {
            outcome,
            load: Some(load),
            relative_time: Some(ratio),
            notice: None,
            retry_after: None,
            latency,
            node_delay: None,
            responded_at: None,
        };
        picker.ended(choice, &report, at(round));
    }
    picker
}

/// How many of 36 calls that do not end go to the second upstream.
fn second(picker: &mut pick::Picker, nested: bool, millis: u64) -> usize {
    let rank = admit::Rank { nested, weight: 0 };
    let cost = pick::TransferCost { rank, ..pick::TransferCost::FREE };
    let mut picked = 0;
    for _ in 0..36 {
        let choice = picker.pick_with_cost(SHOP, cost, at(millis), &[]).expect("a choice");
        picker.started(choice, at(millis));
        picked += usize::from(choice.host == id(2));
    }
    picked
}

/// Both upstreams have nine slots. If the second is three times as slow, it gets a third as many
/// calls, and fewer of the calls that run before new work.
#[rstest]
#[case::equals(1.0, false, 17..=19)]
#[case::slow(3.0, false, 8..=10)]
#[case::slow_for_nested_calls(3.0, true, 4..=6)]
fn calls_go_to_the_upstream_where_they_end_first(
    #[case] ratio: f32,
    #[case] nested: bool,
    #[case] wanted: std::ops::RangeInclusive<usize>,
) {
    let picked = second(&mut uneven(ratio), nested, 200);
    assert!(wanted.contains(&picked), "{picked} of 36 calls");
}

#[test]
fn an_upstream_that_was_slow_for_a_while_gets_calls_again() {
    assert!(second(&mut uneven(3.0), false, 60_000) >= 16);
}

/// How many of `calls` calls that do not end leave a zone whose only upstream takes three times as
/// long as that of another zone.
fn leaving_for_a_faster(calls: u16) -> usize {
    let mut picker = picker(serving(&["a", "b"]));
    for round in 0..100 {
        let choice = picker.pick_with_cost(SHOP, crossing(1.0), at(round), &[]).expect("a choice");
        picker.started(choice, at(round));
        let load = admit::Load { running: 0, waiting: 0, slots: 9, service_us: 1000 };
        let latency = time::Duration::from_millis(1);
        let outcome = retry::Outcome::Ran;
        let report = pick::Report {
            outcome,
            load: Some(load),
            relative_time: Some(3.0),
            notice: None,
            retry_after: None,
            latency,
            node_delay: None,
            responded_at: None,
        };
        picker.ended(choice, &report, at(round));
    }
    let mut left = 0;
    for _ in 0..calls {
        let choice = picker.pick_with_cost(SHOP, crossing(1.0), at(100), &[]).expect("a choice");
        picker.started(choice, at(100));
        left += usize::from(choice.host == id(2));
    }
    left
}

#[rstest]
#[case::slots_are_free(9, 0)]
#[case::none_is_free(13, 4)]
fn calls_leave_a_slow_upstream_of_their_zone_only_when_they_would_wait(
    #[case] calls: u16,
    #[case] wanted: usize,
) {
    assert_eq!(leaving_for_a_faster(calls), wanted);
}

/// A report of a call that the upstream's node refused for `millis`.
fn limited(millis: u64) -> pick::Report {
    let retry_after = Some(time::Duration::from_millis(millis));
    let outcome = retry::Outcome::NotRun(retry::Reason::Limited);
    pick::Report { retry_after, ..report(outcome, 1000) }
}

#[test]
fn an_upstream_whose_limit_is_used_up_is_left_out_until_it_has_room() {
    let mut picker = picker(serving(&["a", "a"]));
    let first = picker.pick(SHOP, at(0), &[]).expect("a choice");
    picker.started(first, at(0));
    picker.ended(first, &limited(100), at(0));
    let other = if first.host == id(1) { 2 } else { 1 };
    assert_eq!(share(&mut picker, 50, 50), [(other, 50)].into());
    assert_eq!(share(&mut picker, 50, 100).len(), 2, "it has room again");
}

#[test]
fn where_all_limits_are_used_up_no_upstream_is_picked_and_the_first_room_is_known() {
    let mut picker = picker(serving(&["a", "b"]));
    for millis in [300, 200] {
        let choice = picker.pick(SHOP, at(0), &[]).expect("a choice");
        picker.started(choice, at(0));
        picker.ended(choice, &limited(millis), at(0));
    }
    assert_eq!(picker.pick(SHOP, at(100), &[]), None);
    let rank = admit::Rank::default();
    assert_eq!(picker.room_at(SHOP, rank, at(100)), Some(at(200)));
    let urgent = admit::Rank { nested: false, weight: 9 };
    let cost = pick::TransferCost { rank: urgent, ..pick::TransferCost::FREE };
    assert!(picker.pick_with_cost(SHOP, cost, at(100), &[]).is_some(), "kept for urgent calls");
    assert!(picker.pick(SHOP, at(200), &[]).is_some());
}

#[test]
fn an_upstream_with_a_limit_gets_the_calls_that_fit_into_it() {
    let mut picker = picker(serving(&["a", "a", "a"]));
    let limit = Some(admit::Rate::from_millis(5000));
    let notice = notice::Notice { limit, leaving: false };
    let notice = Some(notice::Relayed { incarnation: 0, identity: None, notice });
    for _ in 0..3 {
        let choice = picker.pick(SHOP, at(0), &[]).expect("a choice");
        picker.started(choice, at(0));
        let notice = notice.filter(|_| choice.host == id(1));
        picker.ended(choice, &pick::Report { notice, ..report(retry::Outcome::Ran, 1000) }, at(0));
    }
    let picked = share(&mut picker, 300, 0);
    assert!(picked.get(&1).copied().unwrap_or_default() < 10, "{picked:?}");
    let later = share(&mut picker, 300, 6000);
    assert!(later[&1] > 50, "it is tried again once the limit was not heard for long: {later:?}");
}
