//! The quarantine on the call path: requests that crash upstreams.

use std::collections;
use std::sync::Arc;
use std::time;

use dandelionspool::clock;
use dandelionspool::quarantine;
use dandelionspool::quarantine::{Body, Fingerprint, Report};
use dandelionspool::seal;
use rstest::rstest;

use crate::fake;
use crate::fake::Step;
use crate::rig;

fn fingerprint(path: &str) -> Fingerprint {
    let fingerprinter = quarantine::Fingerprinter::new(&seal::Seal::new("calls", "secret"));
    fingerprinter.fingerprint("GET", "shop.test", path, Body::Complete(b""))
}

/// Publishes to `node` that `crashes` upstreams crashed while a request for `path` ran, and that
/// the request is quarantined, if it is `refused`.
async fn publish(node: &rig::Node, path: &str, crashes: u8, refused: bool) {
    let entry = quarantine::Entry { crashes, lifted: false, last: clock::Instant::from_millis(1) };
    let entries = refused.then_some((fingerprint(path), entry)).into_iter().collect();
    let crashes = collections::HashMap::from([(fingerprint(path), crashes)]);
    node.quarantine.snapshot.send_replace(Arc::new(quarantine::Snapshot { entries, crashes }));
    tokio::time::sleep(time::Duration::from_millis(30)).await;
}

async fn browse(node: &rig::Node, path: &str, id: &str) -> rig::Answer {
    rig::call(node, rig::request("GET", path, id), b"").await
}

#[rstest]
#[case::entry_node(0)]
#[case::owner_node(1)]
fn either_node_refuses_a_quarantined_request(#[case] informed: usize) {
    rig::run(async move {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        publish(&nodes[informed], "/browse?bad", 3, true).await;
        let answer = browse(&nodes[0], "/browse?bad", "r1").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(answer.header("dandelionspool-reason"), "quarantined");
        let after: u64 = answer.header("retry-after").parse().unwrap();
        assert!((200..=600).contains(&after), "{after} s");
        assert!(fake.requests().is_empty());
        assert_eq!(browse(&nodes[0], "/browse?good", "r2").await.outcome(), "ran");
    });
}

#[rstest]
#[case::answered("200 OK", true)]
#[case::not_found("404 Not Found", true)]
#[case::failed("500 Internal Server Error", false)]
#[case::timed_out("504 Gateway Timeout", false)]
fn an_answer_to_a_suspected_request_is_reported_unless_it_failed(
    #[case] status: &'static str,
    #[case] reported: bool,
) {
    rig::run(async move {
        let script = move |_: &fake::Request| {
            let text = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok");
            vec![Step::Write(text.into_bytes())]
        };
        let fake = fake::Fake::start(script).await;
        let mut nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        publish(&nodes[0], "/browse?bad", 1, false).await;
        for (id, path) in [("r1", "/browse?good"), ("r2", "/browse?bad")] {
            assert_eq!(browse(&nodes[0], path, id).await.outcome(), "ran");
        }
        let report = nodes[0].quarantine.reports.try_recv().ok();
        assert_eq!(report, reported.then(|| Report::Answered(fingerprint("/browse?bad"))));
    });
}

#[test]
fn a_crash_report_leaves_out_requests_that_were_answered_shortly_before() {
    rig::run(async {
        let script = |request: &fake::Request| {
            if request.header("x-request-id") == "first" {
                fake::echo(request)
            } else {
                vec![Step::AwaitClose]
            }
        };
        let fake = fake::Fake::start(script).await;
        let mut nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let first = browse(&nodes[0], "/browse?popular", "first").await;
        assert_eq!(first.outcome(), "ran");
        let crash = async {
            rig::until(|| fake.requests().len() == 4).await;
            drop(fake);
        };
        let (popular, bad, _, ()) = tokio::join!(
            browse(&nodes[0], "/browse?popular", "r1"),
            browse(&nodes[0], "/browse?bad", "r2"),
            browse(&nodes[0], "/browse?other", "r3"),
            crash
        );
        assert_eq!((popular.outcome(), bad.outcome()), ("unknown", "unknown"));
        let Some(Report::Crashed(mut fingerprints)) = nodes[0].quarantine.reports.recv().await
        else {
            panic!("expected the report of a crash")
        };
        let mut wanted = [fingerprint("/browse?bad"), fingerprint("/browse?other")];
        fingerprints.sort_unstable();
        wanted.sort_unstable();
        assert_eq!(fingerprints, wanted);
    });
}

#[test]
fn two_suspected_requests_do_not_run_concurrently() {
    rig::run(async {
        let script = |request: &fake::Request| {
            let wait = Step::Wait(time::Duration::from_millis(200));
            [vec![wait], fake::echo(request)].concat()
        };
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let crashes = ["/browse?a", "/browse?b"]
            .map(|path| (fingerprint(path), quarantine::SUSPICION_THRESHOLD));
        let snapshot = quarantine::Snapshot { crashes: crashes.into(), ..Default::default() };
        nodes[0].quarantine.snapshot.send_replace(Arc::new(snapshot));
        tokio::time::sleep(time::Duration::from_millis(30)).await;
        let later = async {
            rig::until(|| fake.runs("a") == 1).await;
            let (b, c) = tokio::join!(
                browse(&nodes[0], "/browse?b", "b"),
                browse(&nodes[0], "/browse?c", "c")
            );
            assert_eq!((b.outcome(), b.header("dandelionspool-reason")), ("not-run", "full"));
            assert_eq!(c.outcome(), "ran");
        };
        let (a, ()) = tokio::join!(browse(&nodes[0], "/browse?a", "a"), later);
        assert_eq!((a.outcome(), fake.runs("b")), ("ran", 0));
    });
}
