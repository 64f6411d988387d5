//! Requests under which upstreams end, on the call path.

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

fn print(path: &str) -> Fingerprint {
    let printer = quarantine::Fingerprinter::new(&seal::Seal::new("calls", "secret"));
    printer.fingerprint("GET", "shop.test", path, Body::Complete(b""))
}

/// Has `node` know that `ends` upstreams ended under `path`, which is refused for it or not.
async fn tell(node: &rig::Node, path: &str, ends: u8, refused: bool) {
    let ban =
        quarantine::Entry { crashes: ends, lifted: false, last: clock::Instant::from_millis(1) };
    let bans = refused.then_some((print(path), ban)).into_iter().collect();
    let ends = collections::HashMap::from([(print(path), ends)]);
    node.quarantine
        .snapshot
        .send_replace(Arc::new(quarantine::Snapshot { entries: bans, crashes: ends }));
    tokio::time::sleep(time::Duration::from_millis(30)).await;
}

async fn browse(node: &rig::Node, path: &str, id: &str) -> rig::Answer {
    rig::call(node, rig::request("GET", path, id), b"").await
}

#[rstest]
#[case::its_entry(0)]
#[case::the_upstreams_own_node(1)]
fn whichever_node_knows_of_it_refuses_it(#[case] knows: usize) {
    rig::run(async move {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        tell(&nodes[knows], "/browse?bad", 3, true).await;
        let answer = browse(&nodes[0], "/browse?bad", "r1").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(answer.header("dandelionspool-reason"), "quarantined");
        let after: u64 = answer.header("retry-after").parse().unwrap();
        assert!((200..=600).contains(&after), "{after} s");
        assert!(fake.seen().is_empty());
        assert_eq!(browse(&nodes[0], "/browse?good", "r2").await.outcome(), "ran");
    });
}

#[rstest]
#[case::answered("200 OK", true)]
#[case::not_found("404 Not Found", true)]
#[case::failed("500 Internal Server Error", false)]
#[case::given_up_in_time("504 Gateway Timeout", false)]
fn an_answer_clears_a_request_of_which_something_is_known(
    #[case] status: &'static str,
    #[case] clears: bool,
) {
    rig::run(async move {
        let script = move |_: &fake::Seen| {
            let text = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok");
            vec![Step::Write(text.into_bytes())]
        };
        let fake = fake::Fake::start(script).await;
        let mut nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        tell(&nodes[0], "/browse?bad", 1, false).await;
        for (id, path) in [("r1", "/browse?good"), ("r2", "/browse?bad")] {
            assert_eq!(browse(&nodes[0], path, id).await.outcome(), "ran");
        }
        let report = nodes[0].quarantine.reports.try_recv().ok();
        assert_eq!(report, clears.then(|| Report::Answered(print("/browse?bad"))));
    });
}

#[test]
fn an_end_tells_what_ran_but_for_what_was_answered_a_moment_ago() {
    rig::run(async {
        let script = |seen: &fake::Seen| {
            if seen.header("x-request-id") == "first" { fake::echo(seen) } else { vec![Step::Gone] }
        };
        let fake = fake::Fake::start(script).await;
        let mut nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let first = browse(&nodes[0], "/browse?popular", "first").await;
        assert_eq!(first.outcome(), "ran");
        let crash = async {
            rig::until(|| fake.seen().len() == 4).await;
            drop(fake);
        };
        let (popular, bad, _, ()) = tokio::join!(
            browse(&nodes[0], "/browse?popular", "r1"),
            browse(&nodes[0], "/browse?bad", "r2"),
            browse(&nodes[0], "/browse?other", "r3"),
            crash
        );
        assert_eq!((popular.outcome(), bad.outcome()), ("unknown", "unknown"));
        let Some(Report::Crashed(mut prints)) = nodes[0].quarantine.reports.recv().await else {
            panic!("an end was to be told")
        };
        let mut wanted = [print("/browse?bad"), print("/browse?other")];
        prints.sort_unstable();
        wanted.sort_unstable();
        assert_eq!(prints, wanted);
    });
}

#[test]
fn two_requests_that_may_end_an_upstream_do_not_run_beside_each_other() {
    rig::run(async {
        let script = |seen: &fake::Seen| {
            let wait = Step::Wait(time::Duration::from_millis(200));
            [vec![wait], fake::echo(seen)].concat()
        };
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let ends =
            ["/browse?a", "/browse?b"].map(|path| (print(path), quarantine::SUSPICION_THRESHOLD));
        let known = quarantine::Snapshot { crashes: ends.into(), ..Default::default() };
        nodes[0].quarantine.snapshot.send_replace(Arc::new(known));
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
