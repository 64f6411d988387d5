//! Makes the runs in sequence on one fleet.

use std::fs;
use std::path;
use std::time;

use serde_json::json;

use crate::bench::calls;
use crate::bench::calls::report;
use crate::bench::calls::site;
use crate::bench::fleet;
use crate::bench::load;

/// Time at the start of each run that is not counted.
const WARMUP_SECONDS: f64 = 2.0;
/// Pause between two runs.
const PAUSE: time::Duration = time::Duration::from_secs(2);
/// Calls per second that take no time at the upstream, both through nodes and direct.
const QUICK_RATE: f64 = 50.0;
/// Factor on the time of a call at a slow upstream.
const SLOW_FACTOR: f64 = 5.0;
/// Number of threads of the load through the nodes.
const THREADS: usize = 2;
/// Index of the host whose upstream has the fault.
const FAULTY: usize = 0;
/// Index of the host whose upstream is called directly.
const DIRECT: usize = 1;

/// Makes every run that `args` asks for.
pub(super) async fn all(args: &calls::Args) -> Result<Vec<report::Row>, calls::Error> {
    let file = args.configuration.clone();
    let file = file.unwrap_or_else(|| path::PathBuf::from(args.preset.configuration()));
    let plan = fleet::Plan::new(fleet::Programs::beside()?);
    let plan = plan.zones(4).group(args.preset.group(args.mean)).configuration(&file);
    let mut fleet = fleet::Fleet::start(plan).await?;
    let mut rows = Vec::new();
    for case in site::Case::ALL {
        if args.only.is_none_or(|only| only == case) {
            rows.push(measure(args, case, &mut fleet, &file).await?);
            tokio::time::sleep(PAUSE).await;
        }
    }
    Ok(rows)
}

async fn measure(
    args: &calls::Args,
    case: site::Case,
    fleet: &mut fleet::Fleet,
    file: &path::Path,
) -> Result<report::Row, calls::Error> {
    inject_before(args, case, fleet).await?;
    let capacity = args.preset.upstreams() as f64 * f64::from(site::SLOTS) * 1000.0 / args.mean;
    let rate = capacity * f64::from(case.percent()) / 100.0;
    let entries = fleet.hosts().iter().map(|h| h.id.call_addr()).collect();
    let mut through = plan(args, entries);
    for flow in args.preset.flows(rate) {
        through = through.flow(flow);
    }
    let quick = load::Flow::new("quick", "GET", args.preset.quick(), QUICK_RATE).weight(0);
    let quick = quick.host(site::HOST);
    let through = through.flow(quick.clone()).threads(THREADS);
    let direct = plan(args, vec![fleet.hosts()[DIRECT].upstream_addr()]).flow(quick);
    let (through, direct, ()) = tokio::try_join!(
        async { Ok::<_, calls::Error>(load::drive(through).await?) },
        async { Ok(load::drive(direct).await?) },
        inject_midway(args, case, fleet, file),
    )?;
    repair(case, fleet).await?;
    Ok(report::Row::new(case, capacity * args.seconds, through, direct))
}

fn plan(args: &calls::Args, targets: Vec<std::net::SocketAddr>) -> load::Plan {
    load::Plan::new(targets)
        .seconds(WARMUP_SECONDS + args.seconds)
        .warmup(WARMUP_SECONDS)
        .seed(args.seed)
}

/// Injects a fault that exists from the start of the run.
async fn inject_before(
    args: &calls::Args,
    case: site::Case,
    fleet: &fleet::Fleet,
) -> Result<(), calls::Error> {
    match case {
        site::Case::Slow => {
            let millis = (args.mean * (SLOW_FACTOR - 1.0)) as u64;
            fleet.control(FAULTY, &json!({ "slow_ms": millis })).await?;
        }
        site::Case::Lying => {
            fleet.control(FAULTY, &json!({ "lie": true, "shed": 0.5 })).await?;
        }
        _ => {}
    }
    Ok(())
}

/// Injects a fault or change in the middle of the run.
async fn inject_midway(
    args: &calls::Args,
    case: site::Case,
    fleet: &mut fleet::Fleet,
    file: &path::Path,
) -> Result<(), calls::Error> {
    tokio::time::sleep(time::Duration::from_secs_f64(WARMUP_SECONDS + args.seconds / 2.0)).await;
    match case {
        site::Case::Change => change(fleet, file).await,
        site::Case::Dead => Ok(fleet.kill(FAULTY, fleet::Part::Upstream)?),
        site::Case::Drain => Ok(fleet.control(FAULTY, &json!({ "drain": true })).await?),
        _ => Ok(()),
    }
}

/// Publishes the same configuration with one more space, which makes it a new version.
async fn change(fleet: &fleet::Fleet, file: &path::Path) -> Result<(), calls::Error> {
    let status = fleet.status(FAULTY).await?;
    let base = report::version(&status);
    let mut text = fs::read(file).map_err(|e| calls::Error::File(file.into(), e))?;
    text.push(b' ');
    let copy = fleet.dir().join("changed.json");
    fs::write(&copy, text).map_err(|e| calls::Error::File(copy.clone(), e))?;
    let done = fleet.publish(&copy, base, &[]).await?;
    if done.code == 0 { Ok(()) } else { Err(calls::Error::Publish(done.code, done.stderr)) }
}

/// Ends the fault of the run.
async fn repair(case: site::Case, fleet: &mut fleet::Fleet) -> Result<(), calls::Error> {
    match case {
        site::Case::Slow => fleet.control(FAULTY, &json!({ "slow_ms": 0 })).await?,
        site::Case::Lying => {
            fleet.control(FAULTY, &json!({ "lie": false, "shed": 0.0 })).await?;
        }
        site::Case::Dead => fleet.restart(FAULTY, fleet::Part::Upstream)?,
        _ => {}
    }
    Ok(())
}
