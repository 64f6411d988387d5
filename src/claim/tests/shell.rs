//! Tests of the ledger duty against the stand-in of the log, on loopback.

use std::net;
use std::sync::Arc;
use std::time;

use rstest::rstest;
use tokio::sync::watch;
use tokio::task;

use super::key;
use crate::admin::metrics;
use crate::claim::{self, Claims as _, Verdict, handle, shell};
use crate::configs;
use crate::context;
use crate::host;
use crate::logs::{self, Service as _};
use crate::node;
use crate::ring;
use crate::standin::log as standin;
use crate::standin::log::faults;
use crate::traffic;
use crate::usage;
use crate::view;

/// How long a duty may take to end.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// The ledger duties of a few nodes and one log, on one thread.
struct World {
    log: standin::Server,
    client: logs::http::Client,
    nodes: Vec<Node>,
}

struct Node {
    ctx: context::Context,
    host: host::HostId,
    claims: handle::Handle,
    deltas: ring::Sender<usage::Delta>,
    stage: watch::Sender<node::Stage>,
    view: watch::Sender<Arc<view::View>>,
    task: task::JoinHandle<Result<(), shell::Error>>,
}

fn address(world: u8, n: u8) -> net::SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    net::SocketAddr::from(([127, 176 + (high & 15), low, world * 10 + n], 7100))
}

impl World {
    async fn new(world: u8, count: u8) -> Self {
        let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let log = standin::Server::bind(any, standin::Options::default()).await.expect("bound");
        let traffic = Arc::new(traffic::Traffic::default());
        let mut settings = configs::Node::default();
        settings.log.address = log.address();
        settings.log.append_ms = 500;
        settings.usage.flush_ms = 50;
        settings.usage.group_ms = 10;
        settings.claim.patience_ms = 300;
        let client = logs::http::Client::new(&settings.log, Arc::clone(&traffic));
        let nodes = (0..count)
            .map(|n| {
                let listen = address(world, n);
                start(configs::Node { listen, ..settings.clone() }, client.clone())
            })
            .collect();
        let world = Self { log, client, nodes };
        let hosts: Vec<_> = world.nodes.iter().map(|n| n.host).collect();
        world.nodes.iter().for_each(|n| n.update_view(&hosts));
        world
    }

    fn faults(&self, change: impl FnOnce(&mut faults::Faults)) {
        let mut faults = faults::Faults::default();
        change(&mut faults);
        self.log.set_faults(faults);
    }
}

impl Node {
    fn update_view(&self, hosts: &[host::HostId]) {
        let locality = Arc::new(view::Locality { region: "region".into(), zone: "zone".into() });
        let host = |&id: &host::HostId| view::Host {
            id,
            locality: Arc::clone(&locality),
            incarnation: 1,
            health: view::Health::Alive,
            upstream: None,
        };
        let hosts = hosts.iter().map(host).collect();
        self.view.send_replace(Arc::new(view::View::new(hosts)));
    }

    fn attempt(&self, number: u64) -> claim::Attempt {
        claim::Attempt { host: self.host, incarnation: 1, number }
    }

    async fn claim(&self, key: claim::Key, number: u64) -> Result<Verdict, claim::Error> {
        self.claim_within(key, number, time::Duration::from_secs(5)).await
    }

    async fn claim_within(
        &self,
        key: claim::Key,
        number: u64,
        limit: time::Duration,
    ) -> Result<Verdict, claim::Error> {
        let deadline = self.ctx.now() + limit;
        self.claims.claim(key, self.attempt(number), deadline).await
    }
}

fn start(settings: configs::Node, log: logs::http::Client) -> Node {
    let ctx = context::Context::system();
    let host = settings.host();
    let (claims, receivers) = handle::pair();
    let (deltas, deltas_receiver) = ring::bounded(16);
    let (view, view_receiver) = watch::channel(Arc::default());
    let (stage, stage_receiver) = watch::channel(node::Stage::Run);
    let (_, applied) = watch::channel(Arc::default());
    let wiring = shell::Wiring {
        receivers,
        deltas: deltas_receiver,
        view: view_receiver,
        applied,
        log,
        metrics: metrics::Metrics::new(),
        stage: stage_receiver,
        traffic: Arc::new(traffic::Traffic::default()),
    };
    let task = task::spawn_local(shell::run(ctx, Arc::new(settings), wiring));
    Node { ctx, host, claims, deltas, stage, view, task }
}

async fn run_local(test: impl std::future::Future<Output = ()>) {
    task::LocalSet::new().run_until(test).await;
}

fn numbered(n: u64) -> claim::Key {
    claim::Key::new("POST", "/orders", &n.to_le_bytes())
}

#[tokio::test]
async fn one_of_many_entries_wins_each_key() {
    run_local(async {
        let world = World::new(1, 3).await;
        let (first, second, third) = (&world.nodes[0], &world.nodes[1], &world.nodes[2]);
        for n in 0..40 {
            let key = numbered(n);
            let (a, b, c) =
                tokio::join!(first.claim(key, n), second.claim(key, n), third.claim(key, n));
            let verdicts = [a.expect("a verdict"), b.expect("a verdict"), c.expect("a verdict")];
            let winners = verdicts.iter().filter(|&&v| v == Verdict::First).count();
            assert_eq!(winners, 1, "{verdicts:?}");
        }
    })
    .await;
}

