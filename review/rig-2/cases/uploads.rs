//! GONE: clients of large uploads leave while their upload waits for a slot.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Behaviour;
use crate::cases::{self, Verdict};
use crate::client::{self, Left};
use crate::mesh::{self, Mesh, Route};
use crate::record::Record;

/// Waves of uploads that come at once; half of each can run at once.
const WAVES: usize = 12;
const UPLOADS: usize = 36;
const BETWEEN_WAVES: Duration = Duration::from_secs(4);

/// One client in so many leaves, after this time.
const LEAVES_ONE_IN: usize = 5;
const PATIENCE: Duration = Duration::from_millis(300);

const BYTES: usize = 2 << 20;
const WORK: Duration = Duration::from_millis(1500);
const DEADLINE_MS: u64 = 6000;

/// Late arrivals that still count as a few.
const A_FEW: usize = 5;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let upload = Route {
        latency_ms: 4000,
        timeout_ms: DEADLINE_MS,
        ..cases::route("/up/", "upload", "intake")
    };
    let configuration = mesh::configuration(3, &[upload], &["intake"], &[]);
    let intake = Behaviour { work: WORK, ..Behaviour::default() };
    let mut places = ["za", "zb"].map(|zone| cases::place(zone, "intake", intake.clone()));
    let mesh = Mesh::start(record, &mut places, false, &configuration, |_, _| ())?;
    let left: Mutex<HashMap<String, Instant>> = Mutex::default();
    let outcomes: Mutex<BTreeMap<String, usize>> = Mutex::default();
    thread::scope(|scope| {
        for wave in 0..WAVES {
            for number in 0..UPLOADS {
                let (mesh, left, outcomes) = (&mesh, &left, &outcomes);
                // Another part of each wave leaves.
                let leaves = trouble && (number + wave) % LEAVES_ONE_IN == 0;
                scope.spawn(move || {
                    let (id, outcome, at) = send(mesh, number % mesh.nodes.len(), leaves);
                    left.lock().unwrap_or_else(|e| e.into_inner()).extend(at.map(|at| (id, at)));
                    let mut outcomes = outcomes.lock().unwrap_or_else(|e| e.into_inner());
                    *outcomes.entry(outcome).or_default() += 1;
                });
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(BETWEEN_WAVES);
        }
    });
    let left = left.into_inner().unwrap_or_else(|e| e.into_inner());
    let outcomes = outcomes.into_inner().unwrap_or_else(|e| e.into_inner());
    record.say(&format!("the clients' uploads: {outcomes:?}"));
    let late: Vec<f64> = mesh
        .seen
        .all()
        .iter()
        .filter_map(|arrival| {
            Some(arrival.at.saturating_duration_since(*left.get(&arrival.id)?).as_secs_f64())
        })
        .filter(|late| *late > 0.5)
        .collect();
    record.say(&format!(
        "{} uploads reached a backend over half a second after their client had left: {late:.2?}",
        late.len()
    ));
    Ok(late.len() <= A_FEW)
}

/// An upload through the node `number`: its id, what became of it, and when its client left.
fn send(mesh: &Mesh, number: usize, leaves: bool) -> (String, String, Option<Instant>) {
    let id = cases::new_id();
    let message = cases::request("POST", "/up/x", &id, DEADLINE_MS).with_body(vec![b'x'; BYTES]);
    let patience = if leaves { PATIENCE } else { Duration::from_millis(DEADLINE_MS) };
    let result = client::exchange_or_leave(mesh.nodes[number].outbound(), &message, patience);
    let (outcome, at) = match result {
        Left::Answered(answer) => (format!("answered {}", answer.status()), None),
        Left::At(at) => ("the client has left".to_owned(), Some(at)),
        Left::Failed => ("no answer".to_owned(), None),
    };
    mesh.record.line(&format!("{id} through node {number}: {outcome}"));
    (id, outcome, at)
}
