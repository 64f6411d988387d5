//! QUOTA: the node that keeps the account of a tenant freezes for four seconds, in the midst of the
//! tenant's traffic.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Behaviour;
use crate::cases::{self, Verdict};
use crate::mesh::{self, Mesh, Place, Tenant};
use crate::node::{SIGCONT, SIGSTOP};
use crate::record::Record;

const TENANT: Tenant = Tenant { name: "pulo780", rate: 50, burst: 200 };

/// `quotaWindow`, `quotaOver` and `quotaSlack` of the deployments with tenants.
const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;

const FREEZE: Duration = Duration::from_secs(4);

/// Time from the first request of the busy phase until the freeze.
const BEFORE_FREEZE: Duration = Duration::from_millis(300);

/// Busy phases of a run, in each of which the node freezes.
const ROUNDS: usize = 3;

/// Clients at each node in the busy phase, and the pause of each between two requests.
const CLIENTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(60);
const BUSY: Duration = Duration::from_secs(10);

const LIMIT: Duration = Duration::from_secs(2);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let routes = [cases::route("/a/", "non_idempotent", "ledger")];
    let configuration = mesh::configuration(3, &routes, &["ledger"], &[TENANT]);
    let quick = Behaviour { work: Duration::from_millis(5), slots: 18, ..Behaviour::default() };
    let zones = ["west", "west", "east", "east", "south", "south"];
    let mut places = zones.map(|zone| cases::place(zone, "ledger", quick.clone()));
    let mesh = Mesh::start(record, &mut places, true, &configuration, |_, _| ())?;
    let holder = find_holder(&mesh, &places)?;
    let mut held = true;
    for round in 1..=ROUNDS {
        // The tenant rests until its burst is whole again.
        thread::sleep(Duration::from_secs(TENANT.burst / TENANT.rate + 2));
        record.say(&format!(
            "round {round}: clients send more than the tenant may; node {holder} keeps its account"
        ));
        let sent = be_busy(&mesh, holder, trouble);
        held &= judge(&mesh, &sent)?;
    }
    Ok(held)
}

/// Whether the tenant kept to its limit in a round.
fn judge(mesh: &Mesh, sent: &HashMap<String, cases::Sent>) -> Verdict {
    let most = most_in_window(mesh, sent);
    let allowed = (TENANT.rate * WINDOW.as_secs() + TENANT.burst) as f64 * (1.0 + OVER) + SLACK;
    let served = sent.values().filter(|sent| sent.status == 200).count();
    mesh.record.say(&format!(
        "{} requests were sent and {served} served; at most {most} were sent and run within 5 s, \
         {allowed} are allowed",
        sent.len()
    ));
    if served < 300 {
        return Err("too few requests were served".to_owned());
    }
    Ok(most as f64 <= allowed)
}

fn call(mesh: &Mesh, number: usize) -> cases::Sent {
    let id = cases::new_id();
    let message = cases::request("POST", "/a/x", &id, 2000)
        .with("Authorization", &format!("Bearer key-of-{}", TENANT.name))
        .with_body("an entry");
    cases::call(mesh, number, id, &message, LIMIT)
}

/// The node that answers most requests for credits while there is traffic below the limit.
fn find_holder(mesh: &Mesh, places: &[Place]) -> Result<usize, String> {
    for turn in 0..40 {
        call(mesh, turn % places.len());
        thread::sleep(Duration::from_millis(50));
    }
    let counts: Vec<u64> = (0..places.len())
        .map(|number| mesh.metric(number, "dandelionspool_quota_answered_total"))
        .collect();
    mesh.record.say(&format!("requests for credits that each node has answered: {counts:?}"));
    let holder = (0..counts.len()).max_by_key(|number| counts[*number]);
    holder.filter(|number| counts[*number] > 0).ok_or("no node keeps the account".to_owned())
}

/// Sends more than is allowed through all nodes but `holder`, which freezes meanwhile.
fn be_busy(mesh: &Mesh, holder: usize, trouble: bool) -> HashMap<String, cases::Sent> {
    let all: Mutex<HashMap<String, cases::Sent>> = Mutex::default();
    let end = Instant::now() + BUSY;
    thread::scope(|scope| {
        let numbers = (0..mesh.nodes.len()).filter(|number| *number != holder);
        for number in numbers.flat_map(|number| [number; CLIENTS]) {
            let all = &all;
            scope.spawn(move || {
                while Instant::now() < end {
                    let sent = call(mesh, number);
                    all.lock().unwrap_or_else(|e| e.into_inner()).insert(sent.id.clone(), sent);
                    thread::sleep(PAUSE);
                }
            });
        }
        if trouble {
            thread::sleep(BEFORE_FREEZE);
            mesh.record.say(&format!("node {holder} freezes"));
            mesh.nodes[holder].signal(SIGSTOP);
            thread::sleep(FREEZE);
            mesh.nodes[holder].signal(SIGCONT);
            mesh.record.say(&format!("node {holder} wakes"));
        }
    });
    all.into_inner().unwrap_or_else(|e| e.into_inner())
}

/// The most requests that were both sent and run within any window.
fn most_in_window(mesh: &Mesh, sent: &HashMap<String, cases::Sent>) -> usize {
    let seen = mesh.seen.all();
    let runs = seen.iter().filter(|arrival| arrival.run);
    let runs: Vec<(Instant, Instant)> =
        runs.filter_map(|arrival| Some((sent.get(&arrival.id)?.at, arrival.at))).collect();
    let within = |begin: &Instant| {
        let end = *begin + WINDOW;
        runs.iter().filter(|(sent, ran)| sent >= begin && *ran < end).count()
    };
    runs.iter().map(|(begin, _)| within(begin)).max().unwrap_or(0)
}
