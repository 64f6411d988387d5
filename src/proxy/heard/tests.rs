use std::net;

use crate::admit;
use crate::clock;
use crate::host;
use crate::notice;
use crate::proxy::heard;

fn id(number: u16) -> host::HostId {
    let [high, low] = number.to_be_bytes();
    host::HostId::new(net::SocketAddr::from(([127, 1, high, low], 7100)))
}

fn relayed(leaving: bool) -> notice::Relayed {
    let limit = Some(admit::Rate::from_millis(5000));
    let identity = notice::Identity::of(&"i-1".into(), None);
    notice::Relayed { incarnation: 1, identity, notice: notice::Notice { limit, leaving } }
}

fn at(seconds: u64) -> clock::Instant {
    clock::Instant::from_millis(seconds * 1000)
}

#[test]
fn a_limit_is_forgotten_once_answers_no_longer_name_it() {
    let mut heard = heard::Heard::default();
    heard.record(id(1), Some(relayed(false)), at(0));
    assert!(heard.header(id(1), at(1)).is_some());
    assert!(heard.header(id(2), at(1)).is_none());
    heard.record(id(1), None, at(2));
    assert!(heard.header(id(1), at(2)).is_none());
    heard.record(id(1), Some(relayed(false)), at(3));
    assert!(heard.header(id(1), at(60)).is_none(), "not heard again for a minute");
}

#[test]
fn a_leave_is_remembered_when_the_node_has_forgotten_it() {
    let mut heard = heard::Heard::default();
    heard.record(id(1), Some(relayed(true)), at(0));
    heard.record(id(1), None, at(1));
    assert!(heard.header(id(1), at(60)).is_some());
    assert!(heard.header(id(1), at(3600)).is_none());
}

#[test]
fn the_number_of_hosts_that_are_remembered_is_bounded() {
    let mut heard = heard::Heard::default();
    for number in 0..5000 {
        heard.record(id(number), Some(relayed(true)), at(u64::from(number) / 100));
    }
    let known = (0..5000).filter(|number| heard.header(id(*number), at(60)).is_some()).count();
    assert_eq!(known, 4096);
    assert!(heard.header(id(4999), at(60)).is_some());
}
