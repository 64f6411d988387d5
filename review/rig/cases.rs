//! The cases: what each does, and whether the rule held.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Run, Runs, Trouble};
use crate::client::{Clients, Paths, Sent};
use crate::mesh::{self, Mesh, Route};
use crate::record::lock;

/// The rule held.
const HELD: i32 = 0;
/// The rule was broken.
const BROKEN: i32 = 1;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// `stableWindow`: after this time without disruption a machine is in touch.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// `drain`: so long after the acknowledgement requests may still reach a backend that leaves.
const DRAIN: Duration = Duration::from_secs(2);
/// `configApply`: so long after its acknowledgement a configuration may not be in force yet.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Pause of a client between an answer and the next request.
const PAUSE: Duration = Duration::from_millis(20);

pub fn run(case: &str, record: &str, trouble: bool) -> i32 {
    match case {
        "late-rejection" => late_rejection(record, trouble),
        "many-timeouts" => many_timeouts(record, trouble),
        "leave-forgotten" => leave_forgotten(record, trouble),
        other => panic!("there is no case {other}"),
    }
}

fn paths(names: &[&str]) -> Paths {
    Arc::new(Mutex::new(names.iter().map(|name| format!("/{name}/guests")).collect()))
}

/// Starts a backend beside each of the first `count` nodes.
fn backends(mesh: &Mesh, count: usize, work: Duration, runs: &Runs) -> Vec<Backend> {
    let start = |n| Backend::start(&format!("i-{n}"), &mesh.places[n], work, &mesh.record, runs);
    (0..count).map(start).collect()
}

/// Waits until requests are served.
fn wait_served(clients: &Clients, count: usize) {
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        let served = lock(&clients.log).iter().filter(|sent| sent.status == 200).count();
        if served >= count {
            return;
        }
        assert!(Instant::now() < until, "only {served} requests were served");
        thread::sleep(Duration::from_millis(50));
    }
}

fn count_sent(mesh: &Mesh, sent: &[Sent], runs: &[Run]) {
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    sent.iter().for_each(|sent| *statuses.entry(sent.status).or_default() += 1);
    mesh.record.say(&format!("sent {}, run {}, by status {statuses:?}", sent.len(), runs.len()));
}

/// One of two backends rejects a part of the requests and sends 3 in 100 of its answers a second
/// time, late, for 5 s at a time.
///
/// TWICE and REFUSED: a request that may run once at most must not run again, and must not be told
/// that it has not run.
fn late_rejection(record: &str, trouble: bool) -> i32 {
    /// Episodes of the disruption, and the pause between two of them.
    const EPISODES: usize = 6;
    const EPISODE: Duration = Duration::from_secs(5);
    // With TROUBLE=shed, the backend rejects requests and sends no answer twice.
    let extra = if std::env::var("TROUBLE").as_deref() == Ok("shed") { 0.0 } else { 0.03 };
    let mut mesh = Mesh::start(&["shop", "shop", "desk"], record);
    let runs = Runs::default();
    let backends = backends(&mesh, 2, Duration::from_millis(40), &runs);
    let nodes: Vec<String> = mesh.places.iter().map(|place| place.outbound()).collect();
    let paths = paths(&["list"]);
    let clients = Clients::start(&nodes, 15, 0.5, &paths, PAUSE, &mesh.record, mesh.seed);
    wait_served(&clients, 100);
    thread::sleep(STABLE_WINDOW);
    for _ in 0..EPISODES {
        if trouble {
            backends[0].set_trouble(Trouble { shed: 0.45, extra });
            mesh.record.say(&format!(
                "i-0 rejects 0.45 of its requests, sends {extra} of its answers twice"
            ));
        }
        thread::sleep(EPISODE);
        backends[0].set_trouble(Trouble::default());
        mesh.record.write("i-0 is sound again");
        thread::sleep(Duration::from_secs(4));
    }
    let sent = clients.end();
    mesh.check_nodes();
    let runs = lock(&runs).clone();
    count_sent(&mesh, &sent, &runs);
    let twice = run_twice(&mesh, &runs);
    let refused = refused_and_run(&mesh, &sent, &runs);
    if twice + refused > 0 { BROKEN } else { HELD }
}

