//! Shared parts of the commands that query a node or the log.

use std::future;
use std::io::{self, Write as _};
use std::net;
use std::time;

use serde::Serialize;

use crate::admin::{mesh_status, query};
use crate::cli::exit;

/// Timeout for a report on the whole mesh.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(30);

const DAY_S: u64 = 86_400;

/// Runs `work` on a new runtime.
///
/// # Errors
///
/// Fails when `work` fails or the runtime can't be created.
pub fn block_on<T>(
    work: impl future::Future<Output = Result<T, exit::Failure>>,
) -> Result<T, exit::Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| exit::Failure::Unreachable(error.into()))?;
    runtime.block_on(work)
}

/// Requests the report at `path` from the operators' port `node`.
///
/// # Errors
///
/// Fails when the node can't be reached or refuses the request.
pub fn fetch_report<T: serde::de::DeserializeOwned>(
    node: net::SocketAddr,
    path: &str,
) -> Result<T, exit::Failure> {
    block_on(async {
        query::json(node, path, REPORT_TIMEOUT).await.map_err(|error| match error {
            query::Error::Status(..) => exit::Failure::Refused(error.into()),
            error => exit::Failure::Unreachable(error.into()),
        })
    })
}

/// Prints `value` as JSON if `json` is set, otherwise as formatted by `text`.
///
/// # Errors
///
/// Fails when standard output is closed.
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

/// Formats the coverage of a report as one line.
pub fn format_coverage(coverage: &mesh_status::Coverage) -> String {
    let answered = format!("heard from {} of {} nodes", coverage.answered, coverage.hosts);
    if coverage.complete {
        return format!("{answered}\n");
    }
    let missing = coverage.missing.iter().take(5).map(|h| h.as_str()).collect::<Vec<_>>();
    let more = if coverage.hosts - coverage.answered > 5 { ", ..." } else { "" };
    format!("PARTIAL: {answered}; no answer from {}{more}\n", missing.join(", "))
}

/// Formats a time in UTC, with a precision of one second.
pub fn format_time(unix_ms: u64) -> String {
    let seconds = unix_ms / 1000;
    let (year, month, day) = civil_date(seconds / DAY_S);
    let of_day = seconds % DAY_S;
    let (hour, minute, second) = (of_day / 3600, of_day / 60 % 60, of_day % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns the year, month and day of the month of the day that is `days` after the Unix epoch.
///
/// Years are counted from 1 March of year 0, so that a leap day is the last day of its year, in
/// cycles of 400 years.
fn civil_date(days: u64) -> (u64, u64, u64) {
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
