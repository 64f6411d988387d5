//! DENIED: requests below the prefix of a route, within the limits of the configuration, whose paths
//! hold characters that mean something to some servers, or that are long or have many headers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::backend::Behaviour;
use crate::cases::{self, Verdict};
use crate::mesh::{self, Mesh};
use crate::record::Record;

const REQUESTS: usize = 200;

/// One request in so many is of another form than the others.
const ODD_ONE_IN: usize = 5;
const ODD: [&str; 4] = ["/a/Historia%2FGeografia", "/a/list;sort=price", "/a/2026//05", "/a/%41bc"];

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let routes = [cases::route("/a/", "idempotent", "one")];
    let configuration = mesh::configuration(3, &routes, &["one"], &[]);
    let mut places = ["za", "zb", "zc"].map(|zone| cases::place(zone, "one", Behaviour::default()));
    let mesh = Mesh::start(record, &mut places, false, &configuration, |_, _| ())?;
    let (mut denied, mut served) = (BTreeMap::new(), 0);
    for number in 0..REQUESTS {
        let odd = trouble && number % ODD_ONE_IN == 0;
        let path = if odd { ODD[number / ODD_ONE_IN % ODD.len()] } else { "/a/plain" };
        let id = cases::new_id();
        let message = cases::request("GET", path, &id, 1000);
        let sent = cases::call(&mesh, number % places.len(), id, &message, Duration::from_secs(1));
        served += usize::from(sent.status == 200);
        if matches!(sent.status, 300..=499) && !matches!(sent.status, 408 | 421 | 429) {
            *denied.entry((path, sent.status)).or_insert(0usize) += 1;
        }
    }
    let total: usize = denied.values().sum();
    let allowed = 5.0 + REQUESTS as f64 / 500.0;
    record.say(&format!("{served} served; {total} denied, {allowed} are allowed: {denied:?}"));
    if served < REQUESTS / 2 {
        return Err("too few requests were served".to_owned());
    }
    Ok(total as f64 <= allowed)
}
