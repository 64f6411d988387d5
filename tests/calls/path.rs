//! The complete path of a call, and refusals on it.

use rstest::rstest;

use crate::fake;
use crate::rig;

#[test]
fn a_call_crosses_two_nodes_and_comes_back_whole() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let answer = rig::call(&nodes[0], rig::request("GET", "/browse/1?a=b", "r1"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (200, "ran"));
        assert_eq!(answer.text(), "answer to r1");
        assert_eq!(fake.runs("r1"), 1);
        let request = &fake.requests()[0];
        assert!(request.head.starts_with("GET /browse/1?a=b HTTP/1.1\r\n"), "{}", request.head);
        assert_eq!(request.header("host"), "shop.test");
        assert_eq!(request.header("dandelionspool-attempt"), "1");
        assert_eq!(request.header("dandelionspool-depth"), "1");
        assert!(request.header("dandelionspool-deadline-ms").parse::<u64>().unwrap() <= 5000);
    });
}

#[test]
fn the_hop_is_skipped_when_the_entry_has_the_upstream() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let answer = rig::call(&nodes[0], rig::request("POST", "/orders", "r1"), b"two").await;
        assert_eq!((answer.status, answer.outcome()), (200, "ran"));
        assert_eq!((answer.text(), fake.requests()[0].body), ("answer to r1", 3));
    });
}

#[rstest]
#[case::no_route("GET", "/nowhere", 404, "no-route")]
#[case::wrong_method("DELETE", "/orders", 404, "no-route")]
#[case::not_normal("GET", "/browse/../orders", 404, "no-route")]
fn what_no_route_matches_is_refused(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let answer = rig::call(&nodes[0], rig::request(method, path, "r1"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (status, "not-run"));
        assert_eq!(answer.header("dandelionspool-reason"), reason);
        assert!(fake.requests().is_empty());
    });
}

#[test]
fn without_an_upstream_a_call_is_refused_with_a_retry_delay() {
    rig::run(async {
        let nodes = rig::nodes(&[None], &rig::Claims::default()).await;
        let answer = rig::call(&nodes[0], rig::request("GET", "/browse", "r1"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(answer.header("dandelionspool-reason"), "no-upstream");
        assert_eq!(answer.header("retry-after"), "1");
    });
}
