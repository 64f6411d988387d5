//! Tests of announcements and their leases.

use std::net;
use std::time;

use proptest::prelude::*;
use rstest::rstest;
use smol_str::SmolStr;

use super::shop;
use crate::admin::announce::{Announcement, Fault, Phase, Registry};
use crate::clock;
use crate::mesh;
use crate::view;

const HOST: net::IpAddr = net::IpAddr::V4(net::Ipv4Addr::new(10, 1, 2, 3));
const LEASE: time::Duration = time::Duration::from_millis(6000);

fn registry() -> Registry {
    Registry::new(HOST, LEASE)
}

fn announcement() -> Announcement {
    Announcement {
        service: "shop".into(),
        class: "shop-host".into(),
        address: net::SocketAddr::new(HOST, 8080),
        slots: 20,
        connections: 100,
        phase: Phase::Serving,
        zone: SmolStr::default(),
        version: SmolStr::default(),
        warmup_ms: 0,
        sequence: 0,
        born: None,
    }
}

/// The name of an instance.
fn instance(name: &str) -> SmolStr {
    SmolStr::new(name)
}

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

#[test]
fn slots_are_limited_to_those_of_the_class() {
    let mut registry = registry();
    assert_eq!(registry.announce(&instance(""), announcement(), at(0), &shop()), Ok(()));
    let local = registry.local(&shop()).expect("announced");
    assert_eq!((local.upstream.slots, local.upstream.connections), (9, 100));
    assert_eq!(local.upstream.phase, view::Phase::Serving);
}

#[rstest]
#[case::before(5999, true)]
#[case::after(6000, false)]
fn an_announcement_expires_without_renewal(#[case] millis: u64, #[case] valid: bool) {
    let mut registry = registry();
    registry.announce(&instance(""), announcement(), at(0), &shop()).expect("valid");
    registry.expire(at(millis));
    assert_eq!(registry.local(&shop()).is_some(), valid);
}

#[test]
fn renewal_extends_the_lease() {
    let mut registry = registry();
    registry.announce(&instance(""), announcement(), at(0), &shop()).expect("valid");
    registry.announce(&instance(""), announcement(), at(5000), &shop()).expect("valid");
    registry.expire(at(10_999));
    assert!(registry.local(&shop()).is_some());
    registry.withdraw(&instance(""), None);
    assert!(registry.local(&shop()).is_none());
}

#[rstest]
#[case::unknown_service(Announcement { service: "toys".into(), ..announcement() }, Fault::Service)]
#[case::unknown_class(Announcement { class: "toys".into(), ..announcement() }, Fault::Class)]
#[case::class_of_another(Announcement { service: "desk".into(), ..announcement() }, Fault::Class)]
#[case::no_slot(Announcement { slots: 0, ..announcement() }, Fault::Empty)]
#[case::no_connection(Announcement { connections: 0, ..announcement() }, Fault::Empty)]
#[case::elsewhere(
    Announcement { address: net::SocketAddr::from(([10, 9, 9, 9], 1)), ..announcement() },
    Fault::Address
)]
fn an_unusable_announcement_is_refused(#[case] announcement: Announcement, #[case] fault: Fault) {
    let mut registry = registry();
    assert_eq!(registry.announce(&instance(""), announcement, at(0), &shop()), Err(fault));
    assert_eq!(registry.local(&shop()), None);
}

#[test]
fn a_pending_announcement_applies_once_a_configuration_has_its_class() {
    let mut registry = registry();
    let early = registry.announce(&instance(""), announcement(), at(0), &mesh::Mesh::default());
    assert_eq!(early, Err(Fault::Service));
    assert!(early.is_err_and(Fault::is_pending));
    assert!(registry.local(&shop()).is_some());
}

#[test]
fn a_refused_announcement_keeps_the_current_one() {
    let mut registry = registry();
    registry.announce(&instance(""), announcement(), at(0), &shop()).expect("valid");
    let bad = Announcement { slots: 0, ..announcement() };
    assert_eq!(registry.announce(&instance(""), bad, at(1), &shop()), Err(Fault::Empty));
    assert!(registry.local(&shop()).is_some());
}

#[rstest]
#[case::own(HOST, true)]
#[case::loopback(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), true)]
#[case::other_host(net::IpAddr::V4(net::Ipv4Addr::new(10, 1, 2, 4)), false)]
fn only_the_own_host_may_announce(#[case] peer: net::IpAddr, #[case] admitted: bool) {
    assert_eq!(registry().admits(peer), admitted);
}

