//! LIMIT: the node beside a backend that names its limit is killed while the service is quiet.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Behaviour;
use crate::cases::{self, Verdict};
use crate::mesh::{self, Mesh};
use crate::record::Record;

/// The limit that the backend names in each answer, in requests a second.
const LIMIT: &str = "1.0";

/// What it may get in `WINDOW`: one and a half times what the limit allows, and five.
const ALLOWED: usize = 11;
const WINDOW: Duration = Duration::from_secs(4);

const SLOTS: usize = 18;
const WORK: Duration = Duration::from_millis(400);

/// How long no request comes.
const QUIET: Duration = Duration::from_secs(12);

/// Clients at each of three machines that come at once after that.
const CLIENTS: usize = 15;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let routes = [cases::route("/a/", "idempotent", "one")];
    let configuration = mesh::configuration(3, &routes, &["one", "two"], &[]);
    let needy = Behaviour { work: WORK, slots: SLOTS, limit: Some(LIMIT), ..Behaviour::default() };
    let mut places = [
        cases::place("za", "one", needy),
        cases::place("za", "two", Behaviour::default()),
        cases::place("zb", "two", Behaviour::default()),
        cases::place("zc", "two", Behaviour::default()),
    ];
    let mesh = Mesh::start(record, &mut places, false, &configuration, |_, _| ())?;
    let mut served = [0; 4];
    for turn in 0..9 {
        let number = turn % 3 + 1;
        served[number] += usize::from(call(&mesh, number) == 200);
        thread::sleep(Duration::from_millis(1200));
    }
    record.say(&format!("calls served by node: {served:?}; the backend names the limit {LIMIT}"));
    if served[1..].contains(&0) {
        return Err("a node has passed on no answer with the limit".to_owned());
    }
    record.say("the service is quiet");
    thread::sleep(QUIET);
    if trouble {
        record.say("the node beside the backend is killed, and starts again");
        mesh.nodes[0].kill();
        thread::sleep(Duration::from_millis(500));
        mesh.nodes[0].launch(false);
    }
    mesh.wait_ready(&[0, 1, 2, 3], Duration::from_secs(20))?;
    thread::sleep(mesh::STABLE_WINDOW + Duration::from_secs(2));
    record.say("clients come at once");
    let before = mesh.seen.all().len();
    thread::scope(|scope| {
        for number in [1, 2, 3].into_iter().flat_map(|number| [number; CLIENTS]) {
            let mesh = &mesh;
            scope.spawn(move || call(mesh, number));
        }
    });
    thread::sleep(Duration::from_secs(2));
    let most = most_in_window(&mesh, before);
    record.say(&format!("the backend got at most {most} requests in 4 s; {ALLOWED} are allowed"));
    Ok(most <= ALLOWED)
}

fn call(mesh: &Mesh, number: usize) -> u16 {
    let id = cases::new_id();
    let message = cases::request("GET", "/a/x", &id, 3000);
    cases::call(mesh, number, id, &message, Duration::from_secs(3)).status
}

/// The most arrivals at the backend within any window, without the first `skipped` of all.
fn most_in_window(mesh: &Mesh, skipped: usize) -> usize {
    let seen = mesh.seen.all();
    let arrivals = seen[skipped..].iter().filter(|arrival| arrival.service == "one");
    let arrivals: Vec<Instant> = arrivals.map(|arrival| arrival.at).collect();
    let within = |begin: &Instant| {
        let end = *begin + WINDOW;
        arrivals.iter().filter(|at| *at >= begin && **at < end).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}
