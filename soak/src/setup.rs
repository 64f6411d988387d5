//! Sets up a round: the fleet, its configurations and the load of its callers.

use std::fs;
use std::path;

use dandelionspool::bench::fleet;
use dandelionspool::bench::load;
use dandelionspool::configs;
use serde_json::json;

use crate::Error;
use crate::series;

/// Name of the only service.
pub const SERVICE: &str = "shop";

/// Attempts that one call may have. A call that runs more often breaks a promise.
pub const MAX_ATTEMPTS: u32 = 3;

/// Routes of a configuration with many, each with a timeout of its own: more than the 64 kinds that
/// a service may have.
pub const MANY_ROUTES: u64 = 100;

/// Exit code of the publish command for a configuration that is not valid.
pub const INVALID: i32 = 1;

/// Calls that an upstream runs at once.
pub const SLOTS: u16 = 9;

/// Reads a second: enough that each host has some in flight at any time.
const BROWSES_PER_S: f64 = 60.0;
/// Orders a second, half of them with an idempotency key.
const ORDERS_PER_S: f64 = 40.0;
/// Size of an order: more than one flow control window of a connection between nodes.
const ORDER_BYTES: usize = 20_000;
/// Delay above which nodes refuse calls: short, so that faults on a busy machine reach it.
const OVERLOAD_DELAY_MS: u64 = 5;
/// Window in which hosts count as lost at once.
const LOSS_WINDOW_MS: u64 = 3000;
/// Bandwidth of each host's link: orders take a third of it at times.
const LINK_MBPS: f64 = 50.0;
/// Time that callers continue after the last act, in seconds.
const LOAD_AFTER_LAST_ACT_S: f64 = 2.0;

/// Starts the fleet of `shape` with its first configuration.
///
/// # Errors
///
/// A process can't be started or isn't ready in time.
pub async fn start(shape: series::Shape) -> Result<fleet::Fleet, Error> {
    let dir = std::env::temp_dir();
    let file =
        dir.join(format!("dandelionspool-soak-{}-{}.json", std::process::id(), file_number()));
    write_configuration(&file, 0, 0, shape)?;
    let group = fleet::Group::new(SERVICE, shape.hosts).mean_ms(5.0).grace_ms(500);
    let plan = fleet::Plan::new(fleet::Programs::beside()?);
    let plan = plan.group(group).faults().configuration(&file).settings(settings(shape));
    let fleet = fleet::Fleet::start(plan).await;
    fs::remove_file(&file)?;
    Ok(fleet?)
}

/// The settings of the nodes.
fn settings(shape: series::Shape) -> configs::Node {
    let mut settings = configs::Node::default();
    if shape.overload {
        settings.overload.delay_ms = OVERLOAD_DELAY_MS;
        settings.call = configs::call::Call {
            node_delay: true,
            loss_window_ms: LOSS_WINDOW_MS,
            urgent_room: true,
            body_room: true,
            divert_unreachable: true,
            sibling_repeats: true,
            zone_overflow: true,
            ..settings.call
        };
        settings.proxy.link_mbps = LINK_MBPS;
    }
    settings
}

/// A number that differs for each configuration file of this process.
fn file_number() -> u64 {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
}

/// Publishes a configuration that differs by `turn` and has `routes` more routes, based on version
/// `base`. Returns its version.
///
/// # Errors
///
/// The publish command can't be run, or fails.
pub async fn publish(
    fleet: &fleet::Fleet,
    base: u64,
    turn: u64,
    routes: u64,
    shape: series::Shape,
) -> Result<u64, Error> {
    let file = fleet.dir().join(format!("mesh-{turn}.json"));
    write_configuration(&file, turn, routes, shape)?;
    let done = fleet.publish(&file, base, &["--json", "--wait-ms", "20000"]).await?;
    done.version().ok_or(Error::Publish(done.code))
}

/// The load that callers send to every host of `fleet` while `series` is played.
pub fn load(fleet: &fleet::Fleet, series: &series::Series) -> load::Plan {
    // In a planned series callers connect to the nodes directly: the fault proxy would accept
    // connections for a node that has stopped, and then close them.
    let host = |host: &fleet::Host| if series.planned { host.bound } else { host.id };
    let targets = fleet.hosts().iter().map(|h| host(h).call_addr()).collect();
    let order = |name| load::Flow::new(name, "POST", "/orders?bytes=500", ORDERS_PER_S / 2.0);
    let order = |name| order(name).body(ORDER_BYTES).tries(3, 100).deadline_ms(1500);
    load::Plan::new(targets)
        .flow(load::Flow::new("browse", "GET", "/browse?bytes=5000", BROWSES_PER_S))
        .flow(order("order"))
        .flow(order("keyed").keyed(0.2))
        .seconds(series.end_ms() as f64 / 1000.0 + LOAD_AFTER_LAST_ACT_S)
        .seed(series.seed)
        .keep()
}

fn write_configuration(
    file: &path::Path,
    turn: u64,
    routes: u64,
    shape: series::Shape,
) -> Result<(), Error> {
    // Orders are urgent beside reads of a lower priority.
    let priority = |idempotent: bool| u8::from(idempotent && shape.overload);
    let kind = |name, idempotent, body_bytes| {
        json!({ "name": name, "weight": 1, "idempotent": idempotent, "body_bytes": body_bytes,
                "attempts": MAX_ATTEMPTS, "priority": priority(idempotent) })
    };
    let route = |name, path, method| {
        json!({ "name": name, "path": path, "methods": [method], "service": SERVICE,
                "kind": name })
    };
    let mut mesh = json!({
        "format": 3,
        "organisations": [{ "name": "sellers" }, { "name": format!("organisation-{turn}") }],
        "services": [{
            "name": SERVICE, "organisation": "sellers", "timeout_ms": 1500, "queue": 8,
            "kinds": [kind("browse", true, 1000), kind("order", false, 100_000)]
        }],
        "upstreams": [{
            "name": SERVICE, "service": SERVICE, "slots": SLOTS, "connections": 130, "warmup_ms": 0
        }],
        "routes": [route("browse", "/browse", "GET"), route("order", "/orders", "POST")]
    });
    if routes > 0 {
        mesh["format"] = json!(6);
        mesh["open"] = json!(true);
        let more = (0..routes).map(|number| {
            json!({ "name": format!("more-{number}"), "path": format!("/more/{number}"),
                    "service": SERVICE, "kind": "browse", "timeout_ms": 1000 + number })
        });
        if let Some(all) = mesh["routes"].as_array_mut() {
            all.extend(more);
        }
    }
    Ok(fs::write(file, mesh.to_string())?)
}
