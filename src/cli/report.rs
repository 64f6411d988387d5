//! `dandelionspool report` reports on service levels and usage.

use std::fs;
use std::net;
use std::path;
use std::sync::Arc;
use std::time;

use bpaf::Bpaf;
use serde::Serialize;

use crate::burn::{self, plot, report};
use crate::cli::{ask, exit};
use crate::configs;
use crate::logs::{self, Service as _};
use crate::usage::sum;

const HOUR_MS: u64 = 3_600_000;

/// Maximum number of records in one read.
const BATCH_RECORDS: u32 = 256;

/// Arguments of `dandelionspool report`.
#[derive(Bpaf, Clone, Debug)]
pub enum Args {
    /// Burn rates and remaining budget of each service-level objective, worst first
    #[bpaf(command)]
    Burn(#[bpaf(external(burn_args))] BurnArgs),
    /// Charges of each organisation, by kind and period
    #[bpaf(command)]
    Usage(#[bpaf(external(usage_args))] UsageArgs),
}

/// Arguments of `dandelionspool report burn`.
#[derive(Bpaf, Clone, Debug)]
pub struct BurnArgs {
    /// Operators' port of any node, such as 127.0.0.1:7104
    #[bpaf(argument("ADDRESS"))]
    pub node: net::SocketAddr,
    /// Print JSON
    pub json: bool,
    /// Also write a plot to an SVG file
    #[bpaf(argument("FILE"), optional)]
    pub plot: Option<path::PathBuf>,
}

/// Arguments of `dandelionspool report usage`.
#[derive(Bpaf, Clone, Debug)]
pub struct UsageArgs {
    /// Address of the log service, such as 127.0.0.1:7000
    #[bpaf(argument("ADDRESS"))]
    pub log: net::SocketAddr,
    /// Length of a period, in hours
    #[bpaf(argument("HOURS"), fallback(24), guard(|&h| h > 0, "must be above 0"))]
    pub hours: u32,
    /// Print JSON
    pub json: bool,
}

/// The charges, as printed with `--json`.
#[derive(Clone, Debug, Serialize)]
struct Usage {
    /// Whether the log still retains the stream from its first record on.
    #[serde(rename = "whole")]
    complete: bool,
    /// Time of the oldest retained record, in milliseconds since the Unix epoch.
    oldest_unix_ms: Option<u64>,
    /// Duplicate totals, which were not counted again.
    repeats: u64,
    /// Records that could not be read.
    unread: u64,
    /// The charges.
    charges: Vec<sum::Charge>,
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the node or the log can't be reached, or the plot can't be written.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    match args {
        Args::Burn(args) => burn(args),
        Args::Usage(args) => usage(args),
    }
}

fn burn(args: &BurnArgs) -> Result<(), exit::Failure> {
    let report: report::Report = ask::fetch_report(args.node, "/burn?mesh=1")?;
    if let Some(file) = &args.plot {
        let svg = plot::svg(&report).map_err(|error| exit::Failure::Input(error.into()))?;
        let written = fs::write(file, svg);
        written.map_err(|error| exit::Failure::Input(error.into()))?;
    }
    ask::print(args.json, &report, burn_text)
}

fn burn_text(report: &report::Report) -> String {
    let mut text = ask::format_coverage(&report.coverage);
    text += &format!("all of them count since {}\n\n", ask::format_time(report.since_unix_ms));
    let names = burn::WINDOW_NAMES.map(|name| format!("{name:>8}")).concat();
    text += &format!(
        "{:<6} {:<24} {:<13} {:>8} {names} {:>8} {:>10}\n",
        "ALERT", "SERVICE", "OBJECTIVE", "TARGET", "BUDGET", "CALLS"
    );
    for line in &report.lines {
        let alert = match line.alert {
            burn::Alert::Fast => "FAST",
            burn::Alert::Slow => "SLOW",
            burn::Alert::None => "-",
        };
        let objective = match line.objective {
            report::Objective::Availability => "availability",
            report::Objective::Latency => "latency",
        };
        let rates = line.burn.map(|burn| format!("{burn:>8.2}")).concat();
        let (target, left) = (line.target * 100.0, line.budget_left * 100.0);
        text += &format!(
            "{alert:<6} {:<24} {objective:<13} {target:>7.3}% {rates} {left:>7.1}% {:>10}\n",
            line.service, line.period.total
        );
    }
    text
}

fn usage(args: &UsageArgs) -> Result<(), exit::Failure> {
    let settings = configs::log::Log { address: args.log, ..configs::log::Log::default() };
    let log = logs::http::Client::new(&settings, Arc::default());
    let period_ms = u64::from(args.hours) * HOUR_MS;
    let report = ask::block_on(async {
        let read = read(&log, sum::Sum::new(period_ms)).await;
        read.map_err(|error| exit::Failure::Unreachable(error.into()))
    })?;
    ask::print(args.json, &report, usage_text)
}

/// Reads the stream from its first retained record to its end.
async fn read(log: &logs::http::Client, mut sum: sum::Sum) -> Result<Usage, logs::http::Error> {
    let mut from = 0;
    let mut first = None;
    let mut oldest_unix_ms = None;
    loop {
        let batch =
            log.read(logs::streams::USAGE, from, BATCH_RECORDS, time::Duration::ZERO).await?;
        first.get_or_insert(batch.first);
        let Some(last) = batch.records.last() else { break };
        from = last.offset + 1;
        oldest_unix_ms = oldest_unix_ms.or(batch.records.first().map(|r| r.unix_millis));
        batch.records.iter().for_each(|record| sum.add(record));
    }
    Ok(Usage {
        complete: first == Some(0),
        oldest_unix_ms,
        repeats: sum.repeats(),
        unread: sum.unreadable(),
        charges: sum.charges(),
    })
}

fn usage_text(usage: &Usage) -> String {
    let mut text = String::new();
    if let (false, Some(oldest)) = (usage.complete, usage.oldest_unix_ms) {
        let oldest = ask::format_time(oldest);
        text += &format!("PARTIAL: the log keeps records from {oldest} on\n");
    }
    if usage.unread > 0 {
        text += &format!("PARTIAL: {} records could not be read\n", usage.unread);
    }
    text += &format!(
        "{:<21} {:<18} {:<18} {:<14} {:>6} {:>12} {:>14}\n",
        "FROM", "ORGANISATION", "SERVICE", "KIND", "WEIGHT", "SERVED", "CHARGE"
    );
    for charge in &usage.charges {
        text += &format!(
            "{:<21} {:<18} {:<18} {:<14} {:>6} {:>12} {:>14}\n",
            ask::format_time(charge.since_unix_ms),
            charge.organisation,
            charge.service,
            charge.kind,
            charge.weight,
            charge.served,
            charge.charge
        );
    }
    text
}
