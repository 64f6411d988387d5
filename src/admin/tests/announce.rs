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

fn desk() -> Registry {
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
fn limits_of_the_class_hold() {
    let mut desk = desk();
    assert_eq!(desk.announce(&instance(""), announcement(), at(0), &shop()), Ok(()));
    let local = desk.local(&shop()).expect("announced");
    assert_eq!((local.upstream.slots, local.upstream.connections), (9, 100));
    assert_eq!(local.upstream.phase, view::Phase::Serving);
}

#[rstest]
#[case::before(5999, true)]
#[case::after(6000, false)]
fn lease_ends_without_renewal(#[case] millis: u64, #[case] holds: bool) {
    let mut desk = desk();
    desk.announce(&instance(""), announcement(), at(0), &shop()).expect("valid");
    desk.expire(at(millis));
    assert_eq!(desk.local(&shop()).is_some(), holds);
}

#[test]
fn renewal_extends_the_lease() {
    let mut desk = desk();
    desk.announce(&instance(""), announcement(), at(0), &shop()).expect("valid");
    desk.announce(&instance(""), announcement(), at(5000), &shop()).expect("valid");
    desk.expire(at(10_999));
    assert!(desk.local(&shop()).is_some());
    desk.withdraw(&instance(""), None);
    assert!(desk.local(&shop()).is_none());
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
fn faults_are_typed(#[case] announcement: Announcement, #[case] fault: Fault) {
    let mut desk = desk();
    assert_eq!(desk.announce(&instance(""), announcement, at(0), &shop()), Err(fault));
    assert_eq!(desk.local(&shop()), None);
}

#[test]
fn a_pending_announcement_holds_once_a_configuration_brings_its_class() {
    let mut desk = desk();
    let early = desk.announce(&instance(""), announcement(), at(0), &mesh::Mesh::default());
    assert_eq!(early, Err(Fault::Service));
    assert!(early.is_err_and(Fault::pending));
    assert!(desk.local(&shop()).is_some());
}

#[test]
fn a_refused_announcement_leaves_the_one_that_holds() {
    let mut desk = desk();
    desk.announce(&instance(""), announcement(), at(0), &shop()).expect("valid");
    let bad = Announcement { slots: 0, ..announcement() };
    assert_eq!(desk.announce(&instance(""), bad, at(1), &shop()), Err(Fault::Empty));
    assert!(desk.local(&shop()).is_some());
}

#[rstest]
#[case::own(HOST, true)]
#[case::loopback(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), true)]
#[case::stranger(net::IpAddr::V4(net::Ipv4Addr::new(10, 1, 2, 4)), false)]
fn only_the_own_host_announces(#[case] peer: net::IpAddr, #[case] admitted: bool) {
    assert_eq!(desk().admits(peer), admitted);
}

#[test]
fn a_late_announcement_of_an_older_instance_changes_nothing() {
    let mut desk = desk();
    let (old, new) = (instance("old"), instance("new"));
    desk.announce(&old, announcement(), at(0), &shop()).expect("valid");
    desk.announce(&new, announcement(), at(1), &shop()).expect("valid");
    assert_eq!(desk.announce(&old, announcement(), at(2), &shop()), Err(Fault::Stale));
    assert_eq!(desk.local(&shop()).expect("announced").instance, new);
    desk.withdraw(&old, None);
    assert!(desk.local(&shop()).is_some(), "only its own announcement is taken back");
}

#[test]
fn an_instance_that_has_withdrawn_does_not_come_back() {
    let mut desk = desk();
    let gone = instance("gone");
    desk.announce(&gone, announcement(), at(0), &shop()).expect("valid");
    desk.withdraw(&gone, None);
    assert_eq!(desk.announce(&gone, announcement(), at(1), &shop()), Err(Fault::Stale));
    assert!(desk.local(&shop()).is_none());
}

#[test]
fn an_announcement_that_was_overtaken_changes_nothing() {
    let mut desk = desk();
    let one = instance("one");
    let leaving = Announcement { phase: Phase::Draining, sequence: 7, ..announcement() };
    desk.announce(&one, leaving, at(0), &shop()).expect("valid");
    let late = Announcement { sequence: 6, ..announcement() };
    assert_eq!(desk.announce(&one, late, at(1), &shop()), Err(Fault::Stale));
    let local = desk.local(&shop()).expect("announced");
    assert_eq!(local.upstream.phase, view::Phase::Draining);
}

#[test]
fn an_upstream_without_class_belongs_to_the_one_named_like_its_service() {
    let mut desk = desk();
    let nameless = Announcement { class: SmolStr::default(), ..announcement() };
    assert_eq!(desk.announce(&instance(""), nameless, at(0), &shop()), Err(Fault::Class));
}

#[rstest]
#[case::slow_for_a_while(1, view::Phase::Warming)]
#[case::at_full_speed(0, view::Phase::Serving)]
fn a_slow_start_is_told(#[case] warmup_ms: u64, #[case] phase: view::Phase) {
    let mut desk = desk();
    let announced = Announcement { warmup_ms, ..announcement() };
    desk.announce(&instance(""), announced, at(0), &shop()).expect("valid");
    assert_eq!(desk.local(&shop()).expect("announced").upstream.phase, phase);
}

/// An announcement of the life that began at `born`.
fn of_life(born: u64, sequence: u64, phase: Phase) -> Announcement {
    Announcement { born: Some(born), sequence, phase, ..announcement() }
}

fn life(desk: &Registry) -> Option<(u32, view::Phase)> {
    desk.local(&shop()).map(|local| (local.upstream.incarnation, local.upstream.phase))
}

#[test]
fn an_instance_that_starts_again_counts_anew_and_serves() {
    let (mut desk, one) = (desk(), instance("one"));
    desk.announce(&one, of_life(1000, 40, Phase::Draining), at(0), &shop()).expect("valid");
    let (before, _) = life(&desk).expect("announced");
    desk.announce(&one, of_life(2000, 1, Phase::Serving), at(1), &shop()).expect("a new start");
    assert_eq!(life(&desk), Some((before + 1, view::Phase::Serving)));
    desk.announce(&one, of_life(2000, 2, Phase::Serving), at(2), &shop()).expect("renewed");
    assert_eq!(life(&desk), Some((before + 1, view::Phase::Serving)), "a renewal is no start");
}

#[rstest]
#[case::renewal(of_life(1000, 41, Phase::Draining))]
#[case::without_its_start(Announcement { sequence: 50, ..announcement() })]
fn what_an_older_life_said_comes_too_late(#[case] late: Announcement) {
    let (mut desk, one) = (desk(), instance("one"));
    desk.announce(&one, of_life(1000, 40, Phase::Serving), at(0), &shop()).expect("valid");
    desk.announce(&one, of_life(2000, 1, Phase::Serving), at(1), &shop()).expect("a new start");
    let held = life(&desk);
    assert_eq!(desk.announce(&one, late, at(2), &shop()), Err(Fault::Stale));
    desk.withdraw(&one, Some(1000));
    assert_eq!(life(&desk), held);
}

#[test]
fn a_withdrawal_binds_its_life_alone() {
    let (mut desk, one) = (desk(), instance("one"));
    desk.announce(&one, of_life(1000, 1, Phase::Serving), at(0), &shop()).expect("valid");
    desk.withdraw(&one, None);
    let again = desk.announce(&one, of_life(1000, 2, Phase::Serving), at(1), &shop());
    assert_eq!(again, Err(Fault::Stale));
    desk.announce(&one, of_life(2000, 1, Phase::Serving), at(2), &shop()).expect("a new start");
    assert!(life(&desk).is_some());
}

#[test]
fn a_withdrawal_of_a_life_that_nobody_knows_binds_every_life() {
    let (mut desk, one) = (desk(), instance("one"));
    desk.withdraw(&one, None);
    let late = desk.announce(&one, of_life(1000, 2, Phase::Serving), at(1), &shop());
    assert_eq!(late, Err(Fault::Stale));
    assert_eq!(life(&desk), None);
}

#[test]
fn a_life_goes_on_over_a_lease_that_lapsed() {
    let (mut desk, one) = (desk(), instance("one"));
    desk.announce(&one, of_life(1000, 1, Phase::Serving), at(0), &shop()).expect("valid");
    let held = life(&desk);
    desk.expire(at(6000));
    desk.announce(&one, of_life(1000, 2, Phase::Serving), at(7000), &shop()).expect("valid");
    assert_eq!(life(&desk), held);
}

#[rstest]
#[case::service(Announcement { service: "toys".into(), ..announcement() })]
#[case::class(Announcement { class: "toys".into(), ..announcement() })]
fn what_names_no_upstream_to_use_leaves_the_one_that_holds(#[case] foreign: Announcement) {
    let mut desk = desk();
    desk.announce(&instance("one"), announcement(), at(0), &shop()).expect("valid");
    for name in ["one", "other"] {
        let said = desk.announce(&instance(name), foreign.clone(), at(1), &shop());
        assert_eq!(said, Err(Fault::Foreign));
    }
    assert_eq!(desk.local(&shop()).expect("announced").instance, instance("one"));
}

/// What an upstream sends.
fn sent() -> serde_json::Value {
    serde_json::json!({
        "service": "shop", "class": "shop-host", "address": "10.1.2.3:8080", "zone": "a",
        "version": "v1", "slots": 9, "connections": 100, "phase": "serving", "warmup_ms": 0,
        "sequence": 4, "born": 1_790_000_000_000_u64,
    })
}

#[test]
fn fields_from_a_newer_sender_are_ignored() {
    let mut newer = sent();
    newer["colour"] = serde_json::json!({ "any": ["thing"] });
    let read: Announcement = serde_json::from_value(newer).expect("readable");
    assert_eq!((read.born, read.sequence), (Some(1_790_000_000_000), 4));
}

#[test]
fn the_spellings_with_hyphens_say_the_same() {
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
    fn no_bytes_take_the_known_upstream_away(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        prop_assert!(serde_json::from_slice::<Announcement>(&bytes).is_err());
    }

    #[test]
    fn a_field_of_another_type_names_no_upstream_or_a_sound_one(
        field in prop::sample::select(vec![
            "service", "address", "slots", "connections", "phase", "warmup_ms", "sequence", "born",
        ]),
        value in value(),
    ) {
        let mut desk = desk();
        let one = instance("one");
        let held = Announcement { sequence: 3, born: Some(1), ..announcement() };
        desk.announce(&one, held, at(0), &shop()).expect("valid");
        let mut changed = sent();
        changed[field] = value;
        if let Ok(read) = serde_json::from_value::<Announcement>(changed) {
            // A fault is typed; whatever it is, an upstream of the configuration stays.
            let _ = desk.announce(&one, read, at(1), &shop());
        }
        let local = desk.local(&shop()).expect("an upstream");
        prop_assert_eq!(local.upstream.service, "shop");
        prop_assert!(local.upstream.slots > 0 && local.upstream.connections > 0);
        prop_assert_eq!(local.address.ip(), HOST);
    }
}
