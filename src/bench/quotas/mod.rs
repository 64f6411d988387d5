//! `dandelionspool-bench quotas` compares ways to hold the limit of an organisation over all nodes.
//!
//! The decisions run in virtual time with a modelled network, in one process and without sockets.
//! The same seed gives the same results.

mod case;
mod model;
mod tally;
#[cfg(test)]
mod tests;
mod ways;

use bpaf::Bpaf;
use serde::Serialize;

use crate::cli::exit;

/// Arguments of `dandelionspool-bench quotas`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Number of nodes
    #[bpaf(argument("NODES"), fallback(64))]
    pub nodes: usize,
    /// Seed of every random number
    #[bpaf(argument("SEED"), fallback(1))]
    pub seed: u64,
    /// Only runs of this load: usual, hot, shift, cut, halved, restarted, lowered or lossy
    #[bpaf(argument("LOAD"), optional)]
    pub load: Option<String>,
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
    let wanted = |case: &case::Case| args.load.as_ref().is_none_or(|l| l == case.load.name());
    let rows: Vec<Row> =
        case::all(args.nodes).filter(wanted).map(|case| measure(case, args.seed)).collect();
    if args.json {
        let text = serde_json::to_string_pretty(&rows)
            .map_err(|e| exit::Failure::Input(eyre::Report::new(e)))?;
        println!("{text}");
    } else {
        print(&rows);
    }
    Ok(())
}

/// Runs `case`.
pub fn measure(case: case::Case, seed: u64) -> Row {
    let figures = match case.way {
        case::Way::Fixed => model::run::<ways::Fixed>(&case, seed),
        case::Way::Gossip => model::run::<ways::Gossip>(&case, seed),
        case::Way::Lent => model::run::<ways::Lent>(&case, seed),
    };
    Row { case, figures }
}

fn print(rows: &[Row]) {
    println!(
        "{:>6} {:>9} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8} {:>9} {:>8} {:>8}",
        "way",
        "load",
        "nodes",
        "rate",
        "asked",
        "allowed",
        "refused",
        "overrun",
        "B/node/s",
        "p50 ms",
        "p99 ms"
    );
    for Row { case, figures } in rows {
        println!(
            "{:>6} {:>9} {:>6} {:>6} {:>8} {:>8} {:>8.4} {:>8.3} {:>9.2} {:>8.2} {:>8.2}",
            case.way.name(),
            case.load.name(),
            case.nodes,
            case.rate,
            figures.asked,
            figures.allowed,
            figures.refused_share,
            figures.overrun,
            figures.node_bytes,
            figures.wait_p50_ms,
            figures.wait_p99_ms,
        );
    }
}
