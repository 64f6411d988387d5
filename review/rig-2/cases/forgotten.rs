//! DRAIN: a backend deregisters while the store is down, and all processes are killed right after.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Behaviour};
use crate::cases::{self, Verdict};
use crate::mesh::{self, Mesh};
use crate::node;
use crate::record::Record;

/// `drain` of the small deployments.
const DRAIN: Duration = Duration::from_secs(2);

/// Time from the beginning of the store's trouble until the backend leaves.
const BEFORE_LEAVING: Duration = Duration::from_millis(1500);

/// How long the store is down in all.
const STORE_DOWN: Duration = Duration::from_millis(4500);

/// How late a heartbeat from before the leaving arrives.
const LATE: Duration = Duration::from_secs(4);

/// How long clients send, and the backend serves, after the leaving was acknowledged.
const WATCH: Duration = Duration::from_secs(12);

/// The backend that leaves.
const LEAVER: usize = 0;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let routes = [cases::route("/a/", "idempotent", "one")];
    let configuration = mesh::configuration(3, &routes, &["one"], &[]);
    let zones = ["za", "za", "zb", "zb", "zc", "zc"];
    let mut places = zones.map(|zone| cases::place(zone, "one", Behaviour::default()));
    let mesh = Mesh::start(record, &mut places, false, &configuration, |_, _| ())?;
    thread::sleep(mesh::STABLE_WINDOW);
    let began = Instant::now();
    if trouble {
        mesh.store.set_down(true);
        record.say("the store is down: it answers every call 503");
    }
    thread::sleep(BEFORE_LEAVING);
    let leaver = &mesh.backends[LEAVER];
    if !leaver.deregister() {
        return Err("the leaving is not acknowledged".to_owned());
    }
    let acknowledged = Instant::now();
    record.say(&format!("{} has deregistered and serves on", leaver.id()));
    if trouble {
        kill_all(&mesh);
    }
    let restarted = Instant::now();
    let sent = Mutex::default();
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep((began + STORE_DOWN).saturating_duration_since(Instant::now()));
            mesh.store.set_down(false);
            record.say("the store answers");
        });
        scope.spawn(|| arrive_late(&mesh, leaver, acknowledged));
        for number in 0..places.len() {
            let (mesh, sent) = (&mesh, &sent);
            scope.spawn(move || watch(mesh, number, acknowledged + WATCH, sent));
        }
    });
    let calm =
        if trouble { restarted.max(began + STORE_DOWN) + mesh::STABLE_WINDOW } else { began };
    let sent = sent.into_inner().unwrap_or_else(|e| e.into_inner());
    judge(&mesh, leaver, &sent, acknowledged, calm)
}

/// A heartbeat that the backend sent before it left arrives late.
fn arrive_late(mesh: &Mesh, leaver: &Backend, acknowledged: Instant) {
    thread::sleep((acknowledged + LATE).saturating_duration_since(Instant::now()));
    let taken = leaver.send_heartbeat();
    let outcome = if taken { "acknowledged" } else { "not acknowledged" };
    mesh.record.say(&format!("a heartbeat from before the leaving arrives late: {outcome}"));
}

fn kill_all(mesh: &Mesh) {
    mesh.record.say("the processes of all nodes are killed at the same moment, and start again");
    mesh.nodes.iter().for_each(|node| node.signal(node::SIGKILL));
    mesh.nodes.iter().for_each(node::Node::kill);
    thread::sleep(Duration::from_millis(500));
    mesh.nodes.iter().for_each(|node| node.launch(false));
}

/// Sends requests through the node `number` until `end`.
fn watch(mesh: &Mesh, number: usize, end: Instant, all: &Mutex<HashMap<String, Instant>>) {
    while Instant::now() < end {
        let id = cases::new_id();
        let message = cases::request("GET", "/a/x", &id, 1000);
        let sent = cases::call(mesh, number, id, &message, Duration::from_secs(1));
        all.lock().unwrap_or_else(|e| e.into_inner()).insert(sent.id, sent.at);
        thread::sleep(Duration::from_millis(20));
    }
}

/// Requests that reached the backend more than `drain` after its leaving, sent since `calm`.
fn judge(
    mesh: &Mesh,
    leaver: &Backend,
    sent: &HashMap<String, Instant>,
    acknowledged: Instant,
    calm: Instant,
) -> Verdict {
    let own = leaver.id();
    let since = calm.max(acknowledged + DRAIN);
    let arrivals = mesh.seen.all();
    let here = arrivals.iter().filter(|arrival| arrival.backend == own && arrival.run);
    let late: Vec<Duration> = here
        .filter(|arrival| arrival.at > since && sent.get(&arrival.id).is_some_and(|at| *at > since))
        .map(|arrival| arrival.at - acknowledged)
        .collect();
    let others = arrivals.iter().filter(|a| a.backend != own && a.at > since).count();
    let first = late.first().map_or(0.0, Duration::as_secs_f64);
    let last = late.last().map_or(0.0, Duration::as_secs_f64);
    mesh.record.say(&format!(
        "{} requests reached {own} from {first:.3} s to {last:.3} s after its leaving was \
         acknowledged, all sent by machines in touch; {others} reached other backends",
        late.len()
    ));
    if others < 50 {
        return Err("too few requests reached other backends".to_owned());
    }
    Ok(late.is_empty())
}