#[test]
fn a_delayed_announcement_of_a_replaced_instance_is_ignored() {
    let mut registry = registry();
    let (old, new) = (instance("old"), instance("new"));
    registry.announce(&old, announcement(), at(0), &shop()).expect("valid");
    registry.announce(&new, announcement(), at(1), &shop()).expect("valid");
    assert_eq!(registry.announce(&old, announcement(), at(2), &shop()), Err(Fault::Stale));
    assert_eq!(registry.local(&shop()).expect("announced").instance, new);
    registry.withdraw(&old, None);
    assert!(
        registry.local(&shop()).is_some(),
        "an instance can only withdraw its own announcement"
    );
}

#[test]
fn a_withdrawn_instance_cannot_announce_again() {
    let mut registry = registry();
    let withdrawn = instance("withdrawn");
    registry.announce(&withdrawn, announcement(), at(0), &shop()).expect("valid");
    registry.withdraw(&withdrawn, None);
    assert_eq!(registry.announce(&withdrawn, announcement(), at(1), &shop()), Err(Fault::Stale));
    assert!(registry.local(&shop()).is_none());
}

#[test]
fn an_announcement_with_a_lower_sequence_is_ignored() {
    let mut registry = registry();
    let one = instance("one");
    let leaving = Announcement { phase: Phase::Draining, sequence: 7, ..announcement() };
    registry.announce(&one, leaving, at(0), &shop()).expect("valid");
    let late = Announcement { sequence: 6, ..announcement() };
    assert_eq!(registry.announce(&one, late, at(1), &shop()), Err(Fault::Stale));
    let local = registry.local(&shop()).expect("announced");
    assert_eq!(local.upstream.phase, view::Phase::Draining);
}

#[test]
fn the_default_class_has_the_name_of_the_service() {
    let mut registry = registry();
    let nameless = Announcement { class: SmolStr::default(), ..announcement() };
    assert_eq!(registry.announce(&instance(""), nameless, at(0), &shop()), Err(Fault::Class));
}

#[rstest]
#[case::slow_for_a_while(1, view::Phase::Warming)]
#[case::at_full_speed(0, view::Phase::Serving)]
fn an_upstream_with_a_slow_start_is_warming(#[case] warmup_ms: u64, #[case] phase: view::Phase) {
    let mut registry = registry();
    let announced = Announcement { warmup_ms, ..announcement() };
    registry.announce(&instance(""), announced, at(0), &shop()).expect("valid");
    assert_eq!(registry.local(&shop()).expect("announced").upstream.phase, phase);
}

/// An announcement of the incarnation that started at `born`.
fn of_incarnation(born: u64, sequence: u64, phase: Phase) -> Announcement {
    Announcement { born: Some(born), sequence, phase, ..announcement() }
}

fn incarnation(registry: &Registry) -> Option<(u32, view::Phase)> {
    registry.local(&shop()).map(|local| (local.upstream.incarnation, local.upstream.phase))
}

#[test]
fn a_restarted_instance_has_a_new_incarnation_and_sequence() {
    let (mut registry, one) = (registry(), instance("one"));
    registry
        .announce(&one, of_incarnation(1000, 40, Phase::Draining), at(0), &shop())
        .expect("valid");
    let (before, _) = incarnation(&registry).expect("announced");
    registry
        .announce(&one, of_incarnation(2000, 1, Phase::Serving), at(1), &shop())
        .expect("a restart");
    assert_eq!(incarnation(&registry), Some((before + 1, view::Phase::Serving)));
    registry
        .announce(&one, of_incarnation(2000, 2, Phase::Serving), at(2), &shop())
        .expect("renewed");
    assert_eq!(
        incarnation(&registry),
        Some((before + 1, view::Phase::Serving)),
        "a renewal is not a restart"
    );
}

#[rstest]
#[case::renewal(of_incarnation(1000, 41, Phase::Draining))]
#[case::without_its_start(Announcement { sequence: 50, ..announcement() })]
fn a_delayed_announcement_of_an_older_incarnation_is_ignored(#[case] late: Announcement) {
    let (mut registry, one) = (registry(), instance("one"));
    registry
        .announce(&one, of_incarnation(1000, 40, Phase::Serving), at(0), &shop())
        .expect("valid");
    registry
        .announce(&one, of_incarnation(2000, 1, Phase::Serving), at(1), &shop())
        .expect("a restart");
    let current = incarnation(&registry);
    assert_eq!(registry.announce(&one, late, at(2), &shop()), Err(Fault::Stale));
    registry.withdraw(&one, Some(1000));
    assert_eq!(incarnation(&registry), current);
}

#[test]
fn a_withdrawal_applies_only_to_its_incarnation() {
    let (mut registry, one) = (registry(), instance("one"));
    registry
        .announce(&one, of_incarnation(1000, 1, Phase::Serving), at(0), &shop())
        .expect("valid");
    registry.withdraw(&one, None);
    let again = registry.announce(&one, of_incarnation(1000, 2, Phase::Serving), at(1), &shop());
    assert_eq!(again, Err(Fault::Stale));
    registry
        .announce(&one, of_incarnation(2000, 1, Phase::Serving), at(2), &shop())
        .expect("a restart");
    assert!(incarnation(&registry).is_some());
}

