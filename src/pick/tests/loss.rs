//! Tests of the selection after the simultaneous loss of hosts.

use std::sync::Arc;
use std::time;

use rstest::rstest;
use smol_str::SmolStr;

use super::simulation;
use super::{SHOP, UNREACHABLE, at, id, locality, rebuild, report, serving, shop};
use crate::clock;
use crate::configs;
use crate::host;
use crate::mesh;
use crate::pick;
use crate::pick::loss;
use crate::retry;
use crate::view;

const WINDOW: time::Duration = time::Duration::from_secs(2);

fn settings(loss_window_ms: u64) -> configs::call::Call {
    configs::call::Call { loss_window_ms, ..configs::call::Call::default() }
}

/// Seven in ten hosts are lost after 5 s; the others have capacity for all calls.
fn lost_hosts(loss_window_ms: u64) -> simulation::Plan {
    simulation::Plan {
        settings: settings(loss_window_ms),
        upstreams: 60,
        entries: 40,
        zones: &["a"],
        demand: &[1],
        rate: 1200,
        run_ms: 40..121,
        speed: |_| 1.0,
        long_share: 0.0,
        urgent: false,
        target: time::Duration::from_millis(250),
        delay: |_, _| time::Duration::ZERO,
        entry_delay: time::Duration::ZERO,
        lost: |number, millis| number % 10 < 7 && millis >= 5000,
        counted_ms: 5300..6300,
        seconds: 8,
    }
}

/// Guards against calls that try one lost host after another, each with a whole time-out.
#[test]
fn after_the_loss_of_many_hosts_calls_reach_live_ones_at_their_first_attempt() {
    let share = |window| {
        let results = simulation::run(lost_hosts(window));
        println!("window {window}: {results:?}");
        f64::from(results.direct) / f64::from(results.counted)
    };
    let (on, off) = (share(5000), share(0));
    println!("{on} on, {off} off");
    assert!(on >= 0.8, "{on}");
    assert!(off < 0.8, "{off}");
}

fn key(index: u32) -> pick::PeerKey {
    pick::PeerKey { index, generation: 0 }
}

fn failure(index: u32, millis: u64) -> loss::Failure {
    loss::Failure { key: key(index), since: at(millis.saturating_sub(250)), at: at(millis) }
}

#[rstest]
#[case::one_host(&[(1, 300), (1, 400), (1, 500)], None)]
#[case::two_hosts(&[(1, 300), (2, 400)], Some(50))]
#[case::two_hosts_far_apart(&[(1, 300), (2, 2400)], None)]
#[case::several_hosts(&[(1, 300), (1, 350), (2, 400), (3, 500)], Some(100))]
fn a_loss_begins_with_the_first_of_two_failures_at_different_hosts(
    #[case] failures: &[(u32, u64)],
    #[case] began: Option<u64>,
) {
    let mut loss = loss::Loss::default();
    for (index, millis) in failures {
        loss.record(failure(*index, *millis), None, WINDOW);
    }
    let last = failures.last().expect("a failure").1;
    assert_eq!(loss.since(WINDOW, at(last)), began.map(at));
}

#[test]
fn a_loss_ends_when_fewer_than_two_hosts_fail_within_the_window() {
    let mut loss = loss::Loss::default();
    loss.record(failure(1, 300), None, WINDOW);
    loss.record(failure(2, 400), None, WINDOW);
    assert!(loss.since(WINDOW, at(2300)).is_some());
    assert_eq!(loss.since(WINDOW, at(2301)), None);
    // One host that goes on failing does not prolong it.
    loss.record(failure(2, 2200), None, WINDOW);
    assert_eq!(loss.since(WINDOW, at(2301)), None);
    assert_eq!(loss.candidates(true, true, WINDOW, at(2301)), loss::Candidates::All);
}

/// Guards against precedence for hosts that have responded since a first loss and are lost in a
/// second one.
#[test]
fn a_loss_begins_again_when_hosts_fail_that_have_responded_since() {
    let mut loss = loss::Loss::default();
    loss.record(failure(1, 300), None, WINDOW);
    assert!(loss.record(failure(2, 400), None, WINDOW).is_some());
    // Failed probes of lost hosts change nothing.
    assert_eq!(loss.record(failure(3, 900), Some(at(20)), WINDOW), None);
    assert_eq!(loss.record(failure(4, 1000), None, WINDOW), None);
    assert_eq!(loss.since(WINDOW, at(1000)), Some(at(50)));
    assert_eq!(loss.record(failure(5, 1500), Some(at(600)), WINDOW), None);
    assert!(loss.record(failure(6, 1600), Some(at(600)), WINDOW).is_some());
    assert_eq!(loss.since(WINDOW, at(1600)), Some(at(1250)));
}

