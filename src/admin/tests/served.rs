//! Tests of the operators' port over HTTP, on loopback.

use std::net;
use std::sync::Arc;
use std::time;

use tokio::sync::watch;
use tokio::task;

use super::shop;
use crate::admin::{mesh_status, metrics, query, shell, status};
use crate::configs;
use crate::context;
use crate::host;
use crate::leave;
use crate::logs::reachability;
use crate::mesh;
use crate::node;
use crate::ring;
use crate::standin::http as client;
use crate::traffic;
use crate::usage;
use crate::version;
use crate::view;

const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The other ends of the channels of the duty.
struct Ends {
    host: host::HostId,
    applied: watch::Sender<Arc<mesh::Applied>>,
    view: watch::Sender<Arc<view::View>>,
    local: watch::Receiver<Option<Arc<node::LocalUpstream>>>,
    tallies: ring::Sender<usage::Delta>,
    stage: watch::Sender<node::Stage>,
    leaving: watch::Sender<Option<u32>>,
    leaves: leave::MemberSide,
    _reach: watch::Sender<reachability::Reachability>,
}

/// An address that no other test of this process or of a concurrent one uses.
fn address(n: u8) -> net::SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    net::SocketAddr::from(([127, 160 + (high & 15), low, n], 7100))
}

/// Starts the duty on the current `LocalSet`.
fn start(n: u8) -> Ends {
    let listen = address(n);
    let settings = configs::Node { listen, ..configs::Node::default() };
    let (applied, applied_end) = watch::channel(Arc::default());
    let (view, view_end) = watch::channel(Arc::default());
    let (local_end, local) = watch::channel(None);
    let (reach, reach_end) = watch::channel(reachability::Reachability::Unasked);
    let (leaving, leaving_end) = watch::channel(None);
    let (leaves, member_leaves) = leave::channel();
    let (tallies, tallies_end) = ring::bounded(4);
    let (stage, stage_end) = watch::channel(node::Stage::Run);
    let wiring = shell::Wiring {
        applied: applied_end,
        view: view_end,
        trial: watch::Sender::default().subscribe(),
        leaving: leaving_end,
        leaves,
        local: local_end,
        reach: reach_end,
        tallies: tallies_end,
        usage: ring::bounded(4).0,
        metrics: metrics::Metrics::new(),
        stage: stage_end,
        traffic: Arc::new(traffic::Traffic::default()),
    };
    task::spawn_local(async move {
        shell::run(context::Context::system(), Arc::new(settings), wiring).await.expect("serves");
    });
    let host = host::HostId::new(listen);
    Ends {
        host,
        applied,
        view,
        local,
        tallies,
        stage,
        leaving,
        leaves: member_leaves,
        _reach: reach,
    }
}

impl Ends {
    fn apply(&self) {
        let version_id = version::VersionId {
            version: version::Version::new(3),
            digest: version::Digest::of(b"shop"),
        };
        self.applied.send_replace(Arc::new(mesh::Applied { version_id, mesh: Arc::new(shop()) }));
    }

    async fn get(&self, path: &str) -> (u16, String) {
        let to = self.host.admin_addr();
        for _ in 0..1000 {
            match client::get(to, path, TIMEOUT).await {
                Ok(answer) => {
                    let body = String::from_utf8_lossy(answer.body()).into_owned();
                    return (answer.status().as_u16(), body);
                }
                Err(client::Error::Connect(..)) => {
                    tokio::time::sleep(time::Duration::from_millis(10)).await;
                }
                Err(error) => panic!("{error}"),
            }
        }
        panic!("the operators' port does not open");
    }

    async fn put(&self, class: &str) -> u16 {
        let body = serde_json::json!({
            "service": "shop", "class": class, "address": "127.0.0.1:8080",
            "slots": 9, "connections": 100, "phase": "serving",
        });
        let to = self.host.admin_addr();
        let put = client::json(to, http::Method::PUT, "/upstream", &body, TIMEOUT).await;
        put.expect("answered").status().as_u16()
    }
}

