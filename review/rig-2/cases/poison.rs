//! BUDGET: a request that crashes backends comes again after all processes were killed at once.

use std::collections::HashSet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Arrival, Behaviour};
use crate::cases::{self, Verdict};
use crate::mesh::{self, Mesh};
use crate::node;
use crate::record::Record;

const DEADLY: &str = "/a/deadly";

/// Machines at which the request comes at the same time.
const CALLERS: usize = 6;

/// Attempts of each caller.
const ATTEMPTS: usize = 2;

/// Retries that may reach backends later than `stableWindow` after the third crash.
const ALLOWED: usize = 3;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let routes = [cases::route("/a/", "idempotent", "one")];
    let configuration = mesh::configuration(3, &routes, &["one"], &[]);
    let fragile = Behaviour { deadly: Some(DEADLY), ..Behaviour::default() };
    let zones = ["za", "za", "za", "zb", "zb", "zb", "zc", "zc", "zc"];
    let mut places = zones.map(|zone| cases::place(zone, "one", fragile.clone()));
    let mesh = Mesh::start(record, &mut places, false, &configuration, |_, _| ())?;
    record.say("a request comes that crashes the backends that run it");
    strike(&mesh);
    let before = arrivals(&mesh);
    let third = before.get(2).ok_or("fewer than three backends crashed")?.at;
    record.say(&format!("it has reached backends {} times", before.len()));
    thread::sleep(Duration::from_secs(5));
    if trouble {
        kill_all(&mesh);
    }
    let numbers: Vec<usize> = (0..places.len()).collect();
    mesh.wait_ready(&numbers, Duration::from_secs(20))?;
    // All machines are in touch again from here on.
    thread::sleep(mesh::STABLE_WINDOW + Duration::from_secs(3));
    record.say("the request comes again");
    strike(&mesh);
    thread::sleep(Duration::from_secs(1));
    judge(&mesh, third + mesh::STABLE_WINDOW)
}

/// The request comes at some machines at once, and once more from each caller that it fails.
fn strike(mesh: &Mesh) {
    thread::scope(|scope| {
        for number in 0..CALLERS {
            scope.spawn(move || {
                for _ in 0..ATTEMPTS {
                    let id = cases::new_id();
                    let message = cases::request("GET", DEADLY, &id, 1000);
                    cases::call(mesh, number, id, &message, Duration::from_secs(1));
                    thread::sleep(Duration::from_millis(200));
                }
            });
        }
    });
}

fn kill_all(mesh: &Mesh) {
    mesh.record.say("the processes of all nodes are killed at the same moment, and start again");
    mesh.nodes.iter().for_each(|node| node.signal(node::SIGKILL));
    mesh.nodes.iter().for_each(node::Node::kill);
    thread::sleep(Duration::from_millis(500));
    mesh.nodes.iter().for_each(|node| node.launch(false));
}

/// The arrivals of the request at backends.
fn arrivals(mesh: &Mesh) -> Vec<Arrival> {
    let mut all = mesh.seen.all();
    all.retain(|arrival| arrival.target == DEADLY);
    all
}

fn judge(mesh: &Mesh, from: Instant) -> Verdict {
    let later: Vec<Arrival> = arrivals(mesh).into_iter().filter(|a| a.at > from).collect();
    let retries: HashSet<&str> = later.iter().map(|arrival| arrival.id.as_str()).collect();
    let crashes: usize = mesh.backends.iter().map(|backend| backend.crashes()).sum();
    mesh.record.say(&format!(
        "later than 3 s after the third crash, {} retries of clients have reached backends, {} \
         times in all; {ALLOWED} retries are allowed; {crashes} crashes in all",
        retries.len(),
        later.len()
    ));
    Ok(retries.len() <= ALLOWED)
}
