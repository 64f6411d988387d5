//! MIXED, a probe: answers that are cut and filled up by a copy of another answer.

use std::sync::Arc;
use std::time::Duration;

use crate::backend::Behaviour;
use crate::cases::{self, Verdict};
use crate::client;
use crate::mesh::{self, Mesh, Place};
use crate::record::Record;

const SHORT: usize = 600;
const LONG: usize = 400_000;

/// One answer of so many is spoilt.
const EVERY: usize = 10;

/// Requests of each form.
const REQUESTS: usize = 200;

/// A form of answers: path and service, length of the bodies, whether they close their connection.
const FORMS: [(&str, &str, usize, bool); 4] = [
    ("/short/", "short", SHORT, false),
    ("/short-close/", "short-close", SHORT, true),
    ("/long/", "long", LONG, false),
    ("/long-close/", "long-close", LONG, true),
];

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let routes = FORMS.map(|(path, service, ..)| cases::route(path, "idempotent", service));
    let services = FORMS.map(|(_, service, ..)| service);
    let configuration = mesh::configuration(3, &routes, &services, &[]);
    let mut places = FORMS.map(|form| place(form, trouble));
    let mesh = Mesh::start(record, &mut places, false, &configuration, |_, _| ())?;
    let wrong: usize = FORMS.iter().map(|form| count_wrong(&mesh, *form)).sum();
    Ok(wrong == 0)
}

fn place((_, service, length, closes): (&str, &'static str, usize, bool), trouble: bool) -> Place {
    let cuts = trouble.then_some(EVERY);
    let behaviour = Behaviour { body: Some(length), closes, cuts, ..Behaviour::default() };
    cases::place("za", service, behaviour)
}

/// How many successes have a body that is not the backend's.
fn count_wrong(mesh: &Mesh, (path, service, length, _): (&str, &str, usize, bool)) -> usize {
    let (mut whole, mut wrong, mut other) = (0, 0, 0);
    for number in 0..REQUESTS {
        let id = cases::new_id();
        let message = cases::request("GET", path, &id, 1000);
        let address = mesh.nodes[number % mesh.nodes.len()].outbound();
        let answer = client::exchange(address, &message, Duration::from_secs(1));
        let body = answer.ok().filter(|answer| answer.status() == 200).map(|answer| answer.body);
        match body {
            Some(body) if body.iter().copied().eq(id.bytes().cycle().take(length)) => whole += 1,
            Some(body) => {
                wrong += 1;
                let text = String::from_utf8_lossy(&body[..body.len().min(SHORT)]).into_owned();
                mesh.record.line(&format!("{id} is answered 200 with the wrong body {text:?}..."));
            }
            None => other += 1,
        }
    }
    mesh.record.say(&format!(
        "{service}: {whole} whole answers, {wrong} successes with a wrong body, {other} others"
    ));
    wrong
}
