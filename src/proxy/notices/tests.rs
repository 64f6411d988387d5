use std::net;

use http::header;
use rstest::rstest;

use crate::admit;
use crate::clock;
use crate::node;
use crate::notice;
use crate::proxy::dialect;
use crate::proxy::notices;
use crate::proxy::trace;
use crate::rollout;
use crate::view;

/// The upstream `instance` in its incarnation numbered `incarnation`.
fn local(instance: &str, incarnation: u32) -> node::LocalUpstream {
    let upstream = view::Upstream {
        service: "shop".into(),
        class: "shop".into(),
        phase: view::Phase::Serving,
        slots: 4,
        connections: 20,
        incarnation,
        version: Default::default(),
        trial: rollout::TrialReport::default(),
    };
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    node::LocalUpstream { address, instance: instance.into(), born: None, upstream }
}

/// Reads an answer of `local` with the given headers.
fn read(
    notices: &notices::Notices,
    local: &node::LocalUpstream,
    headers: &[(&'static str, &'static str)],
) -> bool {
    let mut map = header::HeaderMap::new();
    for (name, value) in headers {
        map.append(*name, header::HeaderValue::from_static(value));
    }
    let dialect = dialect::Dialect::default();
    notices.read(local, &dialect, &map, &trace::Trace::default(), clock::Instant::ZERO)
}

/// A limit in thousandths of a call a second.
fn limit(millis: u64) -> Option<admit::Rate> {
    Some(admit::Rate::from_millis(millis))
}

#[rstest]
#[case::whole(&["5"], limit(5000))]
#[case::fraction(&["10.4"], limit(10_400))]
#[case::fine(&["0.12345"], limit(123))]
#[case::zero(&["0"], limit(0))]
#[case::huge(&["99999999999999999999999"], Some(admit::Rate::MAX))]
#[case::lowest_of_two(&["7", "3"], limit(3000))]
#[case::valid_one_of_two(&["x", "3"], limit(3000))]
#[case::negative(&["-3"], limit(9000))]
#[case::not_a_number(&["NaN"], limit(9000))]
#[case::infinite(&["inf"], limit(9000))]
#[case::exponent(&["1e3"], limit(9000))]
#[case::empty(&[""], limit(9000))]
#[case::point_only(&["."], limit(9000))]
#[case::no_longer_named(&[], None)]
fn a_limit_is_read_or_leaves_the_previous_one(
    #[case] named: &[&'static str],
    #[case] expected: Option<admit::Rate>,
) {
    let (notices, local) = (notices::Notices::default(), local("i-1", 1));
    read(&notices, &local, &[("upstream-limit", "9")]);
    let headers: Vec<_> = named.iter().map(|value| ("upstream-limit", *value)).collect();
    read(&notices, &local, &headers);
    assert_eq!(notices.of(&local).limit, expected);
}

#[test]
fn an_upstream_that_has_said_that_it_leaves_can_not_take_it_back() {
    let (notices, local) = (notices::Notices::default(), local("i-1", 1));
    assert!(!read(&notices, &local, &[("upstream-leaving", "0")]));
    assert!(read(&notices, &local, &[("upstream-leaving", "1")]));
    assert!(!read(&notices, &local, &[]));
    assert!(notices.of(&local).leaving);
}

#[test]
fn a_notice_binds_no_other_incarnation() {
    let notices = notices::Notices::default();
    read(&notices, &local("i-1", 1), &[("upstream-leaving", "1"), ("upstream-limit", "2")]);
    for next in [local("i-2", 2), local("i-1", 2)] {
        assert_eq!(notices.of(&next), notice::Notice::default());
    }
}

#[test]
fn a_node_that_started_anew_learns_what_its_upstream_has_said() {
    let trace = trace::Trace::default();
    let now = clock::Instant::ZERO;
    let (before, upstream) = (notices::Notices::default(), local("i-1", 4));
    read(&before, &upstream, &[("upstream-limit", "2"), ("upstream-leaving", "1")]);
    let relayed = before.relayed(&upstream).expect("a notice");

    let after = notices::Notices::default();
    assert!(!after.learn(&local("i-2", 1), &relayed, &trace, now), "another upstream");
    assert!(!after.learn(&local("", 1), &relayed, &trace, now), "one without a name");
    assert!(after.learn(&local("i-1", 1), &relayed, &trace, now));
    assert_eq!(after.of(&local("i-1", 1)), relayed.notice);
}

#[test]
fn an_answer_is_newer_than_what_other_nodes_have_heard() {
    let trace = trace::Trace::default();
    let (notices, upstream) = (notices::Notices::default(), local("i-1", 1));
    let notice = notice::Notice { limit: limit(2000), leaving: false };
    let relayed = notice::Relayed { incarnation: 1, identity: upstream.identity(), notice };
    read(&notices, &upstream, &[]);
    assert!(!notices.learn(&upstream, &relayed, &trace, clock::Instant::ZERO));
    assert_eq!(notices.of(&upstream).limit, None);
}

#[test]
fn a_late_answer_of_the_incarnation_before_changes_nothing() {
    let (notices, next) = (notices::Notices::default(), local("i-2", 2));
    read(&notices, &next, &[("upstream-limit", "2"), ("upstream-leaving", "1")]);
    assert!(!read(&notices, &local("i-1", 1), &[("upstream-limit", "9")]));
    assert_eq!(notices.of(&next), notice::Notice { limit: limit(2000), leaving: true });
}