/// How many of 80 calls are probes, of which every `one_in` is idempotent, and how many of the
/// probes are idempotent.
fn probes(one_in: u32) -> (u32, u32) {
    let mut loss = loss::Loss::default();
    loss.record(failure(1, 300), None, WINDOW);
    loss.record(failure(2, 400), None, WINDOW);
    let mut probes = (0, 0);
    for call in 1..=80 {
        let idempotent = call % one_in == 0;
        if let loss::Candidates::Silent(_) = loss.candidates(idempotent, true, WINDOW, at(400)) {
            probes.0 += 1;
            probes.1 += u32::from(idempotent);
        }
    }
    probes
}

#[rstest]
#[case::all(1, (10, 10))]
#[case::half(2, (10, 10))]
#[case::few(5, (10, 10))]
#[case::none(100, (9, 0))]
fn one_call_in_eight_is_a_probe_and_idempotent_ones_come_first(
    #[case] one_in: u32,
    #[case] wanted: (u32, u32),
) {
    assert_eq!(probes(one_in), wanted);
}

#[test]
fn a_further_attempt_of_a_call_is_never_a_probe() {
    let mut loss = loss::Loss::default();
    loss.record(failure(1, 300), None, WINDOW);
    loss.record(failure(2, 400), None, WINDOW);
    for _ in 0..50 {
        let candidates = loss.candidates(true, false, WINDOW, at(400));
        assert!(matches!(candidates, loss::Candidates::Responded(_)), "{candidates:?}");
    }
}

fn numbered(hosts: u8) -> pick::Picker {
    let mut picker = pick::Picker::new(locality("a"), &settings(2000), 7);
    rebuild(&mut picker, serving(&vec!["a"; usize::from(hosts)]), 0);
    picker
}

/// Ends a call at host `number` of nine at most, 1 ms after its start.
fn end(
    picker: &mut pick::Picker,
    number: u8,
    outcome: retry::Outcome,
    responded: bool,
    millis: u64,
) -> Option<pick::Event> {
    end_after(picker, number, outcome, responded, 1, millis)
}

/// The same, `latency` milliseconds after its start.
fn end_after(
    picker: &mut pick::Picker,
    number: u8,
    outcome: retry::Outcome,
    responded: bool,
    latency: u64,
    millis: u64,
) -> Option<pick::Event> {
    let latency = time::Duration::from_millis(latency);
    let others: Vec<host::HostId> = (1..10).filter(|n| *n != number).map(id).collect();
    let choice = picker.pick(SHOP, at(millis), &others).expect("a choice");
    assert_eq!(choice.host, id(number));
    picker.started(choice, at(millis));
    let responded_at: Option<clock::Instant> = responded.then_some(at(millis));
    let report = pick::Report { latency, responded_at, ..report(outcome, 1000) };
    picker.ended(choice, &report, at(millis))
}

/// The hosts that 200 first attempts choose, without ends.
fn chosen(picker: &mut pick::Picker, millis: u64) -> std::collections::BTreeSet<host::HostId> {
    let choices = (0..200).filter_map(|_| picker.pick(SHOP, at(millis), &[]));
    choices.map(|choice| choice.host).collect()
}

#[test]
fn upstreams_whose_nodes_have_responded_since_have_precedence() {
    let mut picker = numbered(6);
    end(&mut picker, 3, retry::Outcome::Ran, true, 0);
    assert_eq!(end(&mut picker, 1, UNREACHABLE, false, 100), None);
    let apart = time::Duration::from_millis(10);
    let hosts = [id(1), id(2)];
    let lost = pick::HostsLost { hosts, apart, upstreams: 6, responded: 0, skipped: 0 };
    let event = end(&mut picker, 2, UNREACHABLE, false, 110);
    assert_eq!(event, Some(pick::Event::HostsLost(lost)));
    // No node has responded since, so that every upstream is a candidate that is not ejected.
    assert_eq!(chosen(&mut picker, 120), [3, 4, 5, 6].map(id).into());
    end(&mut picker, 4, retry::Outcome::Ran, true, 130);
    let choices: Vec<_> =
        (0..80).map(|_| picker.pick(SHOP, at(140), &[]).expect("a choice").host).collect();
    let responded = choices.iter().filter(|host| **host == id(4)).count();
    assert_eq!(responded, 70, "all but one in eight go to the one that has responded");
    // After the window, all are candidates again.
    assert_eq!(chosen(&mut picker, 60_000).len(), 6);
}

