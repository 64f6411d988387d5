//! Orders whose owner node or entry node is frozen, killed or cut off at the moments at which only
//! one end of the call knows what became of it.

use std::time;

use bytes::Bytes;
use dandelionspool::bench::fleet;
use dandelionspool::bench::fleet::Part;
use dandelionspool::proxy::headers;
use dandelionspool::standin::fault::rules;
use dandelionspool::standin::http;
use http_body_util::Full;
use serde_json::json;

use crate::support;

/// Hosts with an upstream, from index 0. The entry node follows them.
const UPSTREAMS: usize = 2;
const ENTRY: usize = UPSTREAMS;
/// Number of orders of each test.
const ROUNDS: usize = 4;
/// How long callers wait.
const DEADLINE: time::Duration = time::Duration::from_millis(900);
/// Time after which a message between two processes that run has arrived.
const ARRIVAL: time::Duration = time::Duration::from_millis(150);
/// Time after which nothing that was begun for an order can still be on its way.
const SETTLE: time::Duration = time::Duration::from_millis(800);

async fn start() -> fleet::Fleet {
    let shop = fleet::Group::new("shop", UPSTREAMS).mean_ms(5.0);
    let plan = fleet::Plan::new(support::programs()).group(shop).hosts(1).faults();
    let (fleet, _) = support::start(plan).await;
    support::until_serving(&fleet, "shop", UPSTREAMS as u64).await;
    fleet
}

type Answer = tokio::task::JoinHandle<Result<::http::Response<Bytes>, http::Error>>;

/// Sends an order that runs for `millis` to the entry node.
fn order(fleet: &fleet::Fleet, id: &str, millis: u64) -> Answer {
    let request = ::http::Request::post(format!("/orders?ms={millis}"))
        .header(::http::header::HOST, "shop.example")
        .header(headers::REQUEST_ID, id)
        .header(headers::DEADLINE, DEADLINE.as_millis().to_string())
        .body(Full::new(Bytes::from_static(b"a toaster")))
        .unwrap();
    let entry = fleet.hosts()[ENTRY].id.call_addr();
    tokio::spawn(async move { http::send(entry, request, support::TIMEOUT).await })
}

async fn outcome(answer: Answer) -> String {
    let answer = answer.await.unwrap().unwrap();
    answer.headers().get(headers::OUTCOME).unwrap().to_str().unwrap().to_owned()
}

/// Number of times that the order `id` was started, by upstream.
async fn starts(fleet: &fleet::Fleet, id: &str) -> Vec<u32> {
    let records = support::records(fleet).await;
    records.iter().map(|record| record.runs.get(id).map_or(0, |run| run.starts)).collect()
}

/// Number of calls that each upstream has rejected.
async fn sheds(fleet: &fleet::Fleet) -> Vec<u64> {
    support::records(fleet).await.iter().map(|record| record.sheds).collect()
}

async fn set_shed(fleet: &fleet::Fleet, share: f64) {
    for index in 0..UPSTREAMS {
        fleet.control(index, &json!({ "shed": share })).await.unwrap();
    }
}