/// TWICE: the number of requests that may run once at most and ran more often.
fn run_twice(mesh: &Mesh, runs: &[Run]) -> usize {
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    let orders = runs.iter().filter(|run| run.method == "POST");
    orders.for_each(|run| by_id.entry(&run.id).or_default().push(run));
    let twice: Vec<_> = by_id.iter().filter(|(_, runs)| runs.len() > 1).collect();
    for (id, runs) in &twice {
        let at: Vec<String> =
            runs.iter().map(|r| format!("{} at {:.3}", r.backend, r.at.as_secs_f64())).collect();
        mesh.record.write(&format!("TWICE: {id} ran at {}", at.join(" and ")));
    }
    mesh.record.say(&format!("TWICE: {} requests", twice.len()));
    twice.len()
}

/// REFUSED: the number of requests that may run once at most, were told that they have not run and
/// never will, and ran.
fn refused_and_run(mesh: &Mesh, sent: &[Sent], runs: &[Run]) -> usize {
    let ran: HashSet<&str> = runs.iter().map(|run| run.id.as_str()).collect();
    let orders = sent.iter().filter(|sent| sent.method == "POST");
    let refused = orders.filter(|sent| PROMISES.contains(&sent.status));
    let broken: Vec<_> = refused.filter(|sent| ran.contains(sent.id.as_str())).collect();
    for sent in &broken {
        mesh.record.write(&format!("REFUSED: {} was answered {} and ran", sent.id, sent.status));
    }
    mesh.record.say(&format!("REFUSED: {} requests", broken.len()));
    broken.len()
}

/// A configuration moves a route to another service and adds 100 routes, each with a timeout of its
/// own. Without the trouble it moves the route and adds none.
///
/// CONFIG: what is sent later than `configApply` after the acknowledgement is handled as the new
/// version says.
fn many_timeouts(record: &str, trouble: bool) -> i32 {
    const ADDED: u64 = 100;
    // With TROUBLE=same, the routes are added with one timeout for all of them.
    let own_timeouts = std::env::var("TROUBLE").as_deref() != Ok("same");
    let mut mesh = Mesh::start(&["shop", "shop", "desk", "desk"], record);
    let runs = Runs::default();
    let backends = backends(&mesh, 4, Duration::from_millis(20), &runs);
    let nodes: Vec<String> = mesh.places.iter().map(|place| place.outbound()).collect();
    let paths = paths(&["list", "gifts"]);
    let clients = Clients::start(&nodes, 8, 0.2, &paths, PAUSE, &mesh.record, mesh.seed);
    wait_served(&clients, 100);
    thread::sleep(STABLE_WINDOW);
    let mut routes = mesh::routes();
    routes[0].service = "desk";
    if trouble {
        for number in 0..ADDED {
            let route = Route::new(&format!("more{number}"), "idempotent", "shop");
            let timeout_ms = if own_timeouts { 1000 + 5 * number } else { 1000 };
            routes.push(Route { timeout_ms, ..route });
        }
    }
    mesh.store.publish(&mesh::configuration(9, &routes));
    let acknowledged = mesh.record.write("the store has acknowledged version 9");
    thread::sleep(CONFIG_APPLY + Duration::from_millis(100));
    if trouble {
        lock(&paths).extend((0..ADDED).map(|number| format!("/more{number}/guests")));
    }
    thread::sleep(Duration::from_secs(12));
    let sent = clients.end();
    mesh.check_nodes();
    let runs = lock(&runs).clone();
    count_sent(&mesh, &sent, &runs);
    let ran: HashMap<&str, &str> =
        runs.iter().map(|run| (run.id.as_str(), run.backend.as_str())).collect();
    let old: HashSet<&str> = backends[..2].iter().map(|backend| backend.id.as_str()).collect();
    let after: Vec<_> = sent.iter().filter(|sent| sent.at > acknowledged + CONFIG_APPLY).collect();
    let moved = after.iter().filter(|sent| sent.path.starts_with("/list/"));
    let stale = moved.filter(|sent| ran.get(&*sent.id).is_some_and(|b| old.contains(b))).count();
    let added = after.iter().filter(|sent| sent.path.starts_with("/more"));
    let missing = added.filter(|sent| sent.status == 404).count();
    mesh.record.say(&format!(
        "CONFIG: of {} requests sent later than configApply, {stale} were run by the old service, \
         and {missing} were refused with 404 though the route is there",
        after.len()
    ));
    // With FINAL=n, the first n nodes are killed and started again afterwards.
    if let Some(count) = std::env::var("FINAL").ok().and_then(|count| count.parse().ok()) {
        final_fault(&mut mesh, &nodes[..count]);
    }
    if stale + missing > 0 { BROKEN } else { HELD }
}

