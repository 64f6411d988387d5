//! A start of all hosts at once, as after a loss of power.

use std::time;

use dandelionspool::member;
use dandelionspool::member::directory;
use dandelionspool::view;
use rstest::rstest;

use crate::net;

/// Hosts that start.
const HOSTS: usize = 295;

/// What the directory holds of every host, from the life before.
fn listed() -> Vec<directory::Listed> {
    let profile = |index| {
        let settings = net::settings(index);
        directory::Profile {
            incarnation: 1,
            locality: view::Locality { region: settings.region, zone: settings.zone },
            upstream: Some(net::upstream(index, view::Phase::Serving)),
        }
    };
    let listed = |index| directory::Listed { host: net::id(index), profile: Some(profile(index)) };
    (0..HOSTS).map(listed).collect()
}

/// The hosts after they have started and looked into the directory.
fn started(seed: u64) -> net::Net {
    started_without(seed, &[])
}

/// The same where the hosts `gone` did not come back.
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

/// The least share of the upstreams that a host knows.
fn known(mesh: &mut net::Net) -> f64 {
    let upstreams = |view: &view::View| view.hosts.iter().filter(|h| h.upstream.is_some()).count();
    let least = mesh.views().iter().map(|(_, view)| upstreams(view)).min();
    least.unwrap_or(0) as f64 / HOSTS as f64
}

#[rstest]
#[case(1)]
#[case(2)]
fn hosts_that_all_start_at_once_know_every_upstream_after_their_first_look(#[case] seed: u64) {
    let mut mesh = started(seed);
    mesh.run(time::Duration::from_millis(100));
    assert_eq!(known(&mut mesh), 1.0);
}

#[rstest]
#[case(1)]
#[case(2)]
fn a_host_that_did_not_come_back_is_found_out(#[case] seed: u64) {
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
fn what_a_host_says_goes_before_what_is_listed(#[case] seed: u64) {
    let mut mesh = started(seed);
    let leaving = net::upstream(3, view::Phase::Draining);
    mesh.handle(3, member::Event::Local(Some(leaving.into())));
    let told = |mesh: &mut net::Net| {
        let phase = |host: &Option<view::Host>| {
            let upstream = host.as_ref().and_then(|h| h.upstream.as_ref());
            upstream.is_some_and(|u| u.phase == view::Phase::Draining)
        };
        mesh.seen(3).iter().all(phase)
    };
    let took = mesh.until(time::Duration::from_secs(2), told);
    assert!(took.is_some(), "seed {seed}");
    mesh.run(time::Duration::from_secs(1));
    for index in 0..HOSTS {
        mesh.handle(index, member::Event::Listed(listed()));
    }
    assert!(told(&mut mesh), "seed {seed}: what is listed came back");
}

#[rstest]
fn a_host_whose_clock_went_back_outlives_what_it_listed() {
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

/// What host `index` takes host `other` for.
fn health(mesh: &mut net::Net, index: usize, other: usize) -> Option<view::Health> {
    let view = mesh.hosts[index].member.as_mut()?.view();
    view.host(net::id(other)).map(|host| host.health)
}

#[rstest]
fn a_host_that_joins_counts_on_none_that_the_mesh_does_not_know() {
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
fn hosts_that_are_not_heard_from_come_into_doubt() {
    let mut mesh = started_without(1, &[9]);
    assert_eq!(health(&mut mesh, 5, 9), Some(view::Health::Alive));
    mesh.run(time::Duration::from_millis(2100));
    assert_eq!(health(&mut mesh, 5, 9), Some(view::Health::Suspect));
}
