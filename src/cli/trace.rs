//! `dandelionspool trace` prints the path of one call from the logs of several nodes.
//!
//! The clocks of hosts may differ by seconds, so lines are ordered by causality instead of time:
//! those of one file keep their order, and a line of an owner node precedes the line of the entry
//! node about the result of the same attempt.

use std::collections;
use std::fs;
use std::path;

use bpaf::Bpaf;
use serde_json::Value;

use crate::cli::exit;

#[cfg(test)]
mod tests;

/// Fields that are not shown because every line has them or they do not describe the call.
const HIDDEN_FIELDS: [&str; 6] = ["id", "level", "msg", "sample", "skipped", "target"];

/// Arguments of `dandelionspool trace`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// ID of the call
    #[bpaf(positional("ID"))]
    pub id: String,
    /// Logs of nodes, one file for each
    #[bpaf(positional("FILE"), some("a log to read"))]
    pub files: Vec<path::PathBuf>,
}

/// Runs the command.
///
/// # Errors
///
/// Fails when a file can't be read or no file contains the call.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let mut logs = Vec::new();
    for file in &args.files {
        let text = read_log(file)?;
        logs.push(Log::read(&file.display().to_string(), &text, &args.id));
    }
    let text = path(&logs);
    if text.is_empty() {
        return Err(exit::Failure::Refused(eyre::eyre!("no log contains the call {}", args.id)));
    }
    print!("{text}");
    Ok(())
}

/// Reads the log of a node.
///
/// # Errors
///
/// Fails when the file can't be read.
pub(super) fn read_log(file: &path::Path) -> Result<String, exit::Failure> {
    fs::read_to_string(file).map_err(|e| {
        exit::Failure::Input(eyre::Report::new(e).wrap_err(file.display().to_string()))
    })
}

/// The lines of one node's log that belong to a call.
#[derive(Debug)]
struct Log {
    /// Address of the node, or the file name if the log does not contain the node's start.
    node: String,
    /// Lines that the node wrote as the entry node.
    entry: Vec<Value>,
    /// Lines that the node wrote as the owner node.
    owner: Vec<Value>,
    /// Number of lines that are not JSON.
    malformed: usize,
}

impl Log {
    fn read(file: &str, text: &str, id: &str) -> Self {
        let mut log =
            Self { node: file.to_owned(), entry: Vec::new(), owner: Vec::new(), malformed: 0 };
        for line in text.lines().filter(|line| !line.is_empty()) {
            let Ok(line) = serde_json::from_str::<Value>(line) else {
                log.malformed += 1;
                continue;
            };
            if line["msg"] == "node starts" {
                log.node = plain_text(&line["listen"]);
            }
            if line["id"] != id {
                continue;
            }
            let lines = if is_owner_line(&line) { &mut log.owner } else { &mut log.entry };
            lines.push(line);
        }
        log
    }
}

/// Whether `line` was written by an owner node.
fn is_owner_line(line: &Value) -> bool {
    line["msg"] == "the upstream ran a call"
        || line["msg"] == "the upstream's node did not let a call in"
}

/// Formats the path of the call in `logs`; empty if no log contains the call.
fn path(logs: &[Log]) -> String {
    let mut owners: collections::BTreeMap<&str, collections::VecDeque<&Value>> =
        logs.iter().map(|log| (log.node.as_str(), log.owner.iter().collect())).collect();
    let mut text = String::new();
    for log in logs.iter().filter(|log| !log.entry.is_empty()) {
        text += &format!("entry {}\n", log.node);
        for line in &log.entry {
            let host = line["host"].as_str().unwrap_or_default();
            if let Some(owner_line) =
                owners.get_mut(host).and_then(collections::VecDeque::pop_front)
            {
                text += &show("    ", &format!("upstream's node {host}"), owner_line);
            } else if host.is_empty() {
                text += &remaining(&mut owners);
            }
            text += &show("  ", "entry", line);
        }
    }
    text += &remaining(&mut owners);
    let malformed: usize = logs.iter().map(|log| log.malformed).sum();
    if !text.is_empty() && malformed > 0 {
        text += &format!("{malformed} lines are not JSON and were left out\n");
    }
    text
}

/// Removes and formats the lines of owner nodes that match no line of the entry node.
fn remaining(owners: &mut collections::BTreeMap<&str, collections::VecDeque<&Value>>) -> String {
    let lines = owners.iter_mut().flat_map(|(node, lines)| lines.drain(..).map(move |l| (node, l)));
    lines.map(|(node, line)| show("    ", &format!("upstream's node {node}"), line)).collect()
}

/// Formats one line of a log: the node that wrote it, the message, and the other fields.
fn show(indent: &str, who: &str, line: &Value) -> String {
    let fields = line.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str()));
    let fields: Vec<_> =
        fields.map(|(name, value)| format!("{name}={}", plain_text(value))).collect();
    format!("{indent}{who}: {}\n{indent}  {}\n", plain_text(&line["msg"]), fields.join(" "))
}

/// Returns a value without the quotes of a JSON string.
fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
