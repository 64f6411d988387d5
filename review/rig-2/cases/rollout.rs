//! EXPOSURE: the operator orders a move to a version that fails most requests of one route.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Behaviour};
use crate::cases::{self, Verdict};
use crate::mesh::{self, Mesh};
use crate::record::Record;

/// Machines of each version.
const MACHINES: usize = 6;

/// Time within which the operator wants the move.
const DURATION: Duration = Duration::from_secs(20);

/// How long clients go on after that.
const AFTER: Duration = Duration::from_secs(12);

/// The route on which the bad version fails, and of how many requests one is for it.
const RARE: &str = "/b/";
const EVERY: usize = 12;

/// `exposeShare`, `exposeSlack` and `rollback` of the deployment.
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;
const ROLLBACK: Duration = Duration::from_secs(5);

/// Bad answers from which on the time until the roll-back counts.
const BAD_ANSWERS: usize = 50;

/// A client attempt: when it was sent, and whether a backend answered it with a failure.
type All = Mutex<HashMap<String, (Instant, bool)>>;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let common = cases::route("/a/", "idempotent", "one");
    let rare = cases::route(RARE, "non_idempotent", "one");
    let configuration = mesh::configuration(3, &[common, rare], &["one"], &[]);
    let fails = trouble.then_some(RARE);
    let new = Behaviour { version: "v2", fails, ..Behaviour::default() };
    let zones = ["za", "zb", "zc"];
    let mut places: Vec<mesh::Place> = (0..2 * MACHINES)
        .map(|number| {
            let behaviour = if number < MACHINES { Behaviour::default() } else { new.clone() };
            cases::place(zones[number % zones.len()], "one", behaviour)
        })
        .collect();
    let mut mesh = Mesh::start(record, &mut places, false, &configuration, |_, _| ())?;
    for (number, place) in places.iter().enumerate().skip(MACHINES) {
        mesh.start_backend(number, place);
    }
    record.say("the backends of v2 have started beside those of v1");
    thread::sleep(Duration::from_secs(2));
    let (all, ended) = (All::default(), AtomicBool::new(false));
    let (mesh, all_of, ended_of) = (&mesh, &all, &ended);
    let ordered = thread::scope(|scope| {
        for number in 0..places.len() {
            scope.spawn(move || send(mesh, number, all_of, ended_of));
        }
        thread::sleep(Duration::from_secs(3));
        let ordered = order(mesh);
        follow(mesh, ordered);
        ended.store(true, Ordering::SeqCst);
        ordered
    });
    let all = all.into_inner().unwrap_or_else(|e| e.into_inner());
    judge(mesh, &all, ordered)
}

/// Sends requests through the node `number` until `ended`.
fn send(mesh: &Mesh, number: usize, all: &All, ended: &AtomicBool) {
    for turn in 0.. {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        let id = cases::new_id();
        let is_rare = turn % EVERY == 0;
        let (method, path) = if is_rare { ("POST", RARE) } else { ("GET", "/a/x") };
        let message = cases::request(method, path, &id, 1000);
        let sent = cases::call(mesh, number, id, &message, Duration::from_secs(1));
        let failed = sent.status == 500 && sent.signed;
        all.lock().unwrap_or_else(|e| e.into_inner()).insert(sent.id, (sent.at, failed));
        thread::sleep(Duration::from_millis(15));
    }
}

fn order(mesh: &Mesh) -> Instant {
    let order = format!(
        "{{\"service\":\"one\",\"targetVersion\":\"v2\",\"duration\":{}.0}}",
        DURATION.as_secs()
    );
    let ordered = mesh.store.put("rollout/one", &order);
    mesh.record.say("the operator orders that the service move to v2 within 20 s");
    ordered
}

/// Watches the state of the move; the old backends stop once it is completed.
fn follow(mesh: &Mesh, ordered: Instant) {
    let mut last = String::new();
    while Instant::now() < ordered + DURATION + AFTER {
        thread::sleep(Duration::from_millis(50));
        let Some(status) = mesh.store.status("rollout/one").filter(|status| *status != last) else {
            continue;
        };
        mesh.record.say(&format!("the status of the move: {status}"));
        if status.contains("completed") {
            mesh.backends.iter().take(MACHINES).for_each(Backend::end);
            mesh.record.say("the backends of v1 stop");
        }
        last = status;
    }
}

fn judge(mesh: &Mesh, all: &HashMap<String, (Instant, bool)>, ordered: Instant) -> Verdict {
    let is_new = |backend: &str| {
        let number = backend.trim_start_matches('i').split('-').next();
        number.and_then(|number| number.parse::<usize>().ok()).is_some_and(|n| n >= MACHINES)
    };
    let arrivals = mesh.seen.all();
    let within = arrivals.iter().filter(|a| a.at > ordered && a.at < ordered + DURATION);
    let (total, new) = within.fold((0usize, 0usize), |(total, new), arrival| {
        (total + 1, new + usize::from(is_new(&arrival.backend)))
    });
    let allowed = EXPOSE_SHARE * total as f64 + EXPOSE_SLACK;
    mesh.record.say(&format!(
        "{new} of {total} requests within the time of the order reached v2; {allowed:.0} may reach \
         a bad version"
    ));
    let bad =
        |arrival: &&crate::backend::Arrival| all.get(&arrival.id).is_some_and(|(_, bad)| *bad);
    let mut bad: Vec<Instant> =
        arrivals.iter().filter(|a| is_new(&a.backend)).filter(bad).map(|a| a.at).collect();
    bad.sort_unstable();
    let late = bad.get(BAD_ANSWERS - 1).map_or(0, |fiftieth| {
        let until = *fiftieth + ROLLBACK;
        let sent_late = |id: &str| all.get(id).is_some_and(|(at, _)| *at > until);
        arrivals.iter().filter(|a| is_new(&a.backend) && sent_late(&a.id)).count()
    });
    mesh.record.say(&format!(
        "{} bad answers of v2; {late} requests that were sent over 5 s after the 50th reached it",
        bad.len()
    ));
    if total < 1000 {
        return Err("too few requests reached the service".to_owned());
    }
    // The rule is about bad versions; one without bad answers is none.
    Ok(bad.is_empty() || (new as f64 <= allowed && late == 0))
}
