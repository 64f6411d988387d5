//! Tests of reports on the whole mesh.

use std::collections;
use std::net;
use std::time;

use smol_str::SmolStr;

use crate::admin::{mesh_status, scatter, status};
use crate::host;
use crate::logs::reachability;

fn host(n: u8) -> host::HostId {
    host::HostId::new(net::SocketAddr::from(([10, 0, 0, n], 7100)))
}

fn answer(n: u8, zone: &str, version: u64, applied: u64) -> status::Status {
    status::Status {
        host: SmolStr::from(host(n).to_string()),
        region: "north".into(),
        zone: zone.into(),
        incarnation: 1,
        ready: true,
        version,
        digest: format!("{version:032x}"),
        applied_unix_ms: Some(applied),
        log: reachability::Reachability::Unasked,
        local: None,
        members: status::Members::default(),
        upstreams: collections::BTreeMap::new(),
        overload: None,
        traffic: collections::BTreeMap::new(),
    }
}

#[test]
fn versions_are_counted_by_zone_and_nodes_behind_are_listed() {
    let answers = [answer(1, "a", 7, 1500), answer(2, "a", 5, 900), answer(3, "b", 7, 1400)];
    let mesh = mesh_status::combine(&answers, Vec::new(), 2000);
    assert!(mesh.coverage.complete);
    assert_eq!((mesh.newest, mesh.newest_unix_ms, mesh.behind), (7, Some(1400), 1));
    assert_eq!(mesh.behind_hosts[0].host, "10.0.0.2:7100");
    assert_eq!(mesh.behind_hosts[0].behind_ms, 600);
    let running: Vec<_> = mesh.running.iter().map(|r| (&*r.zone, r.version, r.nodes)).collect();
    assert_eq!(running, [("a", 5, 1), ("a", 7, 1), ("b", 7, 1)]);
}

#[test]
fn a_partial_report_lists_the_missing_hosts() {
    let answers = [answer(1, "a", 7, 1500)];
    let mesh = mesh_status::combine(&answers, vec!["10.0.0.2:7100".into()], 2000);
    assert_eq!(
        (mesh.coverage.answered, mesh.coverage.hosts, mesh.coverage.complete),
        (1, 2, false)
    );
    assert_eq!(mesh.coverage.missing, ["10.0.0.2:7100"]);
}

#[test]
fn the_longest_outage_of_the_log_is_reported() {
    let mut answers = [answer(1, "a", 7, 0), answer(2, "a", 7, 0), answer(3, "a", 7, 0)];
    answers[0].log = reachability::Reachability::Fails { since_unix_ms: 800 };
    answers[1].log = reachability::Reachability::Fails { since_unix_ms: 700 };
    let log = mesh_status::combine(&answers, Vec::new(), 2000).log;
    assert_eq!((log.answers, log.fails, log.unasked), (0, 2, 1));
    assert_eq!(log.fails_since_unix_ms, Some(700));
}

#[tokio::test(start_paused = true)]
async fn failing_and_hanging_hosts_are_missing_and_concurrency_is_limited() {
    let hosts: Vec<_> = (0..100).map(host).collect();
    let limits = scatter::Limits { concurrency: 10, timeout: time::Duration::from_secs(5) };
    let running = std::cell::Cell::new(0usize);
    let peak = std::cell::Cell::new(0usize);
    let gathered = scatter::gather(&hosts, limits, |host| {
        let (running, peak) = (&running, &peak);
        async move {
            running.set(running.get() + 1);
            peak.set(peak.get().max(running.get()));
            tokio::time::sleep(time::Duration::from_millis(10)).await;
            let address = host.member_addr().to_string();
            if address.starts_with("10.0.0.7:") {
                tokio::time::sleep(time::Duration::from_secs(60)).await;
            }
            running.set(running.get() - 1);
            if address.starts_with("10.0.0.8:") { Err(()) } else { Ok(host) }
        }
    })
    .await;
    assert_eq!(gathered.missing, [host(7), host(8)]);
    assert_eq!(gathered.answers.len(), 98);
    assert_eq!(peak.get(), 10);
}

#[test]
fn reachability_keeps_the_start_of_an_outage() {
    let mut reachability = reachability::Reachability::Unasked;
    for (success, at) in [(true, 1), (true, 2), (false, 3), (false, 4)] {
        reachability = reachability.after(success, at);
    }
    assert_eq!(reachability, reachability::Reachability::Fails { since_unix_ms: 3 });
}
