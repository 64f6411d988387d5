//! Single nodes, fed by hand.

use std::sync::Arc;
use std::time;

use rstest::rstest;

use crate::clock;
use crate::configs;
use crate::delta;
use crate::fold::id;
use crate::fold::record;
use crate::host;
use crate::logs;
use crate::spread::confirm;
use crate::spread::decision::{Action, Event, Identity, Spread};
use crate::spread::message::{self, Datagram, Way};
use crate::spread::tests::fleet;
use crate::version;
use crate::view;

fn id(last: u8) -> host::HostId {
    host::HostId::new((std::net::Ipv4Addr::new(127, 9, 0, last), 7100).into())
}

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

fn view(hosts: u8) -> Arc<view::View> {
    let place = Arc::new(view::Locality { region: "r".into(), zone: "z".into() });
    let host = |n| view::Host {
        id: id(n),
        locality: Arc::clone(&place),
        incarnation: 1,
        health: view::Health::Alive,
        upstream: None,
    };
    Arc::new(view::View::new((0..hosts).map(host).collect()))
}

/// A node that knows `hosts` hosts of its zone and has seen its first view.
fn node(me: u8, hosts: u8, settings: configs::spread::Spread) -> Spread {
    let identity = Identity {
        host: id(me),
        zone: "z".into(),
        join: true,
        wait: time::Duration::from_secs(10),
        retention: time::Duration::from_secs(86_400),
    };
    let mut node = Spread::new(identity, settings, 5, at(0));
    node.handle(Event::View(view(hosts)), at(1));
    node
}

/// The `n`th node of three that is not yet settled, made to settle with the log down.
fn settle(node: &mut Spread, told: version::Version) -> Vec<Action> {
    let mut actions = Vec::new();
    for millis in (2..20_000).step_by(10) {
        for action in node.handle(Event::Tick, at(millis)) {
            match &action {
                Action::Read(_) => {
                    let event = Event::Read { batch: None, unix_millis: 0 };
                    actions.extend(node.handle(event, at(millis)));
                }
                Action::Send { host, datagram: Datagram::Ask } => {
                    let stamp = version::VersionId::default();
                    let datagram = Datagram::Tell { version_id: stamp, yours: told };
                    let event = Event::Datagram { host: *host, datagram };
                    actions.extend(node.handle(event, at(millis)));
                }
                _ => {}
            }
            actions.push(action);
        }
        if node.settled() {
            return actions;
        }
    }
    panic!("the node does not settle: {node:?}");
}

fn parcel(number: u64) -> message::Parcel {
    let file = fleet::file(number);
    let stamp = version::VersionId {
        version: version::Version::new(number),
        digest: version::Digest::of(&file),
    };
    let patch = delta::diff(None, &file);
    message::Parcel { version_id: stamp, base: version::Version::NONE, patch }
}

fn push(node: &mut Spread, number: u64, millis: u64) -> Vec<Action> {
    let datagram = Datagram::Push { parcel: parcel(number), way: Way::PassAck };
    node.handle(Event::Datagram { host: id(99), datagram }, at(millis))
}

fn runs(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|a| match a {
        Action::Run(applied) => Some(applied.version_id.version.number()),
        _ => None,
    })
}

#[test]
fn nothing_below_what_a_peer_remembers_of_an_earlier_life_runs() {
    let mut node = node(0, 3, configs::spread::Spread::cascadia());
    settle(&mut node, version::Version::new(7));
    assert_eq!(runs(&push(&mut node, 6, 30_000)), None);
    assert_eq!(runs(&push(&mut node, 7, 30_010)), Some(7));
}

#[test]
fn an_older_or_equal_push_changes_nothing_and_is_acknowledged() {
    let mut node = node(0, 3, configs::spread::Spread::cascadia());
    settle(&mut node, version::Version::NONE);
    assert_eq!(runs(&push(&mut node, 5, 30_000)), Some(5));
    for number in [4, 5] {
        let actions = push(&mut node, number, 30_010);
        assert_eq!(runs(&actions), None);
        let acked = |a: &Action| matches!(a, Action::Send { datagram: Datagram::Ack { version }, .. } if version.number() == 5);
        assert!(actions.iter().any(acked), "{actions:?}");
        assert_eq!(node.held().version.number(), 5);
    }
}