/// Guards against hosts that get no calls after their power is back.
#[test]
fn a_host_that_responds_to_a_probe_has_precedence_too() {
    let mut picker = numbered(4);
    end(&mut picker, 1, UNREACHABLE, false, 100);
    end(&mut picker, 2, UNREACHABLE, false, 110);
    end(&mut picker, 3, retry::Outcome::Ran, true, 120);
    end(&mut picker, 1, retry::Outcome::Ran, true, 1000);
    let avoid = [id(9)];
    let choices = (0..100).filter_map(|_| picker.pick(SHOP, at(1000), &avoid));
    let hosts: std::collections::BTreeSet<_> = choices.map(|choice| choice.host).collect();
    assert_eq!(hosts, [1, 3].map(id).into());
}

const TIMED_OUT: retry::Outcome = retry::Outcome::Unknown(retry::Reason::Timeout);

/// Guards against a loss that is seen where the nodes are alive and only upstreams have gone, where
/// calls ended late at live nodes, or where callers allowed less time than a connection may take.
#[rstest]
#[case::upstreams_unreachable(UNREACHABLE, true, 1, false)]
#[case::hosts_unreachable(UNREACHABLE, false, 1, true)]
#[case::timed_out_at_the_node(TIMED_OUT, true, 250, false)]
#[case::timed_out(TIMED_OUT, false, 250, true)]
#[case::timed_out_early(TIMED_OUT, false, 249, false)]
#[case::no_connection_in_time(retry::Outcome::NotRun(retry::Reason::TooLate), false, 250, true)]
#[case::no_connection_early(retry::Outcome::NotRun(retry::Reason::TooLate), false, 249, false)]
#[case::cut(retry::Outcome::Unknown(retry::Reason::Cut), false, 1, true)]
#[case::caller_left(retry::Outcome::Unknown(retry::Reason::Cancelled), false, 250, false)]
fn only_hosts_that_do_not_respond_are_lost(
    #[case] outcome: retry::Outcome,
    #[case] responded: bool,
    #[case] latency: u64,
    #[case] lost: bool,
) {
    let mut picker = numbered(4);
    end_after(&mut picker, 1, outcome, responded, latency, 300);
    assert_eq!(end_after(&mut picker, 2, outcome, responded, latency, 310).is_some(), lost);
}

/// Guards against a loss that is seen with the default time-out where a connection may take longer.
#[test]
fn a_connection_may_take_as_long_as_the_settings_allow() {
    let timeout = time::Duration::from_millis(1000);
    let mut picker = numbered(4).with_connect_timeout(timeout);
    end_after(&mut picker, 1, TIMED_OUT, false, 999, 2000);
    assert_eq!(end_after(&mut picker, 2, TIMED_OUT, false, 999, 2010), None);
    end_after(&mut picker, 1, TIMED_OUT, false, 1000, 2020);
    assert!(end_after(&mut picker, 2, TIMED_OUT, false, 1000, 2030).is_some());
}

/// Guards against a list whose hosts all count as lost as their nodes are late: some calls end at
/// their deadline while others get their response.
#[rstest]
#[case::late(1200, false)]
#[case::lost(900, true)]
fn a_host_that_has_responded_since_the_attempt_began_is_not_lost(
    #[case] responded_at: u64,
    #[case] lost: bool,
) {
    let mut picker = numbered(4);
    for number in [1, 2] {
        end(&mut picker, number, retry::Outcome::Ran, true, responded_at);
    }
    end_after(&mut picker, 1, TIMED_OUT, false, 1000, 2000);
    assert_eq!(end_after(&mut picker, 2, TIMED_OUT, false, 1000, 2010).is_some(), lost);
}

/// Guards against a late node that loses its precedence during a loss of other hosts.
#[test]
fn a_late_host_keeps_its_precedence() {
    let mut picker = numbered(4);
    end(&mut picker, 1, UNREACHABLE, false, 1000);
    end(&mut picker, 2, UNREACHABLE, false, 1010);
    end(&mut picker, 3, retry::Outcome::Ran, true, 1500);
    end(&mut picker, 4, retry::Outcome::Ran, true, 1500);
    end_after(&mut picker, 3, TIMED_OUT, false, 1000, 2000);
    let avoid = [id(9)];
    let choices = (0..100).filter_map(|_| picker.pick(SHOP, at(2000), &avoid));
    let hosts: std::collections::BTreeSet<_> = choices.map(|choice| choice.host).collect();
    assert_eq!(hosts, [3, 4].map(id).into());
}

