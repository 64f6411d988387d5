//! DENIED: clients leave before their deadline, and their backends, which do not drop a request when
//! its connection closes, make the calls that they need after that.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::backend::{Behaviour, Inner};
use crate::cases::{self, Verdict};
use crate::client::{self, Left};
use crate::mesh::{self, Mesh, Route, Tenant};
use crate::record::Record;

const TENANT: Tenant = Tenant { name: "pulo780", rate: 0, burst: 0 };

const REQUESTS: usize = 200;
const GAP: Duration = Duration::from_millis(60);

/// One client in so many leaves, after half of the objective of its requests.
const LEAVES_ONE_IN: usize = 5;
const OBJECTIVE_MS: u64 = 500;
const DEADLINE_MS: u64 = 1200;

/// How long a backend works, and when it makes its call.
const WORK: Duration = Duration::from_millis(400);
const CALLS_AFTER: Duration = Duration::from_millis(320);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let booking = Route {
        latency_ms: OBJECTIVE_MS,
        timeout_ms: DEADLINE_MS,
        ..cases::route("/book/", "non_idempotent", "dispatch")
    };
    let check = Route {
        latency_ms: 120,
        timeout_ms: 400,
        ..cases::route("/check/", "idempotent", "ledger")
    };
    let services = ["dispatch", "ledger"];
    let configuration = mesh::configuration(3, &[booking, check], &services, &[TENANT]);
    let dispatch = Behaviour { work: WORK, drops: false, ..Behaviour::default() };
    let mut places = [
        cases::place("west", "dispatch", dispatch.clone()),
        cases::place("east", "dispatch", dispatch),
        cases::place("south", "ledger", Behaviour::default()),
    ];
    let mesh = Mesh::start(record, &mut places, true, &configuration, |outbound, place| {
        if place.service == "dispatch" {
            place.behaviour.inner = Some(Inner { outbound, path: "/check/x", after: CALLS_AFTER });
        }
    })?;
    let outcomes: Mutex<BTreeMap<String, usize>> = Mutex::default();
    thread::scope(|scope| {
        for number in 0..REQUESTS {
            let (mesh, outcomes) = (&mesh, &outcomes);
            let leaves = trouble && number % LEAVES_ONE_IN == 0;
            scope.spawn(move || {
                let outcome = book(mesh, number % mesh.nodes.len(), leaves);
                let mut outcomes = outcomes.lock().unwrap_or_else(|e| e.into_inner());
                *outcomes.entry(outcome).or_default() += 1;
            });
            thread::sleep(GAP);
        }
    });
    thread::sleep(Duration::from_secs(1));
    let outcomes = outcomes.into_inner().unwrap_or_else(|e| e.into_inner());
    record.say(&format!("the clients' requests: {outcomes:?}"));
    judge(&mesh)
}

/// A client's request through the node `number`; returns what became of it.
fn book(mesh: &Mesh, number: usize, leaves: bool) -> String {
    let id = cases::new_id();
    let message = cases::request("POST", "/book/x", &id, DEADLINE_MS)
        .with("Authorization", &format!("Bearer key-of-{}", TENANT.name))
        .with_body("one crew");
    let patience = Duration::from_millis(if leaves { OBJECTIVE_MS / 2 } else { DEADLINE_MS });
    let outcome = match client::exchange_or_leave(mesh.nodes[number].outbound(), &message, patience)
    {
        Left::Answered(answer) => format!("answered {}", answer.status()),
        Left::At(_) => "the client has left".to_owned(),
        Left::Failed => "no answer".to_owned(),
    };
    mesh.record.line(&format!("{id} through node {number}: {outcome}"));
    outcome
}

fn judge(mesh: &Mesh) -> Verdict {
    let inner = mesh.seen.inner_calls();
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    inner.iter().for_each(|status| *statuses.entry(*status).or_default() += 1);
    let denied = inner.iter().filter(|status| matches!(status, 401 | 403 | 404)).count();
    let requests = REQUESTS + inner.len();
    let allowed = 5.0 + requests as f64 / 500.0;
    mesh.record.say(&format!(
        "the calls of backends by status: {statuses:?}; {denied} of {requests} requests were \
         denied, {allowed:.1} are allowed"
    ));
    if inner.len() < REQUESTS / 2 {
        return Err("too few calls of backends".to_owned());
    }
    Ok(denied as f64 <= allowed)
}
