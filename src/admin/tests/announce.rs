//! Tests of announcements and their leases.

use std::net;
use std::time;

use rstest::rstest;

use super::shop;
use crate::admin::announce::{Announcement, Desk, Fault, Phase};
use crate::clock;
use crate::mesh;
use crate::view;

const HOST: net::IpAddr = net::IpAddr::V4(net::Ipv4Addr::new(10, 1, 2, 3));
const LEASE: time::Duration = time::Duration::from_millis(6000);

fn desk() -> Desk {
    Desk::new(HOST, LEASE)
}

fn announcement() -> Announcement {
    Announcement {
        service: "shop".into(),
        class: "shop-host".into(),
        address: net::SocketAddr::new(HOST, 8080),
        slots: 20,
        connections: 100,
        phase: Phase::Serving,
    }
}

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

#[test]
fn limits_of_the_class_hold() {
    let mut desk = desk();
    assert_eq!(desk.announce(announcement(), at(0), &shop()), Ok(()));
    let local = desk.local(&shop()).expect("announced");
    assert_eq!((local.upstream.slots, local.upstream.connections), (9, 100));
    assert_eq!(local.upstream.phase, view::Phase::Serving);
}

#[rstest]
#[case::before(5999, true)]
#[case::after(6000, false)]
fn lease_ends_without_renewal(#[case] millis: u64, #[case] holds: bool) {
    let mut desk = desk();
    desk.announce(announcement(), at(0), &shop()).expect("valid");
    desk.expire(at(millis));
    assert_eq!(desk.local(&shop()).is_some(), holds);
}

#[test]
fn renewal_extends_the_lease() {
    let mut desk = desk();
    desk.announce(announcement(), at(0), &shop()).expect("valid");
    desk.announce(announcement(), at(5000), &shop()).expect("valid");
    desk.expire(at(10_999));
    assert!(desk.local(&shop()).is_some());
    desk.withdraw();
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
    assert_eq!(desk.announce(announcement, at(0), &shop()), Err(fault));
    assert_eq!(desk.local(&shop()), None);
}

#[test]
fn a_pending_announcement_holds_once_a_configuration_brings_its_class() {
    let mut desk = desk();
    let early = desk.announce(announcement(), at(0), &mesh::Mesh::default());
    assert_eq!(early, Err(Fault::Service));
    assert!(early.is_err_and(Fault::pending));
    assert!(desk.local(&shop()).is_some());
}

#[test]
fn a_refused_announcement_leaves_the_one_that_holds() {
    let mut desk = desk();
    desk.announce(announcement(), at(0), &shop()).expect("valid");
    let bad = Announcement { slots: 0, ..announcement() };
    assert_eq!(desk.announce(bad, at(1), &shop()), Err(Fault::Empty));
    assert!(desk.local(&shop()).is_some());
}

#[rstest]
#[case::own(HOST, true)]
#[case::loopback(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), true)]
#[case::stranger(net::IpAddr::V4(net::Ipv4Addr::new(10, 1, 2, 4)), false)]
fn only_the_own_host_announces(#[case] peer: net::IpAddr, #[case] admitted: bool) {
    assert_eq!(desk().admits(peer), admitted);
}
