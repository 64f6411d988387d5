//! Keyed orders while nodes are killed and paused, network and log fail, and routes move.

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

use crate::bed;

/// Upstreams of each of the two services.
const UPSTREAMS: usize = 3;
/// Hosts without an upstream.
const ENTRIES: usize = 3;
/// Calls a second; with repeats by callers more than 10,000 in all.
const RATE: f64 = 350.0;
const SECONDS: f64 = 30.0;
/// Ports of a host, counted from its base port.
const INNER: u16 = 2;
const CALLS: u16 = 3;

fn plan() -> fleet::Plan {
    fleet::Plan::new(bed::programs())
        .group(fleet::Group::new("shop", UPSTREAMS).mean_ms(4.0))
        .group(fleet::Group::new("desk", UPSTREAMS).mean_ms(4.0))
        .hosts(ENTRIES)
        .faults()
}

/// What goes wrong on the network in this turn: everything a little, one host cut off, one host
/// half-open for other nodes, or answers to the callers of one host cut short.
fn rules(fleet: &fleet::Fleet, turn: usize) -> Vec<rules::Rule> {
    let to = vec![fleet.hosts()[turn * 7 % fleet.hosts().len()].base()];
    let faults = rules::Faults::default();
    let slow = rules::Faults { delay_ms: 2, jitter_ms: 20, loss: 0.1, twice: 0.1, ..faults };
    let one = match turn % 4 {
        0 => rules::Rule { faults: slow, ..Default::default() },
        1 => {
            rules::Rule { to, faults: rules::Faults { cut: true, ..faults }, ..Default::default() }
        }
        2 => {
            let faults = rules::Faults { hang: true, ..faults };
            rules::Rule { to, ports: vec![INNER], faults, ..Default::default() }
        }
        _ => {
            let faults = rules::Faults { cut_after: 30_000, ..faults };
            rules::Rule { to, ports: vec![CALLS], faults, ..Default::default() }
        }
    };
    vec![one]
}

fn orders(fleet: &fleet::Fleet) -> load::Plan {
    let targets = fleet.hosts().iter().map(|host| host.id.call_addr()).collect();
    let orders = load::Flow::new("order", "POST", "/orders?bytes=2000", RATE).body(300);
    load::Plan::new(targets)
        .flow(orders.keyed(0.2).tries(4, 150).deadline_ms(1500))
        .flow(load::Flow::new("browse", "GET", "/browse?bytes=20000", 40.0))
        .seconds(SECONDS)
        .seed(11)
        .keep()
}

/// Kills, pauses, cuts, fails and publishes in turn until `end`; leaves everything running.
async fn trouble(fleet: &mut fleet::Fleet, mut version: u64, end: time::Instant) -> u64 {
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
        let next = bed::configuration(turn % 2 == 1, turn as u64);
        version = bed::publish(fleet, version, &next).await;
        tokio::time::sleep(time::Duration::from_millis(1000)).await;
    }
    fleet.log_faults(&json!({})).await.unwrap();
    fleet.rules(&[]).await.unwrap();
    version
}

#[tokio::test]
async fn a_keyed_order_runs_at_most_once_and_not_run_is_true_whatever_fails() {
    let (mut fleet, version) = bed::start(plan()).await;
    bed::until_serving(&fleet, "shop", UPSTREAMS as u64).await;
    let plan = orders(&fleet);
    let load = tokio::spawn(load::drive(plan));
    let end = time::Instant::now() + time::Duration::from_secs_f64(SECONDS - 4.0);
    let last = trouble(&mut fleet, version, end).await;
    let tally = load.await.unwrap().unwrap();
    let records = bed::records(&fleet).await;
    let (order, browse) = (&tally.counts[0], &tally.counts[1]);
    println!("orders: {:?} {:?} in {} tries", order.outcomes, order.reasons, order.tries);
    println!("browses: {:?} {:?}", browse.outcomes, browse.reasons);
    bed::check_truth(&tally.results, &records);
    assert!(order.tries >= 10_000, "{} tries", order.tries);
    assert!(order.of(load::Outcome::Served) >= 2000, "{:?}", order.outcomes);
    let hosts: Vec<usize> = (0..fleet.hosts().len()).collect();
    bed::until_version(&fleet, &hosts, last).await;
}

/// Sends an order with the key `toaster` through the host's node; gives outcome and reason.
async fn order(fleet: &fleet::Fleet, index: usize, id: &str) -> (String, String) {
    let request = ::http::Request::post("/orders")
        .header(::http::header::HOST, "shop.example")
        .header(headers::REQUEST_ID, id)
        .header(headers::IDEMPOTENCY_KEY, "toaster")
        .body(Full::new(Bytes::from_static(b"a toaster")))
        .unwrap();
    let answer = http::send(fleet.hosts()[index].id.call_addr(), request, bed::LIMIT).await;
    let answer = answer.unwrap();
    let text = |name| answer.headers().get(name).map(|v| v.to_str().unwrap().to_owned());
    (text(headers::OUTCOME).unwrap_or_default(), text(headers::REASON).unwrap_or_default())
}

/// Sends the order until it is not refused for want of a log or upstream that is not yet known.
async fn order_until_told(fleet: &fleet::Fleet, index: usize, id: &str) -> String {
    let end = time::Instant::now() + bed::LIMIT;
    loop {
        let (outcome, reason) = order(fleet, index, id).await;
        if outcome != headers::NOT_RUN || time::Instant::now() > end {
            return outcome;
        }
        println!("not run: {reason}");
        tokio::time::sleep(time::Duration::from_millis(200)).await;
    }
}

#[tokio::test]
async fn a_repeat_does_not_run_again_after_its_route_has_moved_to_another_service() {
    let plan = fleet::Plan::new(bed::programs())
        .group(fleet::Group::new("shop", 1).mean_ms(1.0))
        .group(fleet::Group::new("desk", 1).mean_ms(1.0))
        .hosts(1);
    let (fleet, version) = bed::start(plan).await;
    assert_eq!(order_until_told(&fleet, 2, "r-1").await, headers::RAN);
    let version = bed::publish(&fleet, version, &bed::configuration(true, 1)).await;
    bed::until_version(&fleet, &[0, 1, 2], version).await;
    bed::until_serving(&fleet, "desk", 1).await;
    for (index, id) in [(2, "r-2"), (1, "r-3")] {
        println!("{}", order_until_told(&fleet, index, id).await);
    }
    let runs: u64 = bed::records(&fleet).await.iter().map(|record| record.starts).sum();
    assert_eq!(runs, 1);
}