#[test]
fn a_patch_that_leads_elsewhere_is_not_taken() {
    let mut node = node(0, 3, configs::spread::Spread::cascadia());
    settle(&mut node, version::Version::NONE);
    let mut wrong = parcel(5);
    wrong.version_id.digest = version::Digest::of(b"another file");
    let datagram = Datagram::Push { parcel: wrong, way: Way::Pass };
    let actions = node.handle(Event::Datagram { host: id(1), datagram }, at(30_000));
    assert_eq!(runs(&actions), None);
    assert_eq!(node.held(), version::VersionId::default());
}

/// Host `from` announces version `number`; gives the host that is then asked for a transfer.
fn announce(node: &mut Spread, from: u8, number: u64, millis: u64) -> Option<host::HostId> {
    let stamp = parcel(number).version_id;
    let datagram = Datagram::Announce { version_id: stamp, way: Way::Pass };
    let actions = node.handle(Event::Datagram { host: id(from), datagram }, at(millis));
    actions.iter().find_map(|action| match action {
        Action::Fetch { host, .. } => Some(*host),
        _ => None,
    })
}

#[rstest]
#[case::that_has_just_begun(100, None)]
#[case::that_hangs(600, Some(id(2)))]
fn a_transfer_that_hangs_holds_no_newer_version_up(
    #[case] later: u64,
    #[case] asked: Option<host::HostId>,
) {
    let mut node = node(0, 3, configs::spread::Spread::cascadia());
    settle(&mut node, version::Version::NONE);
    assert_eq!(announce(&mut node, 1, 5, 30_000), Some(id(1)));
    assert_eq!(announce(&mut node, 2, 6, 30_000 + later), asked);
}

#[test]
fn no_more_transfers_than_allowed_are_served() {
    let settings = configs::spread::Spread::cascadia();
    let mut node = node(0, 30, settings.clone());
    settle(&mut node, version::Version::NONE);
    push(&mut node, 5, 30_000);
    let mut ask = |transfer: u64| {
        let fetch = message::Fetch { host: id(transfer as u8), have: version::Version::NONE };
        let actions = node.handle(Event::Fetch { transfer, fetch }, at(30_100));
        actions.into_iter().find_map(|a| match a {
            Action::Answer { served, .. } => Some(served),
            _ => None,
        })
    };
    let most = u64::from(settings.transfers);
    for transfer in 1..=most {
        assert!(matches!(ask(transfer), Some(message::Served::Parcel(_))));
    }
    let other = match ask(most + 1) {
        Some(message::Served::Busy { other }) => other,
        served => panic!("{served:?}"),
    };
    assert_eq!(other, Some(id(1)), "the first one served is named");
}

/// The node of three that follows the log, settled, with its first batch read.
fn follower(settings: &configs::spread::Spread) -> (Spread, clock::Instant) {
    for me in 0..3 {
        let mut node = node(me, 3, settings.clone());
        settle(&mut node, version::Version::NONE);
        if node.role() == crate::spread::tail::Role::Follow {
            return (node, at(40_000));
        }
    }
    panic!("one of three follows the log");
}

fn publish(base: u64, tag: u64) -> logs::Record {
    let (base, body) = (version::Version::new(base), fleet::file(tag));
    let id = id::PublishId::derive(base, &body);
    let publish = record::Publish { format: 1, base, id, body: body.into() };
    let body = record::encode(&record::Record::Publish(publish)).expect("encodes");
    logs::Record { offset: 0, unix_millis: 0, body }
}

/// Feeds the first record to a follower.
fn read(node: &mut Spread, now: clock::Instant) -> Vec<Action> {
    let mut actions = Vec::new();
    for _ in 0..2 {
        actions.extend(node.handle(Event::Tick, now));
        let batch = logs::Batch { epoch: 0, first: 0, next: 1, records: vec![publish(0, 1)] };
        actions.extend(node.handle(Event::Read { batch: Some(batch), unix_millis: 0 }, now));
    }
    actions
}

#[test]
fn a_version_from_the_log_runs_once_another_host_holds_it() {
    let (mut node, now) = follower(&configs::spread::Spread::cascadia());
    let actions = read(&mut node, now);
    assert_eq!((runs(&actions), node.held().version.number()), (None, 1));
    let datagram = Datagram::Ack { version: node.held().version };
    let host = id(0);
    let other = if node.handle(Event::Tick, now).is_empty() { host } else { id(1) };
    let actions = node.handle(Event::Datagram { host: other, datagram: datagram.clone() }, now);
    let more = node.handle(Event::Datagram { host: id(2), datagram }, now);
    assert_eq!(runs(&actions).or(runs(&more)), Some(1));
}