#[test]
fn a_withdrawal_without_start_applies_to_all_incarnations_if_none_is_known() {
    let (mut registry, one) = (registry(), instance("one"));
    registry.withdraw(&one, None);
    let late = registry.announce(&one, of_incarnation(1000, 2, Phase::Serving), at(1), &shop());
    assert_eq!(late, Err(Fault::Stale));
    assert_eq!(incarnation(&registry), None);
}

#[test]
fn an_incarnation_continues_after_its_lease_expired() {
    let (mut registry, one) = (registry(), instance("one"));
    registry
        .announce(&one, of_incarnation(1000, 1, Phase::Serving), at(0), &shop())
        .expect("valid");
    let current = incarnation(&registry);
    registry.expire(at(6000));
    registry
        .announce(&one, of_incarnation(1000, 2, Phase::Serving), at(7000), &shop())
        .expect("valid");
    assert_eq!(incarnation(&registry), current);
}

#[rstest]
#[case::service(Announcement { service: "toys".into(), ..announcement() })]
#[case::class(Announcement { class: "toys".into(), ..announcement() })]
fn an_announcement_of_an_unknown_service_or_class_keeps_a_usable_one(
    #[case] foreign: Announcement,
) {
    let mut registry = registry();
    registry.announce(&instance("one"), announcement(), at(0), &shop()).expect("valid");
    for name in ["one", "other"] {
        let result = registry.announce(&instance(name), foreign.clone(), at(1), &shop());
        assert_eq!(result, Err(Fault::Foreign));
    }
    assert_eq!(registry.local(&shop()).expect("announced").instance, instance("one"));
}

/// The JSON that an upstream sends.
fn sent() -> serde_json::Value {
    serde_json::json!({
        "service": "shop", "class": "shop-host", "address": "10.1.2.3:8080", "zone": "a",
        "version": "v1", "slots": 9, "connections": 100, "phase": "serving", "warmup_ms": 0,
        "sequence": 4, "born": 1_790_000_000_000_u64,
    })
}

#[test]
fn unknown_fields_are_ignored() {
    let mut newer = sent();
    newer["colour"] = serde_json::json!({ "any": ["thing"] });
    let read: Announcement = serde_json::from_value(newer).expect("readable");
    assert_eq!((read.born, read.sequence), (Some(1_790_000_000_000), 4));
}

#[test]
fn spellings_with_hyphens_are_equivalent() {
    let mut other = sent();
    let fields = other.as_object_mut().expect("an object");
    for (plain, hyphened) in
        [("slots", "upstream-slots"), ("phase", "current-phase"), ("warmup_ms", "warmup-ms")]
    {
        let value = fields.remove(plain).expect(plain);
        fields.insert(hyphened.to_owned(), value);
    }
    other["current-phase"] = serde_json::json!("in-service");
    let read: Announcement = serde_json::from_value(other).expect("readable");
    assert_eq!(read, serde_json::from_value(sent()).expect("readable"));
}

/// Any JSON value, a few levels deep.
fn value() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(serde_json::Value::from),
        any::<i64>().prop_map(serde_json::Value::from),
        any::<f64>().prop_map(serde_json::Value::from),
        "[a-z0-9.:]{0,12}".prop_map(serde_json::Value::from),
    ];
    leaf.prop_recursive(2, 8, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(serde_json::Value::from),
            prop::collection::hash_map("[a-z]{1,8}", inner, 0..4)
                .prop_map(|map| serde_json::Value::Object(map.into_iter().collect())),
        ]
    })
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_no_announcement(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        prop_assert!(serde_json::from_slice::<Announcement>(&bytes).is_err());
    }

    #[test]
    fn an_arbitrary_field_value_keeps_a_usable_upstream(
        field in prop::sample::select(vec![
            "service", "address", "slots", "connections", "phase", "warmup_ms", "sequence", "born",
        ]),
        value in value(),
    ) {
        let mut registry = registry();
        let one = instance("one");
        let current = Announcement { sequence: 3, born: Some(1), ..announcement() };
        registry.announce(&one, current, at(0), &shop()).expect("valid");
        let mut changed = sent();
        changed[field] = value;
        if let Ok(read) = serde_json::from_value::<Announcement>(changed) {
            // Accepted or refused, an upstream of the configuration stays in force.
            let _ = registry.announce(&one, read, at(1), &shop());
        }
        let local = registry.local(&shop()).expect("an upstream");
        prop_assert_eq!(local.upstream.service, "shop");
        prop_assert!(local.upstream.slots > 0 && local.upstream.connections > 0);
        prop_assert_eq!(local.address.ip(), HOST);
    }
}

