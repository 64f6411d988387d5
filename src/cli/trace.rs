//! `dandelionspool trace` prints the path of one call from the logs of many nodes.
//!
//! Hosts' clocks may be off by seconds, so lines are put in order by cause: those of one file stay in
//! their order, and what the upstream's node says stands before the line of the entry that tells what
//! came back from there.

use std::collections;
use std::fs;
use std::path;

use bpaf::Bpaf;
use serde_json::Value;

use crate::cli::exit;

#[cfg(test)]
mod tests;

/// Fields that every line has, or that tell nothing of the call.
const HIDDEN_FIELDS: [&str; 6] = ["id", "level", "msg", "sample", "skipped", "target"];

/// Arguments of `dandelionspool trace`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Id of the call
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
/// A file can't be read; no file knows the call.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let mut logs = Vec::new();
    for file in &args.files {
        let text = read_log(file)?;
        logs.push(Log::read(&file.display().to_string(), &text, &args.id));
    }
    let text = path(&logs);
    if text.is_empty() {
        return Err(exit::Failure::Refused(eyre::eyre!("no log knows the call {}", args.id)));
    }
    print!("{text}");
    Ok(())
}

/// The text of a node's log.
///
/// # Errors
///
/// The file can't be read.
pub(super) fn read_log(file: &path::Path) -> Result<String, exit::Failure> {
    fs::read_to_string(file).map_err(|e| {
        exit::Failure::Input(eyre::Report::new(e).wrap_err(file.display().to_string()))
    })
}

/// What one node's log says of a call.
#[derive(Debug)]
struct Log {
    /// The node's address, or the file's name where the log does not begin with the node's start.
    node: String,
    /// At its entry.
    entry: Vec<Value>,
    /// At the upstream's own node.
    owner: Vec<Value>,
    /// Lines that are no JSON.
    broken: usize,
}

impl Log {
    fn read(file: &str, text: &str, id: &str) -> Self {
        let mut log =
            Self { node: file.to_owned(), entry: Vec::new(), owner: Vec::new(), broken: 0 };
        for line in text.lines().filter(|line| !line.is_empty()) {
            let Ok(line) = serde_json::from_str::<Value>(line) else {
                log.broken += 1;
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

/// Whether the upstream's own node wrote `line`.
fn is_owner_line(line: &Value) -> bool {
    line["msg"] == "the upstream ran a call"
        || line["msg"] == "the upstream's node did not let a call in"
}

/// The path of the call that `logs` tell of; empty when none does.
fn path(logs: &[Log]) -> String {
    let mut owners: collections::BTreeMap<&str, collections::VecDeque<&Value>> =
        logs.iter().map(|log| (log.node.as_str(), log.owner.iter().collect())).collect();
    let mut text = String::new();
    for log in logs.iter().filter(|log| !log.entry.is_empty()) {
        text += &format!("entry {}\n", log.node);
        for line in &log.entry {
            let host = line["host"].as_str().unwrap_or_default();
            if let Some(said) = owners.get_mut(host).and_then(collections::VecDeque::pop_front) {
                text += &show("    ", &format!("upstream's node {host}"), said);
            } else if host.is_empty() {
                text += &remaining(&mut owners);
            }
            text += &show("  ", "entry", line);
        }
    }
    text += &remaining(&mut owners);
    let broken: usize = logs.iter().map(|log| log.broken).sum();
    if !text.is_empty() && broken > 0 {
        text += &format!("{broken} lines are not JSON and were left out\n");
    }
    text
}

/// What upstreams' nodes say that no line of the entry speaks of.
fn remaining(owners: &mut collections::BTreeMap<&str, collections::VecDeque<&Value>>) -> String {
    let lines = owners.iter_mut().flat_map(|(node, lines)| lines.drain(..).map(move |l| (node, l)));
    lines.map(|(node, line)| show("    ", &format!("upstream's node {node}"), line)).collect()
}

/// One line of a log: who wrote it, what happened, and its inputs.
fn show(indent: &str, who: &str, line: &Value) -> String {
    let fields = line.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str()));
    let fields: Vec<_> =
        fields.map(|(name, value)| format!("{name}={}", plain_text(value))).collect();
    format!("{indent}{who}: {}\n{indent}  {}\n", plain_text(&line["msg"]), fields.join(" "))
}

/// A value without the quotes of JSON.
fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
