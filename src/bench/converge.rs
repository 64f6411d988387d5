//! `dandelionspool-bench converge` measures how accepted versions reach all nodes.

use std::fs;
use std::time;

use bpaf::Bpaf;
use tokio::runtime;
use tokio::task;

use crate::bench::fleet;
use crate::cli::exit;
use crate::configs;
use crate::delta;
use crate::version;

pub mod baseline;
pub mod report;
pub mod sample;
pub mod source;

/// Time after the start in which the fleet becomes idle before anything is measured.
const STABILIZATION_TIME: time::Duration = time::Duration::from_secs(8);

/// Example configurations, by preset.
const EXAMPLES: [(&str, &str); 2] = [
    ("condor", include_str!("../../examples/configurations/condor.json")),
    ("cascadia", include_str!("../../examples/configurations/cascadia.json")),
];

/// Arguments of `dandelionspool-bench converge`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Nodes to start, each a process
    #[bpaf(argument("COUNT"), fallback(25), display_fallback)]
    pub nodes: usize,
    /// Changes to publish
    #[bpaf(argument("COUNT"), fallback(10), display_fallback)]
    pub changes: usize,
    /// Preset of the settings: condor or cascadia
    #[bpaf(argument("NAME"), fallback(String::from("cascadia")), display_fallback)]
    pub preset: String,
    /// Seconds without changes over which idle traffic is counted
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    pub idle_s: u64,
    /// Seconds from one change to the next
    #[bpaf(argument("SECONDS"), fallback(3), display_fallback)]
    pub period_s: u64,
    /// Print JSON
    pub json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Fails on an unknown preset, or when the fleet does not start or the log does not respond.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| exit::Failure::Refused(e.into()))?;
    let report = task::LocalSet::new().block_on(&runtime, measure(args))?;
    match args.json {
        true => println!("{}", serde_json::to_string(&report).map_err(refused)?),
        false => print!("{}", report.text()),
    }
    Ok(())
}

fn refused(error: impl Into<eyre::Report>) -> exit::Failure {
    exit::Failure::Refused(error.into())
}

fn settings(preset: &str) -> Result<(configs::Node, &'static str), exit::Failure> {
    let example = EXAMPLES.iter().find(|(name, _)| *name == preset);
    let Some((_, example)) = example else {
        return Err(exit::Failure::Input(eyre::eyre!("no preset is called `{preset}`")));
    };
    let spread = match preset {
        "condor" => configs::spread::Spread::condor(),
        _ => configs::spread::Spread::cascadia(),
    };
    Ok((configs::Node { spread, ..configs::Node::default() }, example))
}

async fn measure(args: &Args) -> Result<report::Report, exit::Failure> {
    let (settings, example) = settings(&args.preset)?;
    let file = std::env::temp_dir().join(format!("converge-{}.json", std::process::id()));
    fs::write(&file, example).map_err(refused)?;
    let programs = fleet::Programs::beside().map_err(refused)?;
    let plan = fleet::Plan::new(programs).zones(4).hosts(args.nodes).settings(settings);
    let fleet = fleet::Fleet::start(plan.configuration(&file)).await;
    let _ = fs::remove_file(&file);
    let mut fleet = fleet.map_err(refused)?;
    tokio::time::sleep(STABILIZATION_TIME).await;
    let log = configs::log::Log { address: fleet.log_addr(), ..configs::log::Log::default() };
    let mut operator = source::Operator::new(&log, example).map_err(refused)?;
    let first = sample::statuses(&fleet).await;
    let base = first.iter().flatten().map(|s| s.version).max().unwrap_or_default();
    operator.start_from(version::Version::new(base), example);
    let mut report = spread(args, &fleet, &mut operator).await?;
    for index in 0..args.nodes {
        fleet.kill(index, fleet::Part::Node).map_err(refused)?;
    }
    for kind in [baseline::Kind::Whole, baseline::Kind::New] {
        let changes = args.changes.min(5);
        let baseline = baseline::measure(kind, args.nodes, changes, &log, &mut operator).await;
        report.baselines.push(baseline.map_err(refused)?);
    }
    Ok(report)
}

async fn spread(
    args: &Args,
    fleet: &fleet::Fleet,
    operator: &mut source::Operator,
) -> Result<report::Report, exit::Failure> {
    let nodes = args.nodes as f64;
    let begin = (tokio::time::Instant::now(), sample::sums(fleet, &sample::statuses(fleet).await));
    tokio::time::sleep(time::Duration::from_secs(args.idle_s)).await;
    let middle = (tokio::time::Instant::now(), sample::sums(fleet, &sample::statuses(fleet).await));
    let idle_s = (middle.0 - begin.0).as_secs_f64();
    let idle = middle.1.since(&begin.1);
    let (mut latencies_ms, mut missed, mut delta) = (Vec::new(), 0, 0.0);
    for _ in 0..args.changes {
        let before = operator.body().clone();
        let change = operator.publish().await.map_err(refused)?;
        delta += (delta::diff(Some(&before), &change.body).size() + version::DIGEST_BYTES) as f64;
        tokio::time::sleep(time::Duration::from_secs(args.period_s)).await;
        for status in sample::statuses(fleet).await {
            let runs = status.filter(|s| s.version == change.version.number());
            match runs.and_then(|s| s.applied_unix_ms) {
                Some(millis) => latencies_ms.push(millis.saturating_sub(change.unix_millis)),
                None => missed += 1,
            }
        }
    }
    let end = (tokio::time::Instant::now(), sample::sums(fleet, &sample::statuses(fleet).await));
    let span = (end.0 - middle.0).as_secs_f64();
    let changed = end.1.since(&middle.1).minus(&idle, span / idle_s);
    let changes = args.changes as f64;
    let bytes = |sums: &sample::Sums, by: f64| report::Bytes {
        member: sums.member / by,
        spread: sums.spread / by,
        log: sums.log / by,
        total: (sums.member + sums.spread + sums.log) / by,
    };
    Ok(report::Report {
        preset: args.preset.clone(),
        nodes: args.nodes,
        changes: args.changes,
        missed,
        convergence_ms: report::Quantiles::of(latencies_ms),
        idle_bytes_s: bytes(&idle, idle_s * nodes),
        change_bytes: bytes(&changed, changes * nodes),
        delta_bytes: delta / changes,
        spread_ratio: changed.spread / nodes / delta,
        source_reads: changed.log_reads / changes,
        source_bytes: changed.log_received / changes,
        idle_reads_s: idle.log_reads / idle_s,
        idle_cpu_percent: 100.0 * idle.cpu / idle_s / nodes,
        change_cpu_ms: 1000.0 * changed.cpu / changes / nodes,
        rss_mib: sample::peak(fleet) as f64 / f64::from(1 << 20),
        baselines: Vec::new(),
    })
}
