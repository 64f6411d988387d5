//! Makes the runs, one after the other, on one fleet.

use std::fs;
use std::path;
use std::time;

use serde_json::json;

use crate::bench::calls;
use crate::bench::calls::report;
use crate::bench::calls::site;
use crate::bench::fleet;
use crate::bench::load;

/// Time before each run that is not counted, in seconds.
const WARMUP: f64 = 2.0;
/// Pause between two runs.
const PAUSE: time::Duration = time::Duration::from_secs(2);
/// Calls a second that take no time at the upstream, through nodes and direct alike.
const QUICK: f64 = 50.0;
/// How many times longer a slow upstream takes.
const SLOW: f64 = 5.0;
/// Threads of the load.
const THREADS: usize = 2;
/// The upstream that has the fault.
const HIT: usize = 0;
/// The upstream that is called directly.
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
            rows.push(one(args, case, &mut fleet, &file).await?);
            tokio::time::sleep(PAUSE).await;
        }
    }
    Ok(rows)
}

async fn one(
    args: &calls::Args,
    case: site::Case,
    fleet: &mut fleet::Fleet,
    file: &path::Path,
) -> Result<report::Row, calls::Error> {
    before(args, case, fleet).await?;
    let capacity = args.preset.upstreams() as f64 * f64::from(site::SLOTS) * 1000.0 / args.mean;
    let rate = capacity * f64::from(case.percent()) / 100.0;
    let entries = fleet.hosts().iter().map(|h| h.id.call_addr()).collect();
    let mut through = plan(args, entries);
    for flow in args.preset.flows(rate) {
        through = through.flow(flow);
    }
    let quick = load::Flow::new("quick", "GET", args.preset.quick(), QUICK).weight(0);
    let quick = quick.host(site::HOST);
    let through = through.flow(quick.clone()).threads(THREADS);
    let direct = plan(args, vec![fleet.hosts()[DIRECT].upstream_addr()]).flow(quick);
    let (through, direct, ()) = tokio::try_join!(
        async { Ok::<_, calls::Error>(load::drive(through).await?) },
        async { Ok(load::drive(direct).await?) },
        middle(args, case, fleet, file),
    )?;
    after(case, fleet).await?;
    Ok(report::Row::new(case, capacity * args.seconds, through, direct))
}

fn plan(args: &calls::Args, targets: Vec<std::net::SocketAddr>) -> load::Plan {
    load::Plan::new(targets).seconds(WARMUP + args.seconds).warmup(WARMUP).seed(args.seed)
}

/// Brings about a fault that is there from the start.
async fn before(
    args: &calls::Args,
    case: site::Case,
    fleet: &fleet::Fleet,
) -> Result<(), calls::Error> {
    match case {
        site::Case::Slow => {
            let millis = (args.mean * (SLOW - 1.0)) as u64;
            fleet.control(HIT, &json!({ "slow_ms": millis })).await?;
        }
        site::Case::Lying => {
            fleet.control(HIT, &json!({ "lie": true, "shed": 0.5 })).await?;
        }
        _ => {}
    }
    Ok(())
}

/// Brings about what happens in the middle of a run.
async fn middle(
    args: &calls::Args,
    case: site::Case,
    fleet: &mut fleet::Fleet,
    file: &path::Path,
) -> Result<(), calls::Error> {
    tokio::time::sleep(time::Duration::from_secs_f64(WARMUP + args.seconds / 2.0)).await;
    match case {
        site::Case::Change => change(fleet, file).await,
        site::Case::Dead => Ok(fleet.kill(HIT, fleet::Part::Upstream)?),
        site::Case::Drain => Ok(fleet.control(HIT, &json!({ "drain": true })).await?),
        _ => Ok(()),
    }
}

/// Publishes the same configuration with one more blank, which is a new version.
async fn change(fleet: &fleet::Fleet, file: &path::Path) -> Result<(), calls::Error> {
    let status = fleet.status(HIT).await?;
    let base = report::version(&status);
    let mut text = fs::read(file).map_err(|e| calls::Error::File(file.into(), e))?;
    text.push(b' ');
    let copy = fleet.dir().join("changed.json");
    fs::write(&copy, text).map_err(|e| calls::Error::File(copy.clone(), e))?;
    let done = fleet.publish(&copy, base, &[]).await?;
    if done.code == 0 { Ok(()) } else { Err(calls::Error::Publish(done.code, done.stderr)) }
}

/// Takes a fault back.
async fn after(case: site::Case, fleet: &mut fleet::Fleet) -> Result<(), calls::Error> {
    match case {
        site::Case::Slow => fleet.control(HIT, &json!({ "slow_ms": 0 })).await?,
        site::Case::Lying => {
            fleet.control(HIT, &json!({ "lie": false, "shed": 0.0 })).await?;
        }
        site::Case::Dead => fleet.restart(HIT, fleet::Part::Upstream)?,
        _ => {}
    }
    Ok(())
}
