//! `dandelionspool losses` tells from the logs of many nodes which calls got no answer, when and why.

use std::collections;
use std::fmt::{self, Write as _};
use std::path;

use bpaf::Bpaf;
use serde_json::Value;

use crate::cli::{exit, trace};

#[cfg(test)]
mod tests;

/// Line of an attempt without an answer; the last one of a call says that none follows.
const ATTEMPT_MESSAGE: &str = "an attempt brought no answer";

/// Length of `2026-01-01T00:00:00`: a time up to its second.
const SECOND_LENGTH: usize = 19;

/// Arguments of `dandelionspool losses`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Logs of nodes, one file for each
    #[bpaf(positional("FILE"), some("a log to read"))]
    pub files: Vec<path::PathBuf>,
}

/// Runs the command.
///
/// # Errors
///
/// A file can't be read.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let mut losses = Losses::default();
    for file in &args.files {
        losses.read(&trace::read_log(file)?);
    }
    print!("{losses}");
    Ok(())
}

/// What calls that were lost alike have in common.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Loss {
    /// Time up to the second, by the entry's clock.
    second: String,
    route: String,
    service: String,
    /// Whether a running call waited for it, which is then lost, too.
    inner: bool,
    /// `not-run` for a refusal, `unknown` for a failure.
    outcome: String,
    reason: String,
}

/// Calls without an answer, counted.
#[derive(Debug, Default)]
struct Losses {
    calls: collections::BTreeMap<Loss, u64>,
    /// Lines that the nodes left out under load.
    skipped: u64,
    /// Lines that are no JSON.
    broken: u64,
}

impl Losses {
    /// Takes in the log of one node.
    fn read(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.is_empty()) {
            let Ok(line) = serde_json::from_str::<Value>(line) else {
                self.broken += 1;
                continue;
            };
            self.skipped += line["skipped"].as_u64().unwrap_or_default();
            if line["msg"] == ATTEMPT_MESSAGE && line["again"] == false {
                *self.calls.entry(loss(&line)).or_default() += 1;
            }
        }
    }
}

fn loss(line: &Value) -> Loss {
    let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
    let time = text("ts");
    Loss {
        second: time.get(..SECOND_LENGTH).unwrap_or(&time).to_owned(),
        route: text("route"),
        service: text("service"),
        inner: line["inner"] == true,
        outcome: text("outcome"),
        reason: text("reason"),
    }
}

impl fmt::Display for Losses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "second               calls  route -> service: outcome, reason")?;
        for (loss, calls) in &self.calls {
            let Loss { second, route, service, inner, outcome, reason } = loss;
            let whose = if *inner { ", for a running call" } else { "" };
            writeln!(f, "{second:19} {calls:6}  {route} -> {service}: {outcome}, {reason}{whose}")?;
        }
        let mut left_out = String::new();
        if self.skipped > 0 {
            write!(left_out, "{} lines were left out by the nodes; ", self.skipped)?;
        }
        if self.broken > 0 {
            write!(left_out, "{} lines are not JSON; ", self.broken)?;
        }
        let total: u64 = self.calls.values().sum();
        writeln!(f, "{left_out}{total} calls without an answer")
    }
}
