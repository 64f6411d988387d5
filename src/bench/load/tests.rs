//! Tests of the load generator: schedule, outcomes, and a run against an upstream in memory.

use std::collections;
use std::net;
use std::time;

use bytes::Bytes;
use rstest::rstest;

use crate::bench::load;
use crate::bench::load::arrivals;
use crate::bench::load::call;
use crate::bench::load::plan;
use crate::proxy::headers;
use crate::standin::upstream;
use crate::standin::upstream::faults;

fn closed_port() -> Vec<net::SocketAddr> {
    vec![net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 1))]
}

fn orders(rate: f64) -> load::Flow {
    load::Flow::new("order", "POST", "/order", rate).body(100).keyed(0.0)
}

async fn start(options: upstream::Options) -> upstream::Handle {
    let server = upstream::Server::bind(options).await.unwrap();
    let handle = server.handle();
    tokio::spawn(server.serve(std::future::pending()));
    handle
}

fn options() -> upstream::Options {
    let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    upstream::Options::new(address, "shop").slots(500).connections(500)
}

#[test]
fn arrivals_depend_on_the_seed_only_and_match_the_rate() {
    let plan = load::Plan::new(closed_port()).flow(orders(1000.0)).flow(orders(10.0)).seconds(20.0);
    let all: Vec<_> = arrivals::Arrivals::new(&plan, 0).collect();
    assert_eq!(all, arrivals::Arrivals::new(&plan, 0).collect::<Vec<_>>());
    assert_ne!(all, arrivals::Arrivals::new(&plan, 1).collect::<Vec<_>>());
    assert!(all.is_sorted_by_key(|a| a.at));
    assert!((19_000..21_500).contains(&all.len()), "{}", all.len());
    assert!(all.iter().filter(|a| a.flow == 1).count() > 100);
}

#[rstest]
#[case::no_target(load::Plan::default().flow(orders(1.0)), plan::PlanError::Targets)]
#[case::too_long(load::Plan::new(closed_port()).seconds(1e6), plan::PlanError::Seconds)]
#[case::too_many(load::Plan::new(closed_port()).flow(orders(1e9)), plan::PlanError::Calls)]
#[case::no_number(load::Plan::new(closed_port()).flow(orders(f64::NAN)), plan::PlanError::Calls)]
#[case::no_thread(load::Plan::new(closed_port()).threads(0), plan::PlanError::Threads)]
#[case::no_path(
    load::Plan::new(closed_port()).flow(load::Flow::new("x", "GET", "no path", 1.0)),
    plan::PlanError::Request
)]
fn an_invalid_plan_is_refused(#[case] plan: load::Plan, #[case] error: plan::PlanError) {
    assert_eq!(plan.check(), Err(error));
}

/// The complete response body for the request `id` with the body `request`.
fn complete_body(id: &str, request: &[u8]) -> Vec<u8> {
    let request = blake3::hash(request).to_hex().to_string();
    let head = serde_json::json!({ "id": id, "request": request, "bytes": 0 });
    let mut body = format!("{head}\n").into_bytes();
    let hash = blake3::hash(&body).to_hex();
    body.extend_from_slice(hash.as_bytes());
    body
}

#[rstest]
#[case::complete(headers::RAN, 200, complete_body("k.1", b"sent"), load::Outcome::Served)]
#[case::first_of_the_key(headers::RAN, 200, complete_body("k.2", b"sent"), load::Outcome::Served)]
#[case::other_key(headers::RAN, 200, complete_body("q.1", b"sent"), load::Outcome::Wrong)]
#[case::other_body(headers::RAN, 200, complete_body("k.1", b"else"), load::Outcome::Wrong)]
#[case::cut(headers::RAN, 200, complete_body("k.1", b"sent")[..90].to_vec(), load::Outcome::Wrong)]
#[case::failed(headers::RAN, 500, b"sorry".to_vec(), load::Outcome::Failed)]
#[case::refused(headers::NOT_RUN, 503, Vec::new(), load::Outcome::NotRun)]
#[case::unknown(headers::UNKNOWN, 502, Vec::new(), load::Outcome::Unknown)]
#[case::unnamed("", 502, Vec::new(), load::Outcome::Unnamed)]
#[case::direct("", 200, complete_body("k.1", b"sent"), load::Outcome::Served)]
fn the_outcome_follows_from_header_and_body(
    #[case] header: &str,
    #[case] status: u16,
    #[case] body: Vec<u8>,
    #[case] outcome: load::Outcome,
) {
    let flow = orders(1.0);
    let attempt = call::Try {
        flow: &flow,
        id: "k.1".into(),
        key: Some("k".into()),
        target: 0,
        since: time::Instant::now(),
    };
    let answer = http::Response::builder()
        .status(status)
        .header(headers::OUTCOME, header)
        .body(Bytes::from(body))
        .unwrap();
    assert_eq!(attempt.outcome(&answer, b"sent"), outcome);
}

#[tokio::test]
async fn the_results_of_callers_agree_with_the_record_of_the_upstream() {
    let upstream = start(options().mean(time::Duration::from_millis(1))).await;
    let plan = load::Plan::new(vec![upstream.address()])
        .flow(orders(300.0))
        .flow(load::Flow::new("page", "GET", "/page?bytes=20000", 300.0))
        .seconds(1.0)
        .threads(2)
        .keep();
    let tally = load::drive(plan).await.unwrap();
    let due: u64 = tally.counts.iter().map(|c| c.due).sum();
    assert_eq!(tally.of(load::Outcome::Served), due);
    let ids: collections::HashSet<_> = tally.results.iter().map(|t| t.id.clone()).collect();
    assert_eq!(ids.len() as u64, due);
    let record = upstream.record();
    assert!(ids.iter().all(|id| record.runs[id].starts == 1));
}

#[tokio::test]
async fn a_response_broken_off_never_counts_as_served() {
    let upstream = start(options()).await;
    upstream.control(&faults::Change { cut: Some(1.0), ..Default::default() });
    let flow = load::Flow::new("page", "GET", "/page?bytes=20000", 100.0);
    let plan = load::Plan::new(vec![upstream.address()]).flow(flow).seconds(0.5);
    let tally = load::drive(plan).await.unwrap();
    assert_eq!(tally.of(load::Outcome::Broken), tally.counts[0].due);
}

#[tokio::test]
async fn tries_are_limited_and_calls_beyond_the_limit_in_flight_are_dropped() {
    let flow = load::Flow::new("page", "GET", "/", 200.0).tries(3, 1);
    let plan = load::Plan::new(closed_port()).flow(flow.clone()).seconds(0.5);
    let tally = load::drive(plan).await.unwrap();
    assert_eq!(tally.of(load::Outcome::Connect), tally.counts[0].due);
    assert_eq!(tally.counts[0].tries, 3 * tally.counts[0].due);
    let none = load::Plan::new(closed_port()).flow(flow).seconds(0.5).max_in_flight(0);
    let tally = load::drive(none).await.unwrap();
    assert_eq!(tally.counts[0].dropped, tally.counts[0].due);
}

#[tokio::test]
async fn latency_counts_from_the_intended_start_of_each_call() {
    let upstream = start(options()).await;
    let flow = load::Flow::new("page", "GET", "/page?ms=400", 100.0);
    let plan = load::Plan::new(vec![upstream.address()]).flow(flow).seconds(0.5);
    let tally = load::drive(plan).await.unwrap();
    assert!(tally.counts[0].served.min() >= 400_000, "{}", tally.counts[0].served.min());
}