/// Guards against a host's record that fits into no datagram: it would hold up all other updates.
#[rstest]
fn an_upstream_with_names_beyond_a_datagram_is_refused(#[values(600, 601)] bytes: usize) {
    let mut registry = registry();
    let names = "shop".len() + "shop-host".len();
    let long = Announcement { version: "v".repeat(bytes - names).into(), ..announcement() };
    let result = registry.announce(&instance("i-1"), long, at(0), &shop());
    assert_eq!(result, if bytes > 600 { Err(Fault::Names) } else { Ok(()) });
}

/// What other nodes tell a process that starts anew of the process before, `registry`.
fn restarted(mut registry: Registry) -> Registry {
    let mut next = self::registry();
    while let Some(leave) = registry.take_unreported() {
        next.learn(leave);
    }
    next
}

fn counted(sequence: u64, phase: Phase) -> Announcement {
    Announcement { sequence, phase, ..announcement() }
}

/// Guards against an upstream that has left and comes back by a late heartbeat, as its node was
/// killed after it had acknowledged the leaving.
#[rstest]
#[case::withdrawn(|registry: &mut Registry| registry.withdraw(&instance("i-1"), None))]
#[case::draining(|registry: &mut Registry| {
    registry.announce(&instance("i-1"), counted(8, Phase::Draining), at(0), &shop()).unwrap();
})]
#[case::replaced(|registry: &mut Registry| {
    registry.announce(&instance("i-2"), counted(1, Phase::Serving), at(9000), &shop()).unwrap();
})]
#[case::by_an_answer(|registry: &mut Registry| registry.record_leaving())]
fn a_leaving_binds_the_next_process_of_the_node(#[case] leave: fn(&mut Registry)) {
    let mut registry = registry();
    registry.announce(&instance("i-1"), counted(7, Phase::Serving), at(0), &shop()).expect("valid");
    leave(&mut registry);
    let mut next = restarted(registry);
    let late = counted(6, Phase::Serving);
    assert_eq!(next.announce(&instance("i-1"), late, at(2500), &shop()), Err(Fault::Stale));
    assert!(next.local(&shop()).is_none());
    let live = counted(1, Phase::Serving);
    assert_eq!(next.announce(&instance("i-3"), live, at(2600), &shop()), Ok(()));
    assert!(next.take_unreported().is_none(), "nothing new to tell");
}

/// Guards against a late heartbeat that arrives before the other nodes have told that its sender
/// left.
#[test]
fn a_leaving_that_is_learned_later_ends_a_late_announcement() {
    let mut registry = registry();
    registry.announce(&instance("i-1"), counted(7, Phase::Serving), at(0), &shop()).expect("valid");
    registry.withdraw(&instance("i-1"), None);
    let leave = registry.take_unreported().expect("a leaving");
    let mut next = self::registry();
    next.announce(&instance("i-1"), counted(6, Phase::Serving), at(0), &shop()).expect("valid");
    assert!(next.learn(leave));
    assert!(next.local(&shop()).is_none());
    assert!(!next.learn(leave), "known");
}

/// Guards against a live upstream that is shut out: by its own draining that it took back, or by a
/// late heartbeat of its predecessor that a process which has just started takes for that of a
/// successor.
#[test]
fn a_live_upstream_is_never_shut_out_for_good() {
    let mut registry = registry();
    let live = instance("i-2");
    registry.announce(&live, counted(3, Phase::Draining), at(0), &shop()).expect("valid");
    let mut next = restarted(registry);
    assert_eq!(next.announce(&live, counted(3, Phase::Draining), at(0), &shop()), Ok(()));
    assert_eq!(next.announce(&live, counted(4, Phase::Serving), at(900), &shop()), Ok(()));
    let late = counted(90, Phase::Serving);
    assert_eq!(next.announce(&instance("i-1"), late.clone(), at(1000), &shop()), Ok(()));
    assert_eq!(
        next.announce(&live, counted(4, Phase::Serving), at(1100), &shop()),
        Err(Fault::Stale)
    );
    assert_eq!(next.announce(&live, counted(5, Phase::Serving), at(1900), &shop()), Ok(()));
    assert_eq!(next.announce(&instance("i-1"), late, at(2000), &shop()), Err(Fault::Stale));
    assert_eq!(next.local(&shop()).expect("announced").instance, live);
}

/// Guards against a message to all hosts with each heartbeat of an upstream that drains.
#[test]
fn a_leaving_is_reported_once() {
    let mut registry = registry();
    for sequence in 1..9 {
        let draining = counted(sequence, Phase::Draining);
        registry.announce(&instance("i-1"), draining, at(sequence), &shop()).expect("valid");
    }
    assert!(registry.take_unreported().is_some());
    assert!(registry.take_unreported().is_none());
    registry.record_leaving();
    registry.record_leaving();
    assert!(registry.take_unreported().is_some());
    assert!(registry.take_unreported().is_none());
}
