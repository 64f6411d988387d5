//! Planned stops of nodes and upstreams under load.

use std::time;

use dandelionspool::bench::fleet;
use dandelionspool::bench::load;
use serde_json::json;

use crate::support;

const UPSTREAMS: usize = 4;
const ENTRY_NODES: usize = 3;
/// Longest time for which an upstream may receive new calls after the start of its drain.
const MAX_START_AFTER_DRAIN_MS: u64 = 2000;

fn plan() -> fleet::Plan {
    let shop = fleet::Group::new("shop", UPSTREAMS).mean_ms(20.0).grace_ms(6000);
    fleet::Plan::new(support::programs()).group(shop).hosts(ENTRY_NODES)
}

fn calls(fleet: &fleet::Fleet, seconds: f64) -> load::Plan {
    let entries = fleet.hosts().iter().filter(|host| host.group.is_none());
    load::Plan::new(entries.map(|host| host.id.call_addr()).collect())
        .flow(load::Flow::new("browse", "GET", "/browse?bytes=20000", 150.0).tries(8, 100))
        .flow(load::Flow::new("order", "POST", "/orders", 50.0).body(300).tries(8, 100))
        .seconds(seconds)
        .seed(3)
        .keep()
}

/// Checks that no try was cut off or left without an answer, and that callers who retry are served.
fn check_no_cut_off(tally: &load::Tally) {
    for count in &tally.counts {
        println!("{}: {:?} {:?}", count.name, count.outcomes, count.reasons);
    }
    let cut_off = tally.results.iter().find(|result| {
        !matches!(
            result.outcome,
            load::Outcome::Served | load::Outcome::NotRun | load::Outcome::Connect
        )
    });
    assert!(cut_off.is_none(), "{cut_off:?}");
    let served = tally.of(load::Outcome::Served);
    let due: u64 = tally.counts.iter().map(|count| count.due).sum();
    assert!(served * 100 >= due * 99, "{served} of {due} served");
}

#[tokio::test]
async fn a_planned_stop_of_a_node_cuts_no_call() {
    let (mut fleet, _) = support::start(plan()).await;
    support::until_serving(&fleet, "shop", UPSTREAMS as u64).await;
    let load = tokio::spawn(load::drive(calls(&fleet, 12.0)));
    let entry = UPSTREAMS;
    for stopped in [0, entry, 1] {
        tokio::time::sleep(time::Duration::from_secs(2)).await;
        fleet.terminate(stopped, fleet::Part::Node).unwrap();
        let code = fleet.wait_exit(stopped, fleet::Part::Node, support::TIMEOUT).await.unwrap();
        assert_eq!(code, Some(0));
        fleet.restart(stopped, fleet::Part::Node).unwrap();
    }
    let tally = load.await.unwrap().unwrap();
    let records = support::records(&fleet).await;
    support::check_results(&tally.results, &records);
    check_no_cut_off(&tally);
}

#[tokio::test]
async fn a_leaving_upstream_gets_no_new_work_after_two_seconds() {
    let (mut fleet, _) = support::start(plan()).await;
    support::until_serving(&fleet, "shop", UPSTREAMS as u64).await;
    let load = tokio::spawn(load::drive(calls(&fleet, 10.0)));
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    fleet.control(0, &json!({ "drain": true })).await.unwrap();
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    fleet.terminate(1, fleet::Part::Upstream).unwrap();
    let tally = load.await.unwrap().unwrap();
    let record = fleet.record(0).await.unwrap();
    let after = record.unix_ms.saturating_sub(record.drain_unix_ms.unwrap());
    assert!(record.starts > 0);
    assert!(after <= MAX_START_AFTER_DRAIN_MS, "new call {after} ms after the drain");
    let code = fleet.wait_exit(1, fleet::Part::Upstream, support::TIMEOUT).await.unwrap();
    assert_eq!(code, Some(0));
    check_no_cut_off(&tally);
}
