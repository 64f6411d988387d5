//! CONFIG: two thirds of the machines are lost at once, and the operator changes the configuration.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Behaviour};
use crate::cases::{self, Verdict};
use crate::mesh::{self, Mesh};
use crate::record::Record;

/// Each zone has three machines of the one service.
const ZONES: [(&str, &str); 4] = [("za", "old"), ("zb", "old"), ("zc", "old"), ("zd", "new")];
const MACHINES: usize = 3;

/// Zones, from the first on, in which the machines stay whose nodes read the store least.
const LEAST: usize = 3;

/// Time from the loss of the machines until the operator's change.
const BEFORE_CHANGE: Duration = Duration::from_millis(300);

/// How long clients send after the change was acknowledged.
const WATCH: Duration = Duration::from_secs(9);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let services = ["old", "new"];
    let before =
        mesh::configuration(3, &[cases::route("/a/", "idempotent", "old")], &services, &[]);
    let after = mesh::configuration(5, &[cases::route("/a/", "idempotent", "new")], &services, &[]);
    let mut places: Vec<mesh::Place> = ZONES
        .iter()
        .flat_map(|(zone, service)| [(); MACHINES].map(|()| (zone, service)))
        .map(|(zone, service)| cases::place(zone, service, Behaviour::default()))
        .collect();
    let mesh = Mesh::start(record, &mut places, false, &before, |_, _| ())?;
    let stay = choose_survivors(&mesh);
    if trouble {
        lose_others(&mesh, &stay);
    }
    thread::sleep(BEFORE_CHANGE);
    let acknowledged = mesh.store.publish(&after);
    record.say("the store acknowledges r5, which moves the route from the old service to the new");
    let sent = watch(&mesh, &stay, acknowledged + WATCH);
    judge(&mesh, &stay, &sent, acknowledged)
}

/// One machine of each zone: in the first zones the one whose node reads the operator's records least,
/// in the others one whose node reads them most.
fn choose_survivors(mesh: &Mesh) -> Vec<usize> {
    mesh.store.reset_waits();
    thread::sleep(Duration::from_secs(5));
    let waits: Vec<usize> = (0..mesh.nodes.len()).map(|door| mesh.store.waits(door)).collect();
    mesh.record.say(&format!("reads of the operator's records in 5 s, by node: {waits:?}"));
    let zones = (0..mesh.nodes.len()).step_by(MACHINES);
    let survivor = |first: usize| {
        let machines = first..first + MACHINES;
        let most = machines.clone().max_by_key(|number| waits[*number]);
        if first < LEAST * MACHINES { machines.min_by_key(|number| waits[*number]) } else { most }
    };
    zones.filter_map(survivor).collect()
}

/// Ends the nodes and the backends of all machines but those that `stay`.
fn lose_others(mesh: &Mesh, stay: &[usize]) {
    let lost: Vec<usize> = (0..mesh.nodes.len()).filter(|n| !stay.contains(n)).collect();
    mesh.record.say(&format!("the machines {lost:?} are lost; {stay:?} stay"));
    thread::scope(|scope| {
        for number in lost {
            scope.spawn(move || {
                mesh.nodes[number].kill();
                Backend::end(&mesh.backends[number]);
            });
        }
    });
}

/// Sends requests through the nodes that `stay` until `end`; each with the number of its node.
fn watch(mesh: &Mesh, stay: &[usize], end: Instant) -> Vec<(usize, cases::Sent)> {
    let all: Mutex<Vec<(usize, cases::Sent)>> = Mutex::default();
    thread::scope(|scope| {
        for &number in stay {
            let all = &all;
            scope.spawn(move || {
                while Instant::now() < end {
                    let id = cases::new_id();
                    let message = cases::request("GET", "/a/x", &id, 1000);
                    let sent = cases::call(mesh, number, id, &message, Duration::from_secs(1));
                    all.lock().unwrap_or_else(|e| e.into_inner()).push((number, sent));
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    all.into_inner().unwrap_or_else(|e| e.into_inner())
}

fn judge(
    mesh: &Mesh,
    stay: &[usize],
    sent: &[(usize, cases::Sent)],
    acknowledged: Instant,
) -> Verdict {
    let seen = mesh.seen.all();
    let ran: HashMap<&str, &str> = seen
        .iter()
        .filter(|arrival| arrival.run)
        .map(|arrival| (arrival.id.as_str(), arrival.service.as_str()))
        .collect();
    let ran_at = |sent: &cases::Sent| ran.get(sent.id.as_str()).copied();
    let old = |sent: &&(usize, cases::Sent)| ran_at(&sent.1) == Some("old");
    for number in stay {
        let last = sent.iter().filter(old).filter(|(n, _)| n == number).map(|(_, sent)| sent.at);
        let last =
            last.max().map_or(0.0, |at| at.saturating_duration_since(acknowledged).as_secs_f64());
        mesh.record.say(&format!(
            "node {number}: the last request that ran at the old service was sent {last:.3} s \
             after the acknowledgement"
        ));
    }
    let late = sent.iter().filter(old);
    let late = late.filter(|(_, sent)| sent.at > acknowledged + mesh::CONFIG_APPLY).count();
    let new = sent.iter().filter(|(_, sent)| ran_at(sent) == Some("new")).count();
    mesh.record.say(&format!(
        "{late} requests that were sent over 2 s after it ran at the old service, {new} at the new"
    ));
    if new < 50 {
        return Err("too few requests ran at the new service".to_owned());
    }
    Ok(late == 0)
}
