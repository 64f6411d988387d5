//! Start of all hosts at once, as after a power failure.

use std::time;

use dandelionspool::member;
use dandelionspool::member::directory;
use dandelionspool::view;
use rstest::rstest;

use crate::net;

/// Hosts that start.
const HOSTS: usize = 295;

/// The list in the directory, with the profile that each host registered before the restart.
fn listed() -> Vec<directory::Listed> {
    let profile = |index| {
        let settings = net::settings(index);
        directory::Profile {
            incarnation: 1,
            locality: view::Locality { region: settings.region, zone: settings.zone },
            upstream: Some(net::upstream(index, view::Phase::Serving)),
            leaves: Vec::new(),
        }
    };
    let listed = |index| directory::Listed { host: net::id(index), profile: Some(profile(index)) };
    (0..HOSTS).map(listed).collect()
}

/// The hosts after they have started and received the list of the directory.
fn started(seed: u64) -> net::Net {
    started_without(seed, &[])
}

/// The same, but the hosts `gone` did not restart.
fn started_without(seed: u64, gone: &[usize]) -> net::Net {
    let mut mesh = net::Net::with(HOSTS, seed, |settings| {
        settings.join.clear();
        settings.member.alone_ms = 700;
    });
    gone.iter().for_each(|&index| mesh.kill(index));
    mesh.run(time::Duration::from_millis(50));
    for index in 0..HOSTS {
        mesh.handle(index, member::Event::Listed(listed()));
    }
    mesh
}

/// The share of all upstreams known to the host that knows the fewest.
fn min_known(mesh: &mut net::Net) -> f64 {
    let upstreams = |view: &view::View| view.hosts.iter().filter(|h| h.upstream.is_some()).count();
    let min = mesh.views().iter().map(|(_, view)| upstreams(view)).min();
    min.unwrap_or(0) as f64 / HOSTS as f64
}

#[rstest]
#[case(1)]
#[case(2)]
fn hosts_that_all_start_at_once_know_every_upstream_from_the_first_list(#[case] seed: u64) {
    let mut mesh = started(seed);
    mesh.run(time::Duration::from_millis(100));
    assert_eq!(min_known(&mut mesh), 1.0);
}

#[rstest]
#[case(1)]
#[case(2)]
fn a_host_that_did_not_restart_is_detected(#[case] seed: u64) {
    let mut mesh = started(seed);
    mesh.kill(7);
    let gone = |mesh: &mut net::Net| {
        let seen = mesh.seen(7);
        seen.iter().all(|host| host.as_ref().is_none_or(|h| h.health != view::Health::Alive))
    };
    let took = mesh.until(time::Duration::from_secs(20), gone);
    assert!(took.is_some(), "seed {seed}");
}

#[rstest]
#[case(1)]
#[case(2)]
fn records_of_a_host_supersede_its_listed_profile(#[case] seed: u64) {
    let mut mesh = started(seed);
    let leaving = net::upstream(3, view::Phase::Draining);
    mesh.handle(3, member::Event::Local(Some(leaving.into())));
    let known = |mesh: &mut net::Net| {
        let phase = |host: &Option<view::Host>| {
            let upstream = host.as_ref().and_then(|h| h.upstream.as_ref());
            upstream.is_some_and(|u| u.phase == view::Phase::Draining)
        };
        mesh.seen(3).iter().all(phase)
    };
    let took = mesh.until(time::Duration::from_secs(2), known);
    assert!(took.is_some(), "seed {seed}");
    mesh.run(time::Duration::from_secs(1));
    for index in 0..HOSTS {
        mesh.handle(index, member::Event::Listed(listed()));
    }
    assert!(known(&mut mesh), "seed {seed}: the listed profile came back");
}

#[rstest]
fn a_host_whose_clock_went_back_exceeds_its_listed_incarnation() {
    let mut mesh = started(1);
    let mut before = listed();
    for listed in &mut before {
        if let Some(profile) = &mut listed.profile {
            profile.incarnation = u64::MAX / 2;
        }
    }
    mesh.handle(5, member::Event::Listed(before));
    let incarnation = mesh.hosts[5].member.as_mut().map(|member| {
        let view = member.view();
        view.host(net::id(5)).map(|host| host.incarnation)
    });
    assert_eq!(incarnation, Some(Some(u64::MAX / 2 + 1)));
}

/// The health of host `other` as host `index` sees it.
fn health(mesh: &mut net::Net, index: usize, other: usize) -> Option<view::Health> {
    let view = mesh.hosts[index].member.as_mut()?.view();
    view.host(net::id(other)).map(|host| host.health)
}

#[rstest]
fn a_joining_host_suspects_listed_hosts_that_the_mesh_does_not_know() {
    let mut mesh = net::Net::settled(20, 3);
    let mut settings = net::settings(20);
    settings.join.clear();
    let late = mesh.add(settings);
    let mut known = listed();
    known.truncate(30);
    mesh.handle(late, member::Event::Listed(known));
    mesh.run(time::Duration::from_millis(700));
    assert_eq!(health(&mut mesh, late, 25), Some(view::Health::Suspect));
    assert_eq!(health(&mut mesh, late, 7), Some(view::Health::Alive));
}

#[rstest]
fn listed_hosts_without_contact_become_suspect() {
    let mut mesh = started_without(1, &[9]);
    assert_eq!(health(&mut mesh, 5, 9), Some(view::Health::Alive));
    mesh.run(time::Duration::from_millis(2100));
    assert_eq!(health(&mut mesh, 5, 9), Some(view::Health::Suspect));
}
