//! Entries that another writer has left in the directory of the hosts.

use std::net;
use std::time;

use dandelionspool::host;
use dandelionspool::leave;
use dandelionspool::member;
use dandelionspool::member::directory;
use dandelionspool::member::wire;
use dandelionspool::view;
use proptest::prelude::*;
use rstest::rstest;

use crate::net as mesh;

/// Hosts that start.
const HOSTS: usize = 12;

fn profile(index: usize) -> directory::Profile {
    let settings = mesh::settings(index);
    directory::Profile {
        incarnation: 1,
        locality: view::Locality { region: settings.region, zone: settings.zone },
        upstream: Some(mesh::upstream(index, view::Phase::Serving)),
        leaves: Vec::new(),
    }
}

fn host(port: u16) -> host::HostId {
    host::HostId::new((net::Ipv4Addr::new(127, 77, 0, 1), port).into())
}

/// A mesh of which all hosts start at once with `odd` among the entries of the directory.
fn started_with(odd: &directory::Listed) -> mesh::Net {
    let mut net = mesh::Net::with(HOSTS, 5, |settings| {
        settings.join.clear();
        settings.member.alone_ms = 700;
    });
    net.run(time::Duration::from_millis(50));
    let list = |index| directory::Listed { host: mesh::id(index), profile: Some(profile(index)) };
    let mut listed: Vec<_> = (0..HOSTS).map(list).collect();
    listed.insert(0, odd.clone());
    for index in 0..HOSTS {
        net.handle(index, member::Event::Listed(listed.clone()));
    }
    net
}

/// Guards against one odd entry that hosts pass on in datagrams which others refuse as a whole, so
/// that no host gets to know the others.
#[rstest]
#[case::no_port(0, profile(3))]
#[case::port_too_high(65_530, profile(3))]
#[case::highest_port(65_535, profile(3))]
#[case::highest_number(7100, directory::Profile { incarnation: u64::MAX, ..profile(3) })]
#[case::long_name(7100, directory::Profile {
    locality: view::Locality { region: "r".into(), zone: "z".repeat(5000).into() }, ..profile(3)
})]
#[case::long_service(7100, directory::Profile {
    upstream: Some(view::Upstream {
        service: "s".repeat(1200).into(), ..mesh::upstream(3, view::Phase::Serving)
    }),
    ..profile(3)
})]
fn a_mesh_starts_beside_an_odd_entry(#[case] port: u16, #[case] profile: directory::Profile) {
    let mut net = started_with(&directory::Listed { host: host(port), profile: Some(profile) });
    let joined = |net: &mut mesh::Net| {
        (0..HOSTS).all(|index| net.standing(index) == Some(view::Standing::Member))
    };
    assert!(net.until(time::Duration::from_secs(5), joined).is_some(), "not all hosts join");
    // A host that joins later copies the table from the others by pages.
    net.faults.mute = true;
    let new = net.add(mesh::settings(HOSTS));
    let known = |net: &mut mesh::Net| {
        let views = net.views();
        let view = views.iter().find(|(index, _)| *index == new).map(|(_, view)| view);
        view.is_some_and(|view| (0..HOSTS).all(|index| view.host(mesh::id(index)).is_some()))
    };
    let took = net.until(time::Duration::from_secs(2), known);
    assert!(took.is_some(), "a host that joins doesn't get the table");
}

/// Guards against a host that ends or can't raise its incarnation, since an entry with its own
/// address has the highest number.
#[test]
fn an_odd_entry_of_its_own_does_not_keep_a_host_out() {
    let leaves = vec![leave::Leave {
        instance: leave::InstanceHash::of(&"i".into()).expect("a name"),
        born: Some(u64::MAX),
        sequence: u64::MAX,
    }];
    let odd = directory::Profile { incarnation: u64::MAX, leaves, ..profile(3) };
    let mut net = started_with(&directory::Listed { host: mesh::id(3), profile: Some(odd) });
    net.run(time::Duration::from_secs(5));
    let seen = net.seen(3);
    assert!(seen.iter().flatten().all(|host| host.health == view::Health::Alive), "{seen:?}");
}

proptest! {
    /// Guards against bytes of another writer that end the process that decodes them.
    #[test]
    fn mutated_profiles_decode_or_fail(
        changes in prop::collection::vec((0usize..400, any::<u8>()), 0..8),
        length in 0usize..400,
    ) {
        let leaves = vec![leave::Leave {
            instance: leave::InstanceHash::of(&"i".into()).expect("a name"),
            born: Some(7),
            sequence: 9,
        }];
        let mut bytes = directory::Profile { leaves, ..profile(1) }.encode().expect("encodes");
        for (position, byte) in changes {
            if let Some(old) = bytes.get_mut(position) {
                *old = byte;
            }
        }
        bytes.truncate(length);
        if let Ok(decoded) = directory::Profile::decode(&bytes) {
            let odd = directory::Listed { host: host(7100), profile: Some(decoded) };
            let mut net = started_with(&odd);
            net.run(time::Duration::from_millis(300));
            prop_assert!((0..HOSTS).all(|index| net.standing(index).is_some()));
        }
    }

    /// Guards against messages that were made wrongly and end the process which gets them, or keep
    /// a mesh from agreeing on its hosts.
    #[test]
    fn mutated_datagrams_end_no_host(
        changes in prop::collection::vec((0usize..300, any::<u8>()), 1..8),
    ) {
        let mut packer = wire::Packer::new(mesh::id(2), wire::Body::Gossip);
        let upstream = mesh::upstream(5, view::Phase::Serving).into();
        let locality = profile(5).locality;
        packer.record(mesh::id(5), (7, 2), &locality, Some(&upstream));
        packer.claim(mesh::id(6), 1, wire::Claim::Suspect);
        let mut bytes = wire::encode(&packer.finish()).expect("encodes");
        for (position, byte) in changes {
            if let Some(old) = bytes.get_mut(position) {
                *old = byte;
            }
        }
        if let Ok(datagram) = wire::decode(&bytes) {
            let mut net = mesh::Net::settled(HOSTS, 6);
            net.handle(0, member::Event::Datagram(Box::new(datagram)));
            net.run(time::Duration::from_secs(2));
            prop_assert!((0..HOSTS).all(|index| net.standing(index).is_some()));
        }
    }
}
