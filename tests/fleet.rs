//! Tests of the fleet of real processes: start, signals, exits and faults.

use std::path;
use std::time;

use dandelionspool::bench::fleet;
use dandelionspool::standin::fault::rules;
use dandelionspool::standin::http;
use dandelionspool::standin::upstream::answer;
use rstest::rstest;

const TIMEOUT: time::Duration = time::Duration::from_secs(20);

fn programs() -> fleet::Programs {
    fleet::Programs {
        node: path::PathBuf::from(env!("CARGO_BIN_EXE_dandelionspool")),
        bench: path::PathBuf::from(env!("CARGO_BIN_EXE_dandelionspool-bench")),
    }
}

/// A plan for two upstreams without nodes.
fn plan() -> fleet::Plan {
    let group = fleet::Group::new("shop", 2).mean_ms(1.0).grace_ms(50);
    fleet::Plan::new(programs()).nodes(false).group(group)
}

/// Whether the upstream of host `index` gives a complete answer within `timeout`.
async fn answers(fleet: &fleet::Fleet, index: usize, timeout: time::Duration) -> bool {
    let address = fleet.hosts()[index].upstream_addr();
    let answer = http::get(address, "/browse", timeout).await;
    answer.is_ok_and(|answer| answer::check(answer.body(), "", b"").is_ok())
}

async fn wait_answers(fleet: &fleet::Fleet, index: usize) {
    let end = time::Instant::now() + TIMEOUT;
    while !answers(fleet, index, time::Duration::from_secs(1)).await {
        assert!(time::Instant::now() < end, "host {index} does not respond");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

fn exists(pid: u32) -> bool {
    path::Path::new(&format!("/proc/{pid}")).exists()
}

#[tokio::test]
async fn a_dropped_fleet_leaves_no_process_or_directory() {
    let fleet = fleet::Fleet::start(plan()).await.unwrap();
    wait_answers(&fleet, 1).await;
    let pids: Vec<u32> = fleet.hosts().iter().filter_map(|h| h.upstream_pid()).collect();
    let dir = fleet.dir().to_owned();
    assert_eq!(pids.len(), 2);
    assert!(pids.iter().all(|pid| exists(*pid)) && dir.exists());
    drop(fleet);
    assert!(!pids.iter().any(|pid| exists(*pid)) && !dir.exists());
}

#[tokio::test]
async fn single_processes_are_paused_killed_and_terminated() {
    let mut fleet = fleet::Fleet::start(plan()).await.unwrap();
    wait_answers(&fleet, 0).await;
    wait_answers(&fleet, 1).await;
    fleet.pause(0, fleet::Part::Upstream).unwrap();
    assert!(!answers(&fleet, 0, time::Duration::from_millis(200)).await);
    assert!(answers(&fleet, 1, TIMEOUT).await);
    fleet.resume(0, fleet::Part::Upstream).unwrap();
    assert!(answers(&fleet, 0, TIMEOUT).await);
    fleet.kill(0, fleet::Part::Upstream).unwrap();
    assert!(!answers(&fleet, 0, TIMEOUT).await);
    assert!(matches!(fleet.terminate(0, fleet::Part::Upstream), Err(fleet::Error::NoProcess(0))));
    fleet.restart(0, fleet::Part::Upstream).unwrap();
    wait_answers(&fleet, 0).await;
    fleet.terminate(1, fleet::Part::Upstream).unwrap();
    assert_eq!(fleet.wait_exit(1, fleet::Part::Upstream, TIMEOUT).await.unwrap(), Some(0));
}

#[tokio::test]
async fn the_fleet_reads_records_and_sets_faults() {
    let fleet = fleet::Fleet::start(plan()).await.unwrap();
    wait_answers(&fleet, 0).await;
    let before = fleet.record(0).await.unwrap().starts;
    fleet.control(0, &serde_json::json!({ "shed": 1.0 })).await.unwrap();
    assert!(!answers(&fleet, 0, TIMEOUT).await);
    let record = fleet.record(0).await.unwrap();
    assert_eq!((record.starts, record.sheds), (before, 1));
    fleet.log_faults(&serde_json::json!({ "outage": "refuse" })).await.unwrap();
    fleet.log_faults(&serde_json::json!({})).await.unwrap();
    assert!(fleet.stat(0, fleet::Part::Upstream).unwrap().rss > 0);
}

#[tokio::test]
async fn the_error_for_an_unexpected_exit_has_name_and_output() {
    let plan = plan().log_arguments(&["--no-such-option"]);
    let error = fleet::Fleet::start(plan).await.unwrap_err();
    let fleet::Error::Ended(name, output) = error else { panic!("{error}") };
    assert_eq!(name, "log");
    assert!(output.contains("--no-such-option"), "{output}");
}

#[rstest]
#[case::at_limit(209, true)]
#[case::above_limit(210, false)]
fn a_plan_counts_its_processes_against_the_limit(#[case] hosts: usize, #[case] fits: bool) {
    let plan = fleet::Plan::new(programs()).group(fleet::Group::new("shop", hosts));
    assert_eq!(plan.process_count() <= fleet::MAX_PROCESSES, fits);
}

#[tokio::test]
async fn a_plan_with_too_many_processes_is_refused() {
    let plan = plan().hosts(1).group(fleet::Group::new("desk", fleet::MAX_PROCESSES));
    let error = fleet::Fleet::start(plan).await.unwrap_err();
    assert!(matches!(error, fleet::Error::TooMany(_)), "{error}");
}

#[tokio::test]
async fn a_fleet_behind_the_fault_proxy_reaches_its_log_through_it() {
    let fleet = fleet::Fleet::start(plan().faults()).await.unwrap();
    let path = "/streams/config?from=0&most=1&wait_ms=0";
    let read = http::get(fleet.known_log_addr(), path, TIMEOUT).await;
    assert!(read.is_ok(), "{read:?}");
    let cut = rules::Faults { cut: true, ..Default::default() };
    let to = vec![fleet.known_log_addr()];
    fleet.rules(&[rules::Rule { to, faults: cut, ..Default::default() }]).await.unwrap();
    assert!(http::get(fleet.known_log_addr(), path, TIMEOUT).await.is_err());
    assert!(http::get(fleet.log_addr(), path, TIMEOUT).await.is_ok());
    assert!(fleet.fault_counts().await.unwrap()["cuts"].as_u64().unwrap() >= 1);
}
