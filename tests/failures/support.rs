//! Helpers of the tests of failures: programs, configurations, records and waiting.

use std::collections;
use std::fs;
use std::path;
use std::time;

use dandelionspool::bench::fleet;
use dandelionspool::bench::load;
use dandelionspool::standin::upstream::record;
use serde_json::json;
use smol_str::SmolStr;

/// Time after which a test that waits for a condition fails.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// The programs as cargo built them for this test.
pub fn programs() -> fleet::Programs {
    fleet::Programs {
        node: path::PathBuf::from(env!("CARGO_BIN_EXE_dandelionspool")),
        bench: path::PathBuf::from(env!("CARGO_BIN_EXE_dandelionspool-bench")),
    }
}

/// A configuration with the service `shop` and, if `desk` is set, also `desk`, to which the routes
/// then lead. `number` makes it differ from others.
pub fn configuration(desk: bool, number: u64) -> serde_json::Value {
    let target = if desk { "desk" } else { "shop" };
    let mut names = vec!["shop"];
    if desk {
        names.push("desk");
    }
    let services: Vec<_> = names.iter().map(|name| service(name)).collect();
    let upstreams: Vec<_> = names.iter().map(|name| class(name)).collect();
    let route = |name: &str, path: &str, methods: &[&str]| {
        json!({ "name": name, "path": path, "methods": methods, "service": target,
                "kind": name })
    };
    json!({
        "format": 1,
        "teams": [{ "name": "sellers" }, { "name": format!("team-{number}") }],
        "services": services,
        "upstreams": upstreams,
        "routes": [route("browse", "/browse", &["GET"]), route("order", "/orders", &["POST"])],
    })
}

fn service(name: &str) -> serde_json::Value {
    json!({
        "name": name, "team": "sellers", "timeout_ms": 3000, "queue": 8, "retry_percent": 20,
        "objectives": {
            "availability": 0.999, "latency_ms": 200, "latency_share": 0.99, "window_days": 28
        },
        "kinds": [
            { "name": "browse", "weight": 1, "idempotent": true, "body_bytes": 1000 },
            { "name": "order", "weight": 20, "idempotent": false, "body_bytes": 100_000 }
        ]
    })
}

fn class(name: &str) -> serde_json::Value {
    json!({ "name": name, "service": name, "slots": 9, "connections": 130, "warmup_ms": 0 })
}

/// Writes a configuration to the file `name` in `dir`. Returns its path.
pub fn write(dir: &path::Path, name: &str, value: &serde_json::Value) -> path::PathBuf {
    let file = dir.join(name);
    fs::write(&file, value.to_string()).unwrap();
    file
}

/// Publishes `value`, based on version `base`. Returns its version.
pub async fn publish(fleet: &fleet::Fleet, base: u64, value: &serde_json::Value) -> u64 {
    let file = write(fleet.dir(), &format!("mesh-{base}.json"), value);
    let done = fleet.publish(&file, base, &["--json", "--wait-ms", "30000"]).await.unwrap();
    assert_eq!(done.code, 0, "{done:?}");
    done.version().unwrap()
}

/// Starts a fleet with its first configuration. Returns it with the version that all nodes run.
pub async fn start(plan: fleet::Plan) -> (fleet::Fleet, u64) {
    let dir = std::env::temp_dir();
    let name = format!("dandelionspool-first-{}-{:p}.json", std::process::id(), &plan);
    let file = write(&dir, &name, &configuration(false, 0));
    let fleet = fleet::Fleet::start(plan.configuration(&file)).await;
    fs::remove_file(file).unwrap();
    (fleet.unwrap(), 1)
}

/// Version that the node of host `index` runs; `None` if it does not answer.
pub async fn version(fleet: &fleet::Fleet, index: usize) -> Option<u64> {
    fleet.status(index).await.ok()?["version"].as_u64()
}

/// Waits until the node of each of `hosts` runs `wanted` or a later version.
pub async fn until_version(fleet: &fleet::Fleet, hosts: &[usize], wanted: u64) {
    let deadline = time::Instant::now() + TIMEOUT;
    for index in hosts {
        loop {
            let now = version(fleet, *index).await;
            if now >= Some(wanted) {
                break;
            }
            assert!(time::Instant::now() < deadline, "host {index} runs {now:?}, not {wanted}");
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    }
}

/// Waits until every node reports `count` serving upstreams of `service`.
pub async fn until_serving(fleet: &fleet::Fleet, service: &str, count: u64) {
    let deadline = time::Instant::now() + TIMEOUT;
    for host in fleet.hosts() {
        loop {
            let status = fleet.status(host.index).await.ok();
            let seen = status.and_then(|s| s["upstreams"][service]["serving"].as_u64());
            if seen == Some(count) {
                break;
            }
            assert!(
                time::Instant::now() < deadline,
                "host {} sees {seen:?} serving upstreams",
                host.index
            );
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    }
}

/// Records of all upstreams of the fleet.
pub async fn records(fleet: &fleet::Fleet) -> Vec<record::Record> {
    let mut records = Vec::new();
    for host in fleet.hosts().iter().filter(|host| host.group.is_some()) {
        records.push(fleet.record(host.index).await.unwrap());
    }
    records
}

/// Checks the results that callers received against the calls that upstreams ran.
pub fn check_results(results: &[load::TryResult], records: &[record::Record]) {
    let mut starts: collections::HashMap<&SmolStr, u32> = collections::HashMap::new();
    let mut keys: collections::HashMap<&SmolStr, u32> = collections::HashMap::new();
    let mut upstreams: collections::HashMap<&SmolStr, Vec<usize>> = collections::HashMap::new();
    for (upstream, record) in records.iter().enumerate() {
        assert_eq!(record.lost, 0);
        for (id, run) in &record.runs {
            *starts.entry(id).or_default() += run.starts;
        }
        for (key, count) in &record.keys {
            *keys.entry(key).or_default() += count;
            upstreams.entry(key).or_default().push(upstream);
        }
    }
    let twice: Vec<_> = keys.iter().filter(|(_, count)| **count > 1).collect();
    let where_ran: Vec<_> = twice.iter().map(|(key, _)| (key, &upstreams[*key])).collect();
    assert!(
        twice.is_empty(),
        "{} keys ran more than once, at upstreams {where_ran:?}",
        twice.len()
    );
    let false_not_run: Vec<_> = results
        .iter()
        .filter(|r| matches!(r.outcome, load::Outcome::NotRun | load::Outcome::Connect))
        .filter(|r| starts.contains_key(&r.id))
        .collect();
    assert!(
        false_not_run.is_empty(),
        "{} calls ran though reported as not run: {:?}",
        false_not_run.len(),
        false_not_run.first()
    );
    let wrong = results.iter().find(|r| r.outcome == load::Outcome::Wrong);
    assert!(
        wrong.is_none(),
        "an incomplete or foreign answer was taken for a complete one: {wrong:?}"
    );
    let never_ran = results
        .iter()
        .filter(|r| r.outcome == load::Outcome::Served)
        .find(|r| !starts.contains_key(&r.id) && !ran_by_key(r, &keys));
    assert!(never_ran.is_none(), "served without a run: {never_ran:?}");
}

fn ran_by_key(result: &load::TryResult, keys: &collections::HashMap<&SmolStr, u32>) -> bool {
    result.key.as_ref().is_some_and(|key| keys.contains_key(key))
}