/// Guards against a call with a long deadline that reaches back before responses which show that
/// other hosts are alive, and against precedence for hosts that responded long before the loss.
#[test]
fn a_loss_begins_at_most_a_connection_timeout_before_its_first_failure() {
    let mut picker = numbered(4);
    let too_late = retry::Outcome::NotRun(retry::Reason::TooLate);
    end(&mut picker, 3, retry::Outcome::Ran, true, 4000);
    end(&mut picker, 4, retry::Outcome::Ran, true, 4800);
    end_after(&mut picker, 1, too_late, false, 4000, 5000);
    let event = end_after(&mut picker, 2, too_late, false, 4000, 5010);
    assert!(
        matches!(event, Some(pick::Event::HostsLost(lost)) if lost.responded == 1),
        "{event:?}"
    );
}

/// The configuration with another service, of one class, before or in place of the shop.
fn with_other_service(keep_shop: bool) -> mesh::Mesh {
    let mut mesh = shop();
    let service = mesh::Service { name: SmolStr::new_static("stock"), ..mesh.services[0].clone() };
    let class = mesh::Class { name: SmolStr::new_static("stock-large"), ..mesh.classes[0].clone() };
    mesh.services.insert(0, service);
    mesh.classes[0].service = mesh::ServiceKey(1);
    mesh.classes.insert(0, class);
    if !keep_shop {
        mesh.services.truncate(1);
        mesh.classes.truncate(1);
    }
    mesh
}

/// Guards against failures at the hosts of one service that count for another one, which a new
/// configuration has put in its place.
#[rstest]
#[case::service_replaced(None, false)]
#[case::service_inserted(None, true)]
#[case::class_replaced(Some(mesh::ClassKey(0)), false)]
#[case::class_inserted(Some(mesh::ClassKey(0)), true)]
fn a_loss_ends_with_the_service_or_class_of_its_list(
    #[case] class: Option<mesh::ClassKey>,
    #[case] keep_shop: bool,
) {
    let target = pick::Target { class, ..SHOP };
    let fail = |picker: &mut pick::Picker, number: u8, millis: u64| {
        let others: Vec<host::HostId> = (1..10).filter(|n| *n != number).map(id).collect();
        let choice = picker.pick(target, at(millis), &others).expect("a choice");
        assert_eq!(choice.host, id(number));
        picker.started(choice, at(millis));
        picker.ended(choice, &report(UNREACHABLE, 1000), at(millis))
    };
    let mut hosts = serving(&["a"; 4]);
    for host in &mut hosts[2..] {
        let mut upstream = view::Upstream::clone(host.upstream.as_ref().expect("an upstream"));
        upstream.service = SmolStr::new_static("stock");
        upstream.class = SmolStr::new_static("stock-large");
        host.upstream = Some(Arc::new(upstream));
    }
    let view = view::View::new(hosts);
    let mut picker = pick::Picker::new(locality("a"), &settings(2000), 7);
    picker.rebuild(&view, &shop(), at(0));
    assert_eq!(fail(&mut picker, 1, 100), None);
    picker.rebuild(&view, &with_other_service(keep_shop), at(105));
    assert_eq!(fail(&mut picker, 3, 110), None);
    // The same configuration keeps what its lists have recorded.
    picker.rebuild(&view, &with_other_service(keep_shop), at(115));
    assert!(fail(&mut picker, 4, 120).is_some());
}

/// Guards against a change of any choice where the window is 0.
#[test]
fn without_a_window_no_choice_depends_on_responses() {
    let choices = |responded: bool| {
        let mut picker = pick::Picker::new(locality("a"), &settings(0), 7);
        rebuild(&mut picker, serving(&["a", "a", "a", "b"]), 0);
        let mut choices = Vec::new();
        for millis in 0..500 {
            let choice = picker.pick(SHOP, at(millis), &[]).expect("a choice");
            picker.started(choice, at(millis));
            let lost = choice.host == id(1) || choice.host == id(2);
            let outcome = if lost { UNREACHABLE } else { retry::Outcome::Ran };
            let responded_at = (responded && !lost).then_some(at(millis));
            let report = pick::Report { responded_at, ..report(outcome, 1000) };
            assert_eq!(picker.ended(choice, &report, at(millis)), None);
            choices.push(choice);
        }
        choices
    };
    assert_eq!(choices(true), choices(false));
}