#[tokio::test]
async fn a_release_lets_the_next_call_win() {
    run_local(async {
        let world = World::new(2, 2).await;
        let (one, two) = (&world.nodes[0], &world.nodes[1]);
        assert_eq!(one.claim(key(1), 1).await, Ok(Verdict::First));
        assert_eq!(two.claim(key(1), 1).await, Ok(Verdict::Taken(one.attempt(1))));
        one.claims.release(key(1), one.attempt(1));
        for number in 2..500 {
            if two.claim(key(1), number).await == Ok(Verdict::First) {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        panic!("the key was never released");
    })
    .await;
}

#[tokio::test]
async fn lost_answers_of_the_log_never_let_two_claims_win() {
    run_local(async {
        let world = World::new(3, 2).await;
        world.faults(|f| f.lose_share = 0.5);
        for n in 0..20 {
            let verdict = world.nodes[0].claim(numbered(n), n).await;
            assert!(verdict != Ok(Verdict::Taken(world.nodes[0].attempt(n))), "{verdict:?}");
            if verdict == Ok(Verdict::First) {
                let other = world.nodes[1].claim(numbered(n), n).await;
                assert_ne!(other, Ok(Verdict::First));
            }
        }
        world.faults(|_| {});
    })
    .await;
}

#[rstest]
#[case::refused(4, faults::Outage::Refuse)]
#[case::closed(8, faults::Outage::Close)]
#[case::silent(9, faults::Outage::Hang)]
#[tokio::test]
async fn an_outage_is_reported_at_once_and_leaves_no_key_taken(
    #[case] number: u8,
    #[case] outage: faults::Outage,
) {
    run_local(async {
        let world = World::new(number, 2).await;
        let node = &world.nodes[0];
        assert_eq!(node.claim(key(1), 1).await, Ok(Verdict::First));
        world.faults(|f| f.outage = outage);
        let mut unavailable = 0;
        for n in 0..200 {
            let verdict = node.claim(numbered(n), 100 + n).await;
            let reported = matches!(verdict, Err(claim::Error::Unavailable { .. }));
            unavailable += u32::from(reported);
            assert!(verdict != Ok(Verdict::First));
        }
        assert!(unavailable > 150, "{unavailable} of 200");
        world.faults(|_| {});
        for n in 0..200 {
            let mut verdict = node.claim(numbered(n), 1000 + n).await;
            for retry in 0..200 {
                if verdict == Ok(Verdict::First) {
                    break;
                }
                tokio::time::sleep(time::Duration::from_millis(50)).await;
                verdict = node.claim(numbered(n), 2000 + n * 200 + retry).await;
            }
            assert_eq!(verdict, Ok(Verdict::First), "key {n}");
        }
    })
    .await;
}

#[tokio::test]
async fn a_writer_that_takes_over_knows_the_keys() {
    run_local(async {
        let mut world = World::new(5, 2).await;
        for n in 0..20 {
            assert_eq!(world.nodes[0].claim(numbered(n), n).await, Ok(Verdict::First));
        }
        let stopped = world.nodes.remove(1);
        stopped.task.abort();
        let remaining = &world.nodes[0];
        for n in 0..20 {
            let taken = Ok(Verdict::Taken(remaining.attempt(n)));
            assert_eq!(
                remaining.claim(numbered(n), 100 + n).await,
                taken,
                "while still in the view"
            );
        }
        remaining.update_view(&[remaining.host]);
        for n in 20..40 {
            assert_eq!(remaining.claim(numbered(n), n).await, Ok(Verdict::First));
        }
    })
    .await;
}

#[tokio::test]
async fn a_deadline_ends_the_wait() {
    run_local(async {
        let world = World::new(6, 1).await;
        world.faults(|f| f.delay_ms = 400);
        let limit = time::Duration::from_millis(50);
        let verdict = world.nodes[0].claim_within(key(1), 1, limit).await;
        assert_eq!(verdict, Err(claim::Error::Late));
    })
    .await;
}

#[tokio::test]
async fn usage_counts_once_though_answers_are_lost() {
    run_local(async {
        let mut world = World::new(7, 3).await;
        world.faults(|f| f.lose_share = 0.4);
        let label = usage::Label {
            organisation: "guests".into(),
            service: "shop".into(),
            kind: "buy".into(),
            weight: 5,
        };
        let mut totals = usage::Totals::default();
        totals.calls[usage::Outcome::Served as usize] = 7;
        for _ in 0..10 {
            for node in &world.nodes {
                let delta = usage::Delta { rows: vec![(label.clone(), totals)] };
                node.deltas.send(delta).await.expect("the duty runs");
            }
            tokio::time::sleep(time::Duration::from_millis(60)).await;
        }
        world.faults(|_| {});
        for node in world.nodes.drain(..) {
            drop(node.deltas);
            node.stage.send_replace(node::Stage::End);
            let ended = tokio::time::timeout(STOP_TIMEOUT, node.task).await;
            ended.expect("in time").expect("no panic").expect("no error");
        }
        let read = world.client.read(logs::streams::USAGE, 0, 10_000, time::Duration::ZERO);
        let batch = read.await.expect("the log answers");
        let mut sum = usage::sum::Sum::new(u64::MAX);
        batch.records.iter().for_each(|record| sum.add(record));
        assert!(sum.repeats() > 0, "the faults caused no repeat");
        let charges = sum.charges();
        assert_eq!((charges.len(), charges[0].served, charges[0].charge), (1, 210, 1050));
    })
    .await;
}
