//! Tests of the reporting commands, run as processes against the stand-in of the log service and
//! the operators' port of a node.

use std::net;
use std::process;
use std::sync::Arc;

use dandelionspool::admin;
use dandelionspool::configs;
use dandelionspool::context;
use dandelionspool::host;
use dandelionspool::leave;
use dandelionspool::logs::{self, Service as _};
use dandelionspool::node;
use dandelionspool::ring;
use dandelionspool::standin::log as standin;
use dandelionspool::usage;
use dandelionspool::usage::record;
use dandelionspool::view;
use serde_json::Value;
use tokio::sync::watch;
use tokio::task;

async fn run(args: Vec<String>) -> process::Output {
    let program = env!("CARGO_BIN_EXE_dandelionspool");
    let work = move || process::Command::new(program).args(args).output();
    task::spawn_blocking(work).await.expect("no panic").expect("the program runs")
}

fn args(text: &[&str]) -> Vec<String> {
    text.iter().map(|&arg| arg.to_owned()).collect()
}

fn total(sequence: u64, served: u64, until_unix_ms: u64) -> bytes::Bytes {
    let host = host::HostId::new(net::SocketAddr::from(([10, 0, 0, 1], 7100)));
    let label = usage::Label {
        organisation: "guests".into(),
        service: "shop".into(),
        kind: "buy".into(),
        weight: 5,
    };
    let id = record::TotalId { host, incarnation: 1, sequence };
    let rows = vec![record::Row { label, served }];
    record::encode(&record::Total { id, until_unix_ms, rows })
}

#[tokio::test]
async fn usage_is_charged_by_period_and_duplicates_count_once() {
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let log = standin::Server::bind(any, standin::Options::default()).await.expect("bound");
    let settings = configs::log::Log { address: log.address(), ..configs::log::Log::default() };
    let client = logs::http::Client::new(&settings, Arc::default());
    let day = 86_400_000;
    let records = [
        record::join(&[total(1, 3, 1000), total(2, 4, day + 1000)]),
        record::join(&[total(2, 4, day + 1000)]),
        bytes::Bytes::from_static(b"not a record"),
    ];
    for body in records {
        client.append(logs::streams::USAGE, body).await.expect("appended");
    }
    let address = log.address().to_string();
    let output = run(args(&["report", "usage", "--log", &address, "--json"])).await;
    assert_eq!(output.status.code(), Some(0));
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!((&report["repeats"], &report["unread"]), (&Value::from(1), &Value::from(1)));
    let charges: Vec<_> =
        report["charges"].as_array().expect("rows").iter().map(|c| &c["charge"]).collect();
    assert_eq!(charges, [15, 20]);
    let output = run(args(&["report", "usage", "--log", &address])).await;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("1970-01-02T00:00:00Z  guests"), "{text}");
}

#[tokio::test]
async fn a_report_of_a_mesh_with_a_silent_host_is_partial() {
    task::LocalSet::new().run_until(check_partial_reports()).await;
}

async fn check_partial_reports() {
    let [_, _, high, low] = process::id().to_be_bytes();
    let host =
        |n| host::HostId::new(net::SocketAddr::from(([127, 208 + (high & 7), low, n], 7100)));
    let settings = configs::Node { listen: host(1).member_addr(), ..configs::Node::default() };
    let locality = Arc::new(view::Locality { region: "region".into(), zone: "zone".into() });
    let hosts = [1, 2].map(|n| view::Host {
        id: host(n),
        locality: Arc::clone(&locality),
        incarnation: 1,
        health: view::Health::Alive,
        upstream: None,
    });
    let (_applied, applied) = watch::channel(Arc::default());
    let (_view, view) = watch::channel(Arc::new(view::View::new(hosts.to_vec())));
    let (_reach, reach) =
        watch::channel(logs::reachability::Reachability::Fails { since_unix_ms: 1000 });
    let (_tallies, tallies) = ring::bounded(1);
    let (_stage, stage) = watch::channel(node::Stage::Run);
    let wiring = admin::shell::Wiring {
        applied,
        view,
        trial: watch::Sender::default().subscribe(),
        leaving: watch::Sender::default().subscribe(),
        leaves: leave::channel().0,
        local: watch::channel(None).0,
        reach,
        tallies,
        usage: ring::bounded(1).0,
        metrics: admin::metrics::Metrics::new(),
        stage,
        traffic: Arc::default(),
    };
    let served = admin::shell::run(context::Context::system(), Arc::new(settings), wiring);
    task::spawn_local(async { served.await.expect("serves") });
    let address = host(1).admin_addr().to_string();
    let output = run(args(&["status", "--node", &address])).await;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0));
    assert!(text.starts_with("PARTIAL: heard from 1 of 2 nodes"), "{text}");
    assert!(text.contains("log: failing since 1970-01-01T00:00:01Z"), "{text}");
    let output = run(args(&["report", "burn", "--node", &address, "--json"])).await;
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["coverage"]["whole"], Value::from(false));
    assert_eq!(report["coverage"]["hosts"], Value::from(2));
}

#[tokio::test]
async fn an_unreachable_node_or_log_has_exit_code_4() {
    let closed = "127.0.0.1:1";
    for command in [
        args(&["status", "--node", closed]),
        args(&["report", "burn", "--node", closed]),
        args(&["report", "usage", "--log", closed]),
    ] {
        let output = run(command.clone()).await;
        assert_eq!(output.status.code(), Some(4), "{command:?}");
        assert!(output.stdout.is_empty());
    }
    assert_eq!(run(args(&["status"])).await.status.code(), Some(2));
}
