//! `dandelionspool-bench policies` compares policies for choosing upstreams and for retries.
//!
//! The product's own decisions run in virtual time with modelled upstreams, in one process and
//! without sockets. The same seed gives the same results.

mod case;
mod model;
mod setup;
mod tally;
#[cfg(test)]
mod tests;
mod upstream;

use bpaf::Bpaf;
use serde::Serialize;

use crate::cli::exit;
use crate::pick;

/// Arguments of `dandelionspool-bench policies`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Virtual time of each run, in seconds
    #[bpaf(argument("SECONDS"), fallback(10))]
    pub seconds: u64,
    /// Seed of every random number
    #[bpaf(argument("SEED"), fallback(1))]
    pub seed: u64,
    /// Only runs with this fault: none, slow, dead, lying, cold, skew, many, limited or outage
    #[bpaf(argument("FAULT"), optional)]
    pub fault: Option<String>,
    /// Only runs at this load, in percent of capacity
    #[bpaf(argument("PERCENT"), optional)]
    pub percent: Option<u32>,
    /// Print JSON
    pub json: bool,
}

/// The results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// What was run.
    #[serde(flatten)]
    pub case: case::Case,
    /// Its results.
    #[serde(flatten)]
    pub figures: tally::Figures,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let wanted = |case: &case::Case| {
        args.fault.as_ref().is_none_or(|f| f == case.fault.name())
            && args.percent.is_none_or(|p| p == case.percent)
    };
    let cases = case::all().filter(wanted);
    let rows: Vec<Row> = cases.map(|case| measure(case, args.seconds, args.seed)).collect();
    if args.json {
        let text = serde_json::to_string_pretty(&rows)
            .map_err(|e| exit::Failure::Input(eyre::Report::new(e)))?;
        println!("{text}");
    } else {
        print(&rows);
    }
    Ok(())
}

/// Runs `case` for `seconds` of virtual time.
pub fn measure(case: case::Case, seconds: u64, seed: u64) -> Row {
    let figures = match case.policy {
        case::Policy::RoundRobin => model::run(pick::RoundRobin, case, seconds, seed),
        case::Policy::LeastOutstanding => model::run(pick::LeastOutstanding, case, seconds, seed),
        case::Policy::PowerOfTwo => model::run(pick::PowerOfTwo, case, seconds, seed),
        case::Policy::RemainingCapacity => model::run(pick::RemainingCapacity, case, seconds, seed),
        case::Policy::Cheapest2 => model::run(cheapest(2), case, seconds, seed),
        case::Policy::Cheapest3 => model::run(cheapest(3), case, seconds, seed),
        case::Policy::CheapestAll => model::run(cheapest(u8::MAX), case, seconds, seed),
    };
    Row { case, figures }
}

const fn cheapest(candidates: u8) -> pick::Cheapest {
    pick::Cheapest { candidates }
}

fn print(rows: &[Row]) {
    println!(
        "{:<9}{:>5}  {:<19}{:<8}{:>8}{:>8}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}",
        "fault",
        "load",
        "policy",
        "retry",
        "goodput",
        "orders",
        "p50 us",
        "p99 us",
        "p99.9 us",
        "attempts",
        "timeouts",
        "unknown",
        "limited",
        "of limit"
    );
    for Row { case, figures } in rows {
        println!(
            "{:<9}{:>4}%  {:<19}{:<8}{:>8.4}{:>8.4}{:>9}{:>9}{:>9}{:>9.4}{:>9}{:>9}{:>9}{:>9.3}",
            case.fault.name(),
            case.percent,
            case.policy.name(),
            case.retry.name(),
            figures.goodput,
            figures.orders,
            figures.p50_us,
            figures.p99_us,
            figures.p999_us,
            figures.attempts,
            figures.timeouts,
            figures.unknown,
            figures.limited,
            figures.limit_share,
        );
    }
}
