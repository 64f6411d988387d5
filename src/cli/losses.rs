//! `dandelionspool losses` counts the calls without an answer in the logs of several nodes, by time
//! and reason.

use std::collections;
use std::fmt::{self, Write as _};
use std::path;

use bpaf::Bpaf;
use serde_json::Value;

use crate::cli::{exit, trace};

#[cfg(test)]
mod tests;

/// Message of an attempt without an answer. `again` is false for the last attempt of a call.
const ATTEMPT_MESSAGE: &str = "an attempt brought no answer";

/// Length of a time without fractions of a second, such as `2026-01-01T00:00:00`.
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
/// Fails when a file can't be read.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let mut losses = Losses::default();
    for file in &args.files {
        losses.add_log(&trace::read_log(file)?);
    }
    print!("{losses}");
    Ok(())
}

/// Common properties of lost calls that are counted together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Loss {
    /// Time with a precision of one second, by the clock of the entry node.
    second: String,
    route: String,
    service: String,
    /// Whether a running call waited for this call and is therefore lost, too.
    inner: bool,
    /// `not-run` for a refusal, `unknown` for a failure.
    outcome: String,
    reason: String,
}

/// Numbers of calls without an answer.
#[derive(Debug, Default)]
struct Losses {
    calls: collections::BTreeMap<Loss, u64>,
    /// Lines that the nodes skipped under load.
    skipped: u64,
    /// Lines that are not JSON.
    malformed: u64,
}

impl Losses {
    /// Adds the losses in the log of one node.
    fn add_log(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.is_empty()) {
            let Ok(line) = serde_json::from_str::<Value>(line) else {
                self.malformed += 1;
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
            let suffix = if *inner { ", for a running call" } else { "" };
            writeln!(
                f,
                "{second:19} {calls:6}  {route} -> {service}: {outcome}, {reason}{suffix}"
            )?;
        }
        let mut incomplete = String::new();
        if self.skipped > 0 {
            write!(incomplete, "{} lines were left out by the nodes; ", self.skipped)?;
        }
        if self.malformed > 0 {
            write!(incomplete, "{} lines are not JSON; ", self.malformed)?;
        }
        let total: u64 = self.calls.values().sum();
        writeln!(f, "{incomplete}{total} calls without an answer")
    }
}
