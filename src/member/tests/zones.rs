use std::net;
use std::time;

use rstest::rstest;
use smol_str::SmolStr;

use crate::clock;
use crate::host;
use crate::member::zones;

const ROUND: time::Duration = time::Duration::from_millis(500);

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

fn host() -> host::HostId {
    host::HostId::new(net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 7100)))
}

#[rstest]
fn silent_zone_is_unreachable_after_two_rounds_until_it_makes_contact() {
    let zone = SmolStr::new("zone");
    let mut zones = zones::Zones::default();
    assert!(zones.check(&zone, Some(host()), at(500)));
    assert!(!zones.check(&zone, None, at(600)), "one check at a time");
    assert_eq!(zones.expire(ROUND, at(499)), []);
    assert_eq!(zones.expire(ROUND, at(500)), [(zone.clone(), zones::Verdict::Again)]);
    assert_eq!(zones.wake(), Some(at(1000)));
    assert_eq!(zones.expire(ROUND, at(1000)), [(zone.clone(), zones::Verdict::Unreachable)]);
    assert!(zones.is_unreachable(&zone));
    assert_eq!(
        zones.record_contact(&zone, at(1100)),
        zones::Contact { was_unreachable: true, suspects: Vec::new() }
    );
    assert!(!zones.is_unreachable(&zone));
}

#[rstest]
fn answer_during_a_check_makes_only_the_silent_host_suspect() {
    let zone = SmolStr::new("zone");
    let mut zones = zones::Zones::default();
    zones.check(&zone, Some(host()), at(500));
    assert_eq!(
        zones.record_contact(&zone, at(10)),
        zones::Contact { was_unreachable: false, suspects: vec![host()] }
    );
    assert_eq!(zones.expire(ROUND, at(2000)), []);
    assert!(zones.contacted_since(&zone, at(10)));
    assert!(!zones.contacted_since(&zone, at(11)));
}