/// Kills the first `nodes` and starts them again; says what share of the requests to them is served
/// later than `recover` after they are back. Not part of the verdict.
fn final_fault(mesh: &mut Mesh, nodes: &[String]) {
    const RECOVER: Duration = Duration::from_secs(15);
    mesh.nodes.iter_mut().take(nodes.len()).for_each(crate::node::Node::kill);
    thread::sleep(Duration::from_secs(1));
    (0..nodes.len()).for_each(|number| mesh.restart(number));
    mesh.record.say(&format!("{} nodes have been killed and started again", nodes.len()));
    thread::sleep(RECOVER);
    let paths = paths(&["list", "gifts"]);
    let clients = Clients::start(nodes, 8, 0.2, &paths, PAUSE, &mesh.record, mesh.seed ^ 1);
    thread::sleep(Duration::from_secs(5));
    let sent = clients.end();
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    let ready = mesh.nodes.iter().filter(|node| node.is_ready()).count();
    let all = mesh.nodes.len();
    mesh.record.say(&format!(
        "RECOVER: {served} of {} served; {ready} of {all} nodes are ready",
        sent.len()
    ));
}

/// A backend says that it leaves and gets the acknowledgement. Its node is killed and starts again;
/// a heartbeat that the backend had sent before it left arrives late.
///
/// DRAIN: no request reaches the backend later than `drain` after the acknowledgement. Counted are
/// those that reach it while its node is in touch again.
fn leave_forgotten(record: &str, trouble: bool) -> i32 {
    /// How late the heartbeat arrives.
    const LATE: Duration = Duration::from_millis(2500);
    /// How long the backend serves on after the acknowledgement.
    const SERVES_ON: Duration = Duration::from_secs(10);
    let mut mesh = Mesh::start(&["shop", "shop", "shop", "desk"], record);
    let runs = Runs::default();
    let backends = backends(&mesh, 3, Duration::from_millis(20), &runs);
    let nodes: Vec<String> = mesh.places[1..].iter().map(|place| place.outbound()).collect();
    let paths = paths(&["list"]);
    let clients = Clients::start(&nodes, 9, 0.3, &paths, PAUSE, &mesh.record, mesh.seed);
    wait_served(&clients, 100);
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    let leaver = &backends[0];
    leaver.stop_beats();
    thread::sleep(Duration::from_millis(900));
    let late = leaver.next_sequence();
    let beat_sent = Instant::now();
    mesh.record.say(&format!("i-0 sends heartbeat {late}, which is held up on its way"));
    thread::sleep(Duration::from_millis(300));
    let status = leaver.leave();
    assert!((200..300).contains(&status), "the leave was answered {status}");
    let acknowledged = mesh.record.write("i-0 has said that it leaves; the node acknowledges it");
    thread::sleep(Duration::from_millis(300));
    let mut in_touch = Duration::ZERO;
    if trouble {
        let pid = mesh.nodes[0].pid();
        mesh.nodes[0].kill();
        mesh.record.say(&format!("sidecar-0, process {pid}, is killed"));
        thread::sleep(Duration::from_millis(500));
        mesh.restart(0);
        in_touch = mesh.record.write("sidecar-0 is started again") + STABLE_WINDOW;
    }
    mesh.nodes[0].wait_ready();
    thread::sleep(LATE.saturating_sub(beat_sent.elapsed()));
    let status = leaver.beat(late, "in-service");
    mesh.record.say(&format!("heartbeat {late} of i-0 arrives and is answered {status}"));
    thread::sleep(SERVES_ON.saturating_sub(mesh.record.now() - acknowledged));
    let sent = clients.end();
    mesh.check_nodes();
    let runs = lock(&runs).clone();
    count_sent(&mesh, &sent, &runs);
    let from = (acknowledged + DRAIN).max(in_touch);
    let reached = runs.iter().filter(|run| run.backend == leaver.id && run.at > from).count();
    mesh.record.say(&format!(
        "DRAIN: acknowledged at {:.3}; {reached} requests reached i-0 after {:.3}",
        acknowledged.as_secs_f64(),
        from.as_secs_f64()
    ));
    if reached > 0 { BROKEN } else { HELD }
}
