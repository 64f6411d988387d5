//! Orders with an idempotency key while nodes are killed and paused, the network and the log fail,
//! and routes move to another service.

use std::time;

use bytes::Bytes;
use dandelionspool::bench::fleet;
use dandelionspool::bench::load;
use dandelionspool::proxy::headers;
use dandelionspool::standin::fault::rules;
use dandelionspool::standin::http;
use http_body_util::Full;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use serde_json::json;

use crate::support;

/// Number of upstreams of each of the two services.
const UPSTREAMS: usize = 3;
/// Number of hosts without an upstream.
const ENTRY_NODES: usize = 3;
/// Rate of new orders: with retries by callers more than 10,000 calls in all.
const ORDERS_PER_S: f64 = 350.0;
const LOAD_S: f64 = 30.0;
/// Offset from a host's base port of the port for calls from other nodes.
const INTERNODE_PORT_OFFSET: u16 = 2;
/// Offset of the port for callers.
const CALLER_PORT_OFFSET: u16 = 3;

fn plan() -> fleet::Plan {
    fleet::Plan::new(support::programs())
        .group(fleet::Group::new("shop", UPSTREAMS).mean_ms(4.0))
        .group(fleet::Group::new("desk", UPSTREAMS).mean_ms(4.0))
        .hosts(ENTRY_NODES)
        .faults()
}

/// Network fault of a turn: delay and loss everywhere, one host cut off, connections of other nodes
/// to one host that hang, or connections of one host's callers reset after some bytes.
fn rules(fleet: &fleet::Fleet, turn: usize) -> Vec<rules::Rule> {
    let to = vec![fleet.hosts()[turn * 7 % fleet.hosts().len()].base()];
    let faults = rules::Faults::default();
    let slow = rules::Faults { delay_ms: 2, jitter_ms: 20, loss: 0.1, twice: 0.1, ..faults };
    let rule = match turn % 4 {
        0 => rules::Rule { faults: slow, ..Default::default() },
        1 => {
            rules::Rule { to, faults: rules::Faults { cut: true, ..faults }, ..Default::default() }
        }
        2 => {
            let faults = rules::Faults { hang: true, ..faults };
            rules::Rule { to, ports: vec![INTERNODE_PORT_OFFSET], faults, ..Default::default() }
        }
        _ => {
            let faults = rules::Faults { cut_after: 30_000, ..faults };
            rules::Rule { to, ports: vec![CALLER_PORT_OFFSET], faults, ..Default::default() }
        }
    };
    vec![rule]
}

fn orders(fleet: &fleet::Fleet) -> load::Plan {
    let targets = fleet.hosts().iter().map(|host| host.id.call_addr()).collect();
    let orders = load::Flow::new("order", "POST", "/orders?bytes=2000", ORDERS_PER_S).body(300);
    load::Plan::new(targets)
        .flow(orders.keyed(0.2).tries(4, 150).deadline_ms(1500))
        .flow(load::Flow::new("browse", "GET", "/browse?bytes=20000", 40.0))
        .seconds(LOAD_S)
        .seed(11)
        .keep()
}

/// In each turn until `end`: kills and pauses a node, disturbs network and log, and publishes a
/// version. Leaves everything running, and returns the last version.
async fn cause_faults(fleet: &mut fleet::Fleet, mut version: u64, end: time::Instant) -> u64 {
    let mut rng = SmallRng::seed_from_u64(5);
    let count = fleet.hosts().len();
    let mut turn = 0;
    while time::Instant::now() < end {
        let (killed, paused) = (rng.random_range(0..count), rng.random_range(0..count));
        fleet.kill(killed, fleet::Part::Node).unwrap();
        if paused != killed {
            fleet.pause(paused, fleet::Part::Node).unwrap();
        }
        fleet.rules(&rules(fleet, turn)).await.unwrap();
        let outage = if turn % 2 == 0 { "none" } else { ["refuse", "hang"][turn / 2 % 2] };
        let faults = json!({ "lose_share": 0.2, "seed": turn, "outage": outage });
        fleet.log_faults(&faults).await.unwrap();
        tokio::time::sleep(time::Duration::from_millis(1200)).await;
        if paused != killed {
            fleet.resume(paused, fleet::Part::Node).unwrap();
        }
        fleet.restart(killed, fleet::Part::Node).unwrap();
        let faults = json!({ "lose_share": 0.2, "seed": turn });
        fleet.log_faults(&faults).await.unwrap();
        turn += 1;
        let next = support::configuration(turn % 2 == 1, turn as u64);
        version = support::publish(fleet, version, &next).await;
        tokio::time::sleep(time::Duration::from_millis(1000)).await;
    }
    fleet.log_faults(&json!({})).await.unwrap();
    fleet.rules(&[]).await.unwrap();
    version
}

