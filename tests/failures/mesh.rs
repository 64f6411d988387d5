//! Versions that nodes run while nodes are killed and paused, hosts join and the log is down.

use std::collections;
use std::time;

use dandelionspool::bench::fleet;
use dandelionspool::standin::fault::rules;
use serde_json::json;

use crate::support;

const HOSTS: usize = 12;

fn plan() -> fleet::Plan {
    fleet::Plan::new(support::programs()).hosts(HOSTS)
}

/// Last version that each host reported; a lower one fails the test.
#[derive(Debug, Default)]
struct Versions(collections::HashMap<usize, u64>);

impl Versions {
    async fn check(&mut self, fleet: &fleet::Fleet, paused: Option<usize>) {
        for index in (0..fleet.hosts().len()).filter(|index| Some(*index) != paused) {
            // 0 means no version: a node that has just started runs none yet.
            let Some(now) = support::version(fleet, index).await.filter(|now| *now > 0) else {
                continue;
            };
            let before = self.0.insert(index, now).unwrap_or(0);
            assert!(now >= before, "host {index} went back from {before} to {now}");
        }
    }

    async fn watch(&mut self, fleet: &fleet::Fleet, paused: Option<usize>, millis: u64) {
        let end = time::Instant::now() + time::Duration::from_millis(millis);
        while time::Instant::now() < end {
            self.check(fleet, paused).await;
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn versions_never_go_back_while_nodes_are_killed_and_paused_and_datagrams_lost() {
    let (mut fleet, mut version) = support::start(plan().faults()).await;
    let bad = rules::Faults { jitter_ms: 30, loss: 0.2, twice: 0.1, ..Default::default() };
    fleet.rules(&[rules::Rule { faults: bad, ..Default::default() }]).await.unwrap();
    let mut versions = Versions::default();
    for turn in 1..=10 {
        let (killed, paused) = (turn % HOSTS, (turn * 5 + 3) % HOSTS);
        fleet.kill(killed, fleet::Part::Node).unwrap();
        if paused != killed {
            fleet.pause(paused, fleet::Part::Node).unwrap();
        }
        for step in 0..2 {
            let next = support::configuration(step == 1, (turn * 2 + step) as u64);
            version = support::publish(&fleet, version, &next).await;
        }
        fleet.restart(killed, fleet::Part::Node).unwrap();
        versions.watch(&fleet, Some(paused), 600).await;
        if paused != killed {
            fleet.resume(paused, fleet::Part::Node).unwrap();
        }
        versions.watch(&fleet, None, 300).await;
    }
    let hosts: Vec<usize> = (0..HOSTS).collect();
    support::until_version(&fleet, &hosts, version).await;
    versions.check(&fleet, None).await;
}

#[tokio::test]
async fn a_third_restarts_and_a_new_host_joins_while_the_log_is_down() {
    let (mut fleet, version) = support::start(plan()).await;
    let version = support::publish(&fleet, version, &support::configuration(true, 1)).await;
    let all: Vec<usize> = (0..HOSTS).collect();
    support::until_version(&fleet, &all, version).await;
    fleet.log_faults(&json!({ "outage": "close" })).await.unwrap();
    let third: Vec<usize> = all.iter().copied().filter(|index| index % 3 == 0).collect();
    for index in &third {
        fleet.kill(*index, fleet::Part::Node).unwrap();
    }
    for index in &third {
        fleet.restart(*index, fleet::Part::Node).unwrap();
    }
    let added = fleet.add_host().unwrap();
    fleet.wait_ready(support::TIMEOUT).await.unwrap();
    let all: Vec<usize> = (0..=added).collect();
    support::until_version(&fleet, &all, version).await;
    fleet.log_faults(&json!({})).await.unwrap();
    let version = support::publish(&fleet, version, &support::configuration(false, 2)).await;
    support::until_version(&fleet, &all, version).await;
}
