//! Calls with an idempotency key: they run once, and duplicates get the held answer.

use std::time;

use dandelionspool::claim;

use crate::fake;
use crate::fake::Step;
use crate::rig;

fn order(id: &str, key: &str) -> http::request::Builder {
    rig::request("POST", "/orders", id).header("idempotency-key", key)
}

/// Answers each call after 100 ms.
fn slow_echo(request: &fake::Request) -> Vec<Step> {
    [vec![Step::Wait(time::Duration::from_millis(100))], fake::echo(request)].concat()
}

#[test]
fn a_duplicate_gets_the_first_answer_at_any_entry() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address), None], &rig::Claims::default()).await;
        let first = rig::call(&nodes[0], order("r1", "k1"), b"ten books").await;
        assert_eq!((first.outcome(), first.text()), ("ran", "answer to r1"));
        for entry in &nodes {
            let again = rig::call(entry, order("r2", "k1"), b"ten books").await;
            assert_eq!((again.status, again.outcome()), (200, "ran"));
            assert_eq!((again.text(), again.header("x-request-id")), ("answer to r1", "r2"));
            assert_eq!(again.header("dandelionspool-answer"), "held");
        }
        assert_eq!(fake.requests().len(), 1);
        let other = rig::call(&nodes[2], order("r3", "k2"), b"ten books").await;
        assert_eq!((other.text(), fake.requests().len()), ("answer to r3", 2));
    });
}

#[test]
fn duplicates_of_a_call_in_flight_wait_for_its_answer() {
    rig::run(async {
        let fake = fake::Fake::start(slow_echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address), None], &rig::Claims::default()).await;
        let calls = (0..12).map(|number| {
            let node = &nodes[number % 3];
            rig::call(node, order(&format!("r{number}"), "k1"), b"")
        });
        let answers = futures_util::future::join_all(calls).await;
        let text = answers[0].text();
        assert!(answers.iter().all(|a| a.outcome() == "ran" && a.text() == text), "{answers:?}");
        assert_eq!(fake.requests().len(), 1);
    });
}

#[test]
fn a_duplicate_of_a_call_whose_answer_is_not_held_gets_a_typed_conflict() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let claims = rig::Claims::default();
        let nodes = rig::nodes(&[Some(fake.address), None], &claims).await;
        rig::call(&nodes[0], order("r1", "k1"), b"").await;
        // The claim now names an entry node that does not hold the answer.
        let elsewhere = claim::Attempt { host: nodes[1].id, incarnation: 1, number: 7 };
        claims.first.borrow_mut().values_mut().for_each(|a| *a = elsewhere);
        for entry in &nodes {
            let again = rig::call(entry, order("r2", "k1"), b"").await;
            assert_eq!((again.status, again.outcome()), (409, "unknown"));
            assert_eq!(again.header("dandelionspool-reason"), "conflict");
            assert_eq!(again.header("retry-after"), "");
        }
        assert_eq!(fake.requests().len(), 1);
    });
}

#[test]
fn another_request_with_the_same_key_does_not_get_the_first_answer() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[Some(fake.address), None], &rig::Claims::default()).await;
        rig::call(&nodes[0], order("r1", "k1"), b"ten books").await;
        for entry in &nodes {
            let other = rig::call(entry, order("r2", "k1"), b"two books").await;
            assert_eq!((other.status, other.outcome()), (409, "unknown"));
        }
        assert_eq!(fake.requests().len(), 1);
    });
}

#[test]
fn a_caller_that_left_gets_the_answer_when_it_retries() {
    rig::run(async {
        let fake = fake::Fake::start(slow_echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let left = rig::call(&nodes[0], order("r1", "k1"), b"");
        tokio::select! {
            _ = left => panic!("answered before the caller left"),
            () = rig::until(|| fake.runs("r1") == 1) => {}
        }
        let again = rig::call(&nodes[0], order("r2", "k1"), b"").await;
        assert_eq!((again.outcome(), again.text()), ("ran", "answer to r1"));
        assert_eq!(fake.requests().len(), 1);
    });
}

#[test]
fn without_claims_a_keyed_call_is_refused_at_once_and_others_run() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let claims = rig::Claims::default();
        let retry_after = time::Duration::from_millis(2500);
        *claims.error.borrow_mut() = Some(claim::Error::Unavailable { retry_after });
        let nodes = rig::nodes(&[Some(fake.address)], &claims).await;
        let answer = rig::call(&nodes[0], order("r1", "k1"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(answer.header("dandelionspool-reason"), "log-down");
        assert_eq!(answer.header("retry-after"), "3");
        assert!(fake.requests().is_empty());
        let plain = rig::call(&nodes[0], rig::request("POST", "/orders", "r2"), b"").await;
        assert_eq!(plain.outcome(), "ran");
        // An idempotent call needs no claim, with or without a key.
        let browse = rig::request("GET", "/browse", "r3").header("idempotency-key", "k1");
        assert_eq!(rig::call(&nodes[0], browse, b"").await.outcome(), "ran");
    });
}

#[test]
fn a_call_proven_not_to_have_run_releases_its_key() {
    rig::run(async {
        let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let claims = rig::Claims::default();
        let nodes = rig::nodes(&[Some(dead)], &claims).await;
        let answer = rig::call(&nodes[0], order("r1", "k1"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(claims.released.borrow().len(), 1);
        assert!(claims.first.borrow().is_empty());
    });
}

#[test]
fn a_call_that_may_have_run_keeps_its_key() {
    rig::run(async {
        let fake = fake::Fake::start(|_| vec![Step::Close]).await;
        let claims = rig::Claims::default();
        let nodes = rig::nodes(&[Some(fake.address)], &claims).await;
        let answer = rig::call(&nodes[0], order("r1", "k1"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
        let again = rig::call(&nodes[0], order("r2", "k1"), b"").await;
        assert_eq!((again.status, again.outcome()), (409, "unknown"));
        assert_eq!((fake.requests().len(), claims.released.borrow().len()), (1, 0));
    });
}

#[test]
fn answers_are_held_in_bounded_number() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let claims = rig::Claims::default();
        let change = |mut settings: dandelionspool::configs::Node| {
            settings.proxy.held_count = 2;
            settings
        };
        let nodes = rig::nodes_with(&[Some(fake.address)], 4, &claims, change).await;
        for key in ["k1", "k2", "k3"] {
            assert_eq!(rig::call(&nodes[0], order(key, key), b"").await.outcome(), "ran");
        }
        assert_eq!(rig::call(&nodes[0], order("r", "k1"), b"").await.status, 409);
        assert_eq!(rig::call(&nodes[0], order("r", "k2"), b"").await.status, 200);
        assert_eq!(rig::call(&nodes[0], order("r", "k3"), b"").await.status, 200);
        assert_eq!(fake.requests().len(), 3);
    });
}