/// Waits until the order `id` runs, and returns the index of its upstream.
async fn until_started(fleet: &fleet::Fleet, id: &str) -> usize {
    let deadline = time::Instant::now() + support::TIMEOUT;
    loop {
        let starts = starts(fleet, id).await;
        if let Some(index) = starts.iter().position(|starts| *starts > 0) {
            return index;
        }
        assert!(time::Instant::now() < deadline, "{id} was not started");
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

/// How the owner node is taken from a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    Frozen,
    Killed,
    CutOff,
}

impl Loss {
    async fn begin(self, fleet: &mut fleet::Fleet, owner: usize) {
        let cut = rules::Faults { cut: true, ..rules::Faults::default() };
        let to = vec![fleet.hosts()[owner].base()];
        let rule = rules::Rule { to, faults: cut, ..rules::Rule::default() };
        match self {
            Loss::Frozen => fleet.pause(owner, Part::Node).unwrap(),
            Loss::Killed => fleet.kill(owner, Part::Node).unwrap(),
            Loss::CutOff => fleet.rules(&[rule]).await.unwrap(),
        }
    }

    async fn end(self, fleet: &mut fleet::Fleet, owner: usize) {
        match self {
            Loss::Frozen => fleet.resume(owner, Part::Node).unwrap(),
            Loss::Killed => fleet.restart(owner, Part::Node).unwrap(),
            Loss::CutOff => fleet.rules(&[]).await.unwrap(),
        }
    }
}

/// The owner node is lost after it has sent an order to its upstream, and comes back after the
/// deadline: the order has run and must not run again.
async fn lose_running(loss: Loss) {
    let mut fleet = start().await;
    for round in 0..ROUNDS {
        let id = format!("running-{round}");
        let answer = order(&fleet, &id, 400);
        let owner = until_started(&fleet, &id).await;
        loss.begin(&mut fleet, owner).await;
        let outcome = outcome(answer).await;
        tokio::time::sleep(ARRIVAL).await;
        loss.end(&mut fleet, owner).await;
        tokio::time::sleep(SETTLE).await;
        let starts: u32 = starts(&fleet, &id).await.iter().sum();
        println!("{loss:?}: {id} at {owner}: {outcome}, {starts} starts");
        assert_eq!((outcome.as_str(), starts), (headers::UNKNOWN, 1));
        support::until_serving(&fleet, "shop", UPSTREAMS as u64).await;
    }
}

#[tokio::test]
async fn an_order_whose_owner_is_frozen_while_it_runs_does_not_run_again() {
    lose_running(Loss::Frozen).await;
}

#[tokio::test]
async fn an_order_whose_owner_is_killed_while_it_runs_does_not_run_again() {
    lose_running(Loss::Killed).await;
}

#[tokio::test]
async fn an_order_whose_owner_is_cut_off_while_it_runs_does_not_run_again() {
    lose_running(Loss::CutOff).await;
}

/// The owner nodes are frozen before they read an order, and go on after its deadline. Nothing is
/// promised, as they may start it then, and nobody else does.
#[tokio::test]
async fn an_order_that_its_owner_reads_after_the_deadline_runs_at_most_once() {
    let (mut fleet, mut unknown) = (start().await, 0);
    for round in 0..ROUNDS {
        // Opens the connections between the nodes.
        for number in 0..8 {
            let _ = outcome(order(&fleet, &format!("before-{round}-{number}"), 5)).await;
        }
        let id = format!("unread-{round}");
        for index in 0..UPSTREAMS {
            fleet.pause(index, Part::Node).unwrap();
        }
        let outcome = outcome(order(&fleet, &id, 5)).await;
        tokio::time::sleep(ARRIVAL).await;
        for index in 0..UPSTREAMS {
            fleet.resume(index, Part::Node).unwrap();
        }
        tokio::time::sleep(SETTLE).await;
        let starts: u32 = starts(&fleet, &id).await.iter().sum();
        println!("{id}: {outcome}, {starts} starts");
        match outcome.as_str() {
            headers::UNKNOWN => assert!(starts <= 1, "{starts} starts"),
            // There was no connection to the owner yet.
            headers::NOT_RUN => assert_eq!(starts, 0),
            _ => panic!("{id}: {outcome}"),
        }
        unknown += usize::from(outcome == headers::UNKNOWN);
        support::until_serving(&fleet, "shop", UPSTREAMS as u64).await;
    }
    assert!(unknown > 0, "no order was sent to a frozen owner");
}

/// The owner nodes are frozen before a connection to them is open, and go on later: an order that
/// was refused for that, or sent elsewhere, must not lie in the connection that opens then.
#[tokio::test]
async fn an_order_whose_owner_is_frozen_before_its_link_opens_starts_nothing_later() {
    for round in 0..ROUNDS {
        let mut fleet = start().await;
        let frozen = if round % 2 == 0 { 1 } else { UPSTREAMS };
        for index in 0..frozen {
            fleet.pause(index, Part::Node).unwrap();
        }
        let ids: Vec<_> = (0..8).map(|number| format!("order-{round}-{number}")).collect();
        let answers: Vec<_> = ids.iter().map(|id| order(&fleet, id, 5)).collect();
        let mut outcomes = Vec::new();
        for answer in answers {
            outcomes.push(outcome(answer).await);
        }
        for index in 0..frozen {
            fleet.resume(index, Part::Node).unwrap();
        }
        tokio::time::sleep(SETTLE).await;
        println!("{frozen} frozen: {outcomes:?}");
        for (id, outcome) in ids.iter().zip(outcomes) {
            let starts: u32 = starts(&fleet, id).await.iter().sum();
            assert_eq!(starts, u32::from(outcome == headers::RAN), "{id}: {outcome}");
            assert!(frozen == 1 || outcome == headers::NOT_RUN, "{id}: {outcome}");
        }
    }
}

/// Sends an order while the upstreams are frozen, runs `freeze`, and lets them reject it. Returns its
/// answer and the index of the upstream that rejected it. From then on they run what they receive.
async fn reject(
    fleet: &mut fleet::Fleet,
    id: &str,
    freeze: impl Fn(&mut fleet::Fleet),
) -> (Answer, usize) {
    set_shed(fleet, 1.0).await;
    let before = sheds(fleet).await;
    for index in 0..UPSTREAMS {
        fleet.pause(index, Part::Upstream).unwrap();
    }
    let answer = order(fleet, id, 5);
    tokio::time::sleep(ARRIVAL).await;
    freeze(fleet);
    for index in 0..UPSTREAMS {
        fleet.resume(index, Part::Upstream).unwrap();
    }
    let deadline = time::Instant::now() + support::TIMEOUT;
    let rejected = loop {
        let now = sheds(fleet).await;
        if let Some(index) = (0..UPSTREAMS).find(|index| now[*index] > before[*index]) {
            break index;
        }
        assert!(time::Instant::now() < deadline, "{id} was not rejected");
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    };
    set_shed(fleet, 0.0).await;
    (answer, rejected)
}

/// The owner nodes are frozen when an upstream rejects an order. One of them is lost, or goes on
/// after the deadline: the entry node has no word, so that it promises nothing and sends nothing.
async fn lose_rejected(loss: Loss) {
    let mut fleet = start().await;
    for round in 0..ROUNDS {
        let id = format!("rejected-{round}");
        let freeze = |fleet: &mut fleet::Fleet| {
            for index in 0..UPSTREAMS {
                fleet.pause(index, Part::Node).unwrap();
            }
        };
        let (answer, owner) = reject(&mut fleet, &id, freeze).await;
        if loss != Loss::Frozen {
            loss.begin(&mut fleet, owner).await;
        }
        for index in (0..UPSTREAMS).filter(|index| *index != owner) {
            fleet.resume(index, Part::Node).unwrap();
        }
        let outcome = outcome(answer).await;
        tokio::time::sleep(ARRIVAL).await;
        loss.end(&mut fleet, owner).await;
        if loss == Loss::CutOff {
            fleet.resume(owner, Part::Node).unwrap();
        }
        tokio::time::sleep(SETTLE).await;
        let starts: u32 = starts(&fleet, &id).await.iter().sum();
        println!("{loss:?}: {id} rejected at {owner}: {outcome}, {starts} starts");
        assert_eq!((outcome.as_str(), starts), (headers::UNKNOWN, 0));
        support::until_serving(&fleet, "shop", UPSTREAMS as u64).await;
    }
}

#[tokio::test]
async fn an_order_whose_owner_is_frozen_after_its_rejection_is_sent_nowhere_else() {
    lose_rejected(Loss::Frozen).await;
}

#[tokio::test]
async fn an_order_whose_owner_is_killed_after_its_rejection_is_sent_nowhere_else() {
    lose_rejected(Loss::Killed).await;
}

#[tokio::test]
async fn an_order_whose_owner_is_cut_off_after_its_rejection_is_sent_nowhere_else() {
    lose_rejected(Loss::CutOff).await;
}

/// The entry node is frozen when the owner node says "not run". If it goes on before the deadline, it
/// sends the order to the other upstream; after the deadline it must not.
#[tokio::test]
async fn an_entry_that_was_frozen_past_the_deadline_sends_no_order_again() {
    let mut fleet = start().await;
    for round in 0..2 * ROUNDS {
        let late = round % 2 == 1;
        let id = format!("frozen-{round}");
        let freeze = |fleet: &mut fleet::Fleet| fleet.pause(ENTRY, Part::Node).unwrap();
        let began = time::Instant::now();
        let (answer, owner) = reject(&mut fleet, &id, freeze).await;
        tokio::time::sleep(ARRIVAL).await;
        if late {
            tokio::time::sleep(DEADLINE + ARRIVAL - began.elapsed()).await;
        }
        fleet.resume(ENTRY, Part::Node).unwrap();
        let outcome = outcome(answer).await;
        tokio::time::sleep(SETTLE).await;
        let starts: u32 = starts(&fleet, &id).await.iter().sum();
        println!("late {late}: {id} rejected at {owner}: {outcome}, {starts} starts");
        if late {
            assert_ne!(outcome, headers::RAN);
            assert_eq!(starts, 0);
        } else {
            assert_eq!((outcome.as_str(), starts), (headers::RAN, 1));
        }
        support::until_serving(&fleet, "shop", UPSTREAMS as u64).await;
    }
}
