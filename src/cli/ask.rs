//! What the commands that ask a node or the log share.

use std::future;
use std::io::{self, Write as _};
use std::net;
use std::time;

use serde::Serialize;

use crate::admin::{mesh_status, query};
use crate::cli::exit;

/// Longest a node may take for a report on the whole mesh.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(30);

const DAY_S: u64 = 86_400;

/// Runs `work` on a runtime of its own.
///
/// # Errors
///
/// The work's, or the operating system gives no runtime.
pub fn run<T>(
    work: impl future::Future<Output = Result<T, exit::Failure>>,
) -> Result<T, exit::Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| exit::Failure::Unreachable(error.into()))?;
    runtime.block_on(work)
}

/// Asks the operators' port `node` for the report at `path`.
///
/// # Errors
///
/// The node can't be reached or refuses.
pub fn node<T: serde::de::DeserializeOwned>(
    node: net::SocketAddr,
    path: &str,
) -> Result<T, exit::Failure> {
    run(async {
        query::json(node, path, REPORT_TIMEOUT).await.map_err(|error| match error {
            query::Error::Status(..) => exit::Failure::Refused(error.into()),
            error => exit::Failure::Unreachable(error.into()),
        })
    })
}

/// Prints `text`, or `value` as JSON.
///
/// # Errors
///
/// Standard output is closed.
pub fn print<T: Serialize>(
    json: bool,
    value: &T,
    text: impl Fn(&T) -> String,
) -> Result<(), exit::Failure> {
    let text = if json {
        let text = serde_json::to_string_pretty(value);
        text.map_err(|error| exit::Failure::Input(error.into()))? + "\n"
    } else {
        text(value)
    };
    let written = io::stdout().lock().write_all(text.as_bytes());
    written.map_err(|error| exit::Failure::Input(error.into()))
}

/// How much of the mesh a report covers, as a line.
pub fn coverage(coverage: &mesh_status::Coverage) -> String {
    let heard = format!("heard from {} of {} nodes", coverage.heard, coverage.hosts);
    if coverage.whole {
        return format!("{heard}\n");
    }
    let missing = coverage.missing.iter().take(5).map(|h| h.as_str()).collect::<Vec<_>>();
    let more = if coverage.hosts - coverage.heard > 5 { ", ..." } else { "" };
    format!("PARTIAL: {heard}; no answer from {}{more}\n", missing.join(", "))
}

/// A moment as text, in UTC, to the second.
pub fn moment(unix_ms: u64) -> String {
    let seconds = unix_ms / 1000;
    let (year, month, day) = civil(seconds / DAY_S);
    let rest = seconds % DAY_S;
    let (hour, minute, second) = (rest / 3600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Year, month and day of the day that is `days` after the Unix epoch.
///
/// Counts from 1 March of year 0, so that a leap day ends its year, in cycles of 400 years.
fn civil(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let (cycle, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let date = day - (153 * month + 2) / 5 + 1;
    let (month, next) = if month < 10 { (month + 3, 0) } else { (month - 9, 1) };
    (cycle * 400 + year + next, month, date)
}

#[cfg(test)]
mod tests;
