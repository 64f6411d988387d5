//! LOST: a node is stopped as planned, on a deployment whose `grace` is 10 s, while backends are at
//! work on uploads that it has read. Only answers that no backend made count as broken off.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Behaviour;
use crate::cases::{self, Verdict};
use crate::mesh::{self, Mesh, Route};
use crate::node;
use crate::record::Record;

/// `grace` of the large deployments. A request that its backend still works on in the last sixth of
/// it may be broken off.
const GRACE: Duration = Duration::from_secs(10);

/// How long backends work on an upload, and for how long its client waits.
const WORK: Duration = Duration::from_millis(5500);
const DEADLINE_MS: u64 = 6000;

/// Time between two uploads of the clients on the machine.
const GAP: Duration = Duration::from_millis(150);

/// Time between two looks of the platform at the readiness of a node.
const LOOKS: Duration = Duration::from_secs(1);

/// Uploads until the node is stopped.
const BEFORE: usize = 4;

/// How long the clients send where the node is not stopped.
const CALM: Duration = Duration::from_millis(2500);

/// The node that is stopped, which has no backend of the service beside it.
const STOPPED: usize = 0;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let upload = Route {
        latency_ms: DEADLINE_MS,
        timeout_ms: DEADLINE_MS,
        ..cases::route("/up/", "upload", "intake")
    };
    let configuration = mesh::configuration(3, &[upload], &["intake", "other"], &[]);
    let intake = Behaviour { work: WORK, slots: 18, ..Behaviour::default() };
    let mut places = [
        cases::place("za", "other", Behaviour::default()),
        cases::place("zb", "intake", intake.clone()),
        cases::place("zc", "intake", intake),
    ];
    let mesh = Mesh::start(record, &mut places, false, &configuration, |_, _| ())?;
    let is_in = AtomicBool::new(true);
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    let mut broken = Vec::new();
    thread::scope(|scope| {
        let (mut uploads, mut stopped) = (Vec::new(), None);
        let began = Instant::now();
        while is_in.load(Ordering::SeqCst) && began.elapsed() < CALM + GAP * BEFORE as u32 {
            if uploads.len() == BEFORE && trouble {
                record.say("the node is told to stop, by SIGTERM");
                mesh.nodes[STOPPED].signal(node::SIGTERM);
                stopped = Some(Instant::now());
                scope.spawn(|| look(&mesh, &is_in));
            }
            let mesh = &mesh;
            uploads.push(scope.spawn(move || upload_once(mesh)));
            thread::sleep(GAP);
        }
        for upload in uploads {
            let Ok((sent, ended)) = upload.join() else { continue };
            *statuses.entry(sent.status).or_default() += 1;
            if !sent.signed {
                let since = |at: Instant| {
                    stopped.map_or(0.0, |s: Instant| at.saturating_duration_since(s).as_secs_f64())
                };
                broken.push((sent.id, since(sent.at), since(ended)));
            }
        }
    });
    record.say(&format!("answers to the clients: {statuses:?}"));
    let seen = mesh.seen.all();
    let last_sixth = GRACE.as_secs_f64() * 5.0 / 6.0;
    let mut lost = 0;
    for (id, sent, ended) in &broken {
        let ran = seen.iter().any(|arrival| arrival.run && arrival.id == *id);
        record.say(&format!(
            "{id}, sent {sent:.2} s after the SIGTERM, ended {ended:.2} s after it without the \
             answer of its backend, which {} at work",
            if ran { "was" } else { "was not" }
        ));
        lost += usize::from(ran && *ended < last_sixth);
    }
    record.say(&format!(
        "{lost} uploads were broken off at work, earlier than {last_sixth:.1} s after the SIGTERM"
    ));
    if statuses.values().sum::<usize>() < 10 {
        return Err("too few uploads".to_owned());
    }
    Ok(lost == 0)
}

/// The platform's looks at the readiness of the node; after two misses its clients get no new work.
fn look(mesh: &Mesh, is_in: &AtomicBool) {
    let mut misses = 0;
    while misses < 2 {
        thread::sleep(LOOKS);
        misses = if mesh.is_ready(STOPPED) { 0 } else { misses + 1 };
        mesh.record.line(&format!("readiness of the stopping node: {misses} misses in a row"));
    }
    is_in.store(false, Ordering::SeqCst);
}

/// An upload through the node, and when it ended.
fn upload_once(mesh: &Mesh) -> (cases::Sent, Instant) {
    let id = cases::new_id();
    let message = cases::request("POST", "/up/x", &id, DEADLINE_MS).with_body(vec![b'x'; 60_000]);
    let limit = Duration::from_millis(DEADLINE_MS);
    let sent = cases::call(mesh, STOPPED, id, &message, limit);
    (sent, Instant::now())
}