#[tokio::test]
async fn a_keyed_order_runs_at_most_once_and_not_run_is_true_whatever_fails() {
    let (mut fleet, version) = support::start(plan()).await;
    support::until_serving(&fleet, "shop", UPSTREAMS as u64).await;
    let plan = orders(&fleet);
    let load = tokio::spawn(load::drive(plan));
    let end = time::Instant::now() + time::Duration::from_secs_f64(LOAD_S - 4.0);
    let last = cause_faults(&mut fleet, version, end).await;
    let tally = load.await.unwrap().unwrap();
    let records = support::records(&fleet).await;
    let (order, browse) = (&tally.counts[0], &tally.counts[1]);
    println!("orders: {:?} {:?} in {} tries", order.outcomes, order.reasons, order.tries);
    println!("browses: {:?} {:?}", browse.outcomes, browse.reasons);
    support::check_results(&tally.results, &records);
    assert!(order.tries >= 10_000, "{} tries", order.tries);
    assert!(order.of(load::Outcome::Served) >= 2000, "{:?}", order.outcomes);
    let hosts: Vec<usize> = (0..fleet.hosts().len()).collect();
    support::until_version(&fleet, &hosts, last).await;
}

/// Sends an order with the key `toaster` to the node of host `index`. Returns outcome and reason.
async fn order(fleet: &fleet::Fleet, index: usize, id: &str) -> (String, String) {
    let request = ::http::Request::post("/orders")
        .header(::http::header::HOST, "shop.example")
        .header(headers::REQUEST_ID, id)
        .header(headers::IDEMPOTENCY_KEY, "toaster")
        .body(Full::new(Bytes::from_static(b"a toaster")))
        .unwrap();
    let answer = http::send(fleet.hosts()[index].id.call_addr(), request, support::TIMEOUT).await;
    let answer = answer.unwrap();
    let text = |name| answer.headers().get(name).map(|v| v.to_str().unwrap().to_owned());
    (text(headers::OUTCOME).unwrap_or_default(), text(headers::REASON).unwrap_or_default())
}

/// Repeats the order while its outcome is that it did not run, since the log or an upstream may not
/// be known to the node yet. Returns the outcome.
async fn order_until_run(fleet: &fleet::Fleet, index: usize, id: &str) -> String {
    let deadline = time::Instant::now() + support::TIMEOUT;
    loop {
        let (outcome, reason) = order(fleet, index, id).await;
        if outcome != headers::NOT_RUN || time::Instant::now() > deadline {
            return outcome;
        }
        println!("not run: {reason}");
        tokio::time::sleep(time::Duration::from_millis(200)).await;
    }
}

#[tokio::test]
async fn a_repeat_does_not_run_again_after_its_route_has_moved_to_another_service() {
    let plan = fleet::Plan::new(support::programs())
        .group(fleet::Group::new("shop", 1).mean_ms(1.0))
        .group(fleet::Group::new("desk", 1).mean_ms(1.0))
        .hosts(1);
    let (fleet, version) = support::start(plan).await;
    assert_eq!(order_until_run(&fleet, 2, "r-1").await, headers::RAN);
    let version = support::publish(&fleet, version, &support::configuration(true, 1)).await;
    support::until_version(&fleet, &[0, 1, 2], version).await;
    support::until_serving(&fleet, "desk", 1).await;
    for (index, id) in [(2, "r-2"), (1, "r-3")] {
        println!("{}", order_until_run(&fleet, index, id).await);
    }
    let runs: u64 = support::records(&fleet).await.iter().map(|record| record.starts).sum();
    assert_eq!(runs, 1);
}
