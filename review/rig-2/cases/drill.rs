//! CONFIG, a probe: the store comes back from a copy that is older than the newest version.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Behaviour;
use crate::cases::{self, Verdict};
use crate::mesh::{self, Mesh};
use crate::node;
use crate::record::Record;

/// Each round publishes a version, has the store come back from an older copy, and publishes it again.
const ROUNDS: u64 = 5;

/// Time from the acknowledgement of a version until the store goes away.
const BEFORE_DRILL: Duration = Duration::from_millis(2500);

/// How long the store is away.
const AWAY: Duration = Duration::from_millis(800);

/// Time from the store's return until the operator has written the version again.
const BEFORE_AGAIN: Duration = Duration::from_millis(500);

/// How long clients watch after that.
const WATCH: Duration = Duration::from_secs(8);

type All = Mutex<HashMap<String, (usize, Instant)>>;

/// The spans in which machines are in touch and one service alone may serve.
struct Span {
    from: Instant,
    until: Instant,
    service: &'static str,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let places = ["za", "zb", "zc"].map(|zone| ["a", "b"].map(|service| (zone, service)));
    let places = places.into_iter().flatten();
    let mut places: Vec<mesh::Place> =
        places.map(|(zone, service)| cases::place(zone, service, Behaviour::default())).collect();
    let mesh = Mesh::start(record, &mut places, false, &version(3, "a"), |_, _| ())?;
    let end = Instant::now() + Duration::from_secs(90);
    let (all, ended, mut spans) = (All::default(), Mutex::new(false), Vec::new());
    thread::scope(|scope| {
        for number in 0..places.len() {
            let (mesh, all, ended) = (&mesh, &all, &ended);
            scope.spawn(move || {
                while Instant::now() < end && !*ended.lock().unwrap_or_else(|e| e.into_inner()) {
                    let id = cases::new_id();
                    let message = cases::request("GET", "/a/x", &id, 1000);
                    let sent = cases::call(mesh, number, id, &message, Duration::from_secs(1));
                    let mut all = all.lock().unwrap_or_else(|e| e.into_inner());
                    all.insert(sent.id, (number, sent.at));
                    drop(all);
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
        for round in 1..=ROUNDS {
            play(&mesh, round, trouble, &mut spans);
        }
        *ended.lock().unwrap_or_else(|e| e.into_inner()) = true;
    });
    let all = all.into_inner().unwrap_or_else(|e| e.into_inner());
    judge(&mesh, &all, &spans)
}

fn version(number: u64, service: &'static str) -> String {
    let routes = [cases::route("/a/", "idempotent", service)];
    mesh::configuration(number, &routes, &["a", "b"], &[])
}

/// In odd rounds the drill is all; in even ones all processes are killed while the store is away.
fn play(mesh: &Mesh, round: u64, trouble: bool, spans: &mut Vec<Span>) {
    let service = if round % 2 == 1 { "b" } else { "a" };
    let newest = version(3 + 2 * round, service);
    let copy = mesh.store.copy();
    let acknowledged = mesh.store.publish(&newest);
    mesh.record.say(&format!("round {round}: a version that routes to {service} is acknowledged"));
    thread::sleep(BEFORE_DRILL);
    let mut from = acknowledged + mesh::CONFIG_APPLY;
    if trouble {
        spans.push(Span { from, until: Instant::now(), service });
        mesh.store.set_down(true);
        if round.is_multiple_of(2) {
            mesh.nodes.iter().for_each(|node| node.signal(node::SIGKILL));
            mesh.nodes.iter().for_each(node::Node::kill);
        }
        thread::sleep(AWAY);
        if round.is_multiple_of(2) {
            mesh.nodes.iter().for_each(|node| node.launch(false));
        }
        mesh.store.come_back(copy);
        let back = Instant::now();
        thread::sleep(BEFORE_AGAIN);
        let again = mesh.store.publish(&newest);
        from = (again + mesh::CONFIG_APPLY).max(back + mesh::STABLE_WINDOW);
        mesh.record.say("the store is back from an older copy, and has the version again");
    }
    thread::sleep(WATCH);
    spans.push(Span { from, until: Instant::now(), service });
}

fn judge(mesh: &Mesh, all: &HashMap<String, (usize, Instant)>, spans: &[Span]) -> Verdict {
    let (mut right, mut wrong) = (0, 0);
    for arrival in mesh.seen.all().iter().filter(|arrival| arrival.run) {
        let Some((_, at)) = all.get(&arrival.id) else { continue };
        let Some(span) = spans.iter().find(|span| span.from < *at && *at < span.until) else {
            continue;
        };
        if span.service == arrival.service {
            right += 1;
        } else {
            wrong += 1;
        }
    }
    mesh.record.say(&format!(
        "{right} requests ran where the newest version routes them, {wrong} elsewhere, of those \
         that machines in touch took while it had to be in force"
    ));
    Ok(wrong == 0)
}