#[test]
fn a_version_from_the_log_runs_after_a_while_without_a_witness() {
    let settings = configs::spread::Spread::cascadia();
    let (mut node, now) = follower(&settings);
    read(&mut node, now);
    let wait = time::Duration::from_millis(settings.witness_ms);
    let early = node.handle(Event::Tick, now + (wait - time::Duration::from_millis(1)));
    assert_eq!(runs(&early), None);
    assert_eq!(runs(&node.handle(Event::Tick, now + wait)), Some(1));
}

/// A node without configured hosts, and the first read of the log that it asks for.
fn alone() -> Spread {
    let identity = Identity {
        host: id(2),
        zone: "z".into(),
        join: false,
        wait: time::Duration::from_secs(10),
        retention: time::Duration::from_secs(86_400),
    };
    let mut node = Spread::new(identity, configs::spread::Spread::default(), 5, at(0));
    let actions = node.handle(Event::View(Arc::default()), at(1));
    assert!(actions.iter().any(|action| matches!(action, Action::Read(_))), "{actions:?}");
    node
}

fn settled(offset: u64) -> logs::Record {
    let version = version::Version::assigned(offset + 1, logs::ordinal(0, offset));
    let settled = record::Accepted { version, format: 1, body: fleet::file(offset).into() };
    let body = record::encode(&record::Record::Accepted(settled)).expect("encodes");
    logs::Record { offset, unix_millis: 0, body }
}

#[rstest]
#[case::nobody(1)]
#[case::a_zone_of_hosts_that_start_as_well(50)]
fn a_node_that_starts_runs_what_its_first_read_gives(#[case] hosts: u8) {
    let mut node = alone();
    node.handle(Event::View(view(hosts)), at(3));
    let batch = logs::Batch { epoch: 0, first: 40, next: 41, records: vec![settled(40)] };
    let actions = node.handle(Event::Read { batch: Some(batch), unix_millis: 0 }, at(5));
    assert_eq!(runs(&actions), Some(41));
}

#[test]
fn a_node_that_starts_reads_a_log_in_parts_to_its_end() {
    let mut node = alone();
    node.handle(Event::View(view(50)), at(3));
    let batch = logs::Batch { epoch: 0, first: 40, next: 42, records: vec![settled(40)] };
    let actions = node.handle(Event::Read { batch: Some(batch), unix_millis: 0 }, at(5));
    assert!(actions.iter().any(|action| matches!(action, Action::Read(_))), "{actions:?}");
    let batch = logs::Batch { epoch: 0, first: 41, next: 42, records: vec![settled(41)] };
    let actions = node.handle(Event::Read { batch: Some(batch), unix_millis: 0 }, at(7));
    assert_eq!(runs(&actions), Some(42));
}

#[test]
fn a_push_without_acknowledgement_is_sent_again() {
    let settings = configs::spread::Spread::cascadia();
    let (mut node, now) = follower(&settings);
    let pushes = |actions: &[Action]| {
        let sent = |a: &&Action| matches!(a, Action::Send { datagram: Datagram::Push { .. }, .. });
        actions.iter().filter(sent).count()
    };
    assert_eq!(pushes(&read(&mut node, now)), 2);
    let later = now + time::Duration::from_millis(settings.ack_ms);
    assert_eq!(pushes(&node.handle(Event::Tick, later)), 2);
}

#[rstest]
#[case::nothing_follows(0, 3, 3, vec![], confirm::Tail::Current)]
#[case::a_successor(0, 3, 4, vec![(3, 3)], confirm::Tail::Newer(version::Version::new(4)))]
#[case::a_conflict(0, 3, 4, vec![(3, 1)], confirm::Tail::Current)]
#[case::more_than_was_read(0, 3, 9, vec![(3, 1)], confirm::Tail::Unknown)]
#[case::a_gap(5, 3, 5, vec![], confirm::Tail::Unknown)]
fn the_tail_of_the_log_tells(
    #[case] first: u64,
    #[case] held: u64,
    #[case] next: u64,
    #[case] bases: Vec<(u64, u64)>,
    #[case] wanted: confirm::Tail,
) {
    let records = bases.iter().map(|&(offset, base)| logs::Record { offset, ..publish(base, 1) });
    let batch = logs::Batch { epoch: 0, first, next, records: records.collect() };
    assert_eq!(confirm::look(&batch, version::Version::new(held)), wanted);
}