async fn in_local_set(test: impl std::future::Future<Output = ()>) {
    task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn readiness_follows_configuration_and_stage() {
    in_local_set(async {
        let ends = start(1);
        assert_eq!(ends.get("/live").await.0, 204);
        assert_eq!(ends.get("/ready").await.0, 503);
        ends.apply();
        assert_eq!(ends.get("/ready").await.0, 200);
        ends.stage.send_replace(node::Stage::Drain);
        assert_eq!(ends.get("/ready").await.0, 503);
        assert_eq!(ends.get("/live").await.0, 204);
    })
    .await;
}

#[tokio::test]
async fn an_upstream_announces_and_withdraws() {
    in_local_set(async {
        let mut ends = start(2);
        assert_eq!(ends.get("/live").await.0, 204);
        assert_eq!(ends.put("shop-host").await, 202);
        ends.apply();
        let applied = tokio::time::timeout(TIMEOUT, ends.local.wait_for(Option::is_some));
        let applied = applied.await.is_ok();
        assert!(applied, "a pending announcement takes effect with the configuration");
        assert_eq!(ends.put("toys").await, 202);
        assert_eq!(ends.put("shop-host").await, 204);
        let to = ends.host.admin_addr();
        let null = serde_json::Value::Null;
        let gone = client::json(to, http::Method::DELETE, "/upstream", &null, TIMEOUT).await;
        assert_eq!(gone.expect("answered").status(), 204);
        assert!(ends.local.borrow().is_none());
        let bad = client::json(to, http::Method::PUT, "/upstream", &null, TIMEOUT).await;
        assert_eq!(bad.expect("answered").status(), 400);
        assert_eq!(ends.get("/nowhere").await.0, 404);
        assert_eq!(ends.get("/upstream").await.0, 405);
    })
    .await;
}

#[tokio::test]
async fn metrics_show_the_calls() {
    in_local_set(async {
        let ends = start(3);
        let label = usage::Label {
            organisation: "guests".into(),
            service: "shop".into(),
            kind: "buy".into(),
            weight: 5,
        };
        let mut totals = usage::Totals::default();
        totals.calls[usage::Outcome::Served as usize] = 4;
        ends.tallies.offer(usage::Delta { rows: vec![(label, totals)] }).expect("room");
        let wanted =
            "dandelionspool_calls_total{service=\"shop\",kind=\"buy\",outcome=\"served\"} 4";
        let mut text = ends.get("/metrics").await.1;
        for _ in 0..1000 {
            if text.contains(wanted) {
                break;
            }
            tokio::time::sleep(time::Duration::from_millis(10)).await;
            text = ends.get("/metrics").await.1;
        }
        assert!(text.contains(wanted), "{text}");
        assert!(text.contains("dandelionspool_control_messages_total{purpose=\"member\"} 0"));
        assert!(text.ends_with("# EOF\n"));
    })
    .await;
}

#[tokio::test]
async fn the_mesh_status_lists_a_host_that_does_not_answer() {
    in_local_set(async {
        let (one, two) = (start(4), start(5));
        let absent = host::HostId::new(address(6));
        let locality = Arc::new(view::Locality { region: "region".into(), zone: "zone".into() });
        let known = [one.host, two.host, absent].map(|id| view::Host {
            id,
            locality: Arc::clone(&locality),
            incarnation: 1,
            health: view::Health::Alive,
            upstream: None,
        });
        one.view.send_replace(Arc::new(view::View::new(known.to_vec())));
        one.apply();
        assert_eq!(two.get("/live").await.0, 204);
        let (code, text) = one.get("/status").await;
        let own: status::Status = serde_json::from_str(&text).expect("a status");
        assert_eq!((code, own.version, own.members.alive), (200, 3, 3));
        let to = one.host.admin_addr();
        let mesh: mesh_status::MeshStatus =
            query::json(to, "/status?mesh=1", TIMEOUT).await.expect("a report");
        assert_eq!(
            (mesh.coverage.answered, mesh.coverage.hosts, mesh.coverage.complete),
            (2, 3, false)
        );
        assert_eq!(mesh.coverage.missing, [absent.to_string()]);
        assert_eq!((mesh.newest, mesh.behind, mesh.unready), (3, 1, 1));
    })
    .await;
}

#[tokio::test]
async fn an_upstream_that_has_said_that_it_leaves_drains_whatever_it_announces() {
    in_local_set(async {
        let mut ends = start(7);
        assert_eq!(ends.get("/live").await.0, 204);
        ends.apply();
        assert_eq!(ends.put("shop-host").await, 204);
        let phase = |local: &Option<Arc<node::LocalUpstream>>| {
            local.as_ref().map(|local| (local.upstream.incarnation, local.upstream.phase))
        };
        let (incarnation, serving) = phase(&ends.local.borrow()).expect("an upstream");
        assert_eq!(serving, view::Phase::Serving);
        ends.leaving.send_replace(Some(incarnation));
        let draining = Some((incarnation, view::Phase::Draining));
        let drains = ends.local.wait_for(|local| phase(local) == draining);
        assert!(tokio::time::timeout(TIMEOUT, drains).await.is_ok());
        assert_eq!(ends.put("shop-host").await, 204);
        assert_eq!(phase(&ends.local.borrow()), draining);
    })
    .await;
}

/// Guards against an acknowledgement that is sent before any other node knows of the leaving.
#[tokio::test]
async fn a_leaving_is_acknowledged_after_other_nodes_were_told() {
    in_local_set(async {
        let mut ends = start(9);
        ends.apply();
        assert_eq!(ends.get("/live").await.0, 204);
        let (to, null) = (ends.host.admin_addr(), serde_json::Value::Null);
        let path = "/upstream/i-1";
        let gone = client::json(to, http::Method::DELETE, path, &null, TIMEOUT);
        let mut gone = std::pin::pin!(gone);
        let report = tokio::select! {
            report = ends.leaves.reports.recv() => report.expect("a report"),
            answer = &mut gone => panic!("acknowledged first: {answer:?}"),
        };
        assert_eq!(Some(report.leave.instance), leave::InstanceHash::of(&"i-1".into()));
        let early = tokio::time::timeout(time::Duration::from_millis(50), &mut gone).await;
        assert!(early.is_err(), "acknowledged before the others were told");
        let kept = report.leave;
        report.told.send(()).expect("waits");
        let early = tokio::time::timeout(time::Duration::from_millis(50), &mut gone).await;
        assert!(early.is_err(), "acknowledged before the directory keeps it");
        ends.leaves.kept.send_replace([kept].into());
        assert_eq!(gone.await.expect("answered").status(), 204);
    })
    .await;
}
