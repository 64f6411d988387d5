//! The capacity table: the load of each role in a mesh of the design size.

use std::fmt::Write as _;
use std::mem;

use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::bench::capacity::measures::{Figure, Measures, Missing};
use crate::pick;

/// Number of upstreams, each of which has a node.
const NODES: f64 = 2800.0;
/// Number of services.
const SERVICES: f64 = 370.0;
/// Calls per second over all nodes.
const CALLS_PER_SECOND: f64 = 600_000.0;
/// Number of availability zones.
const ZONES: f64 = 5.0;
/// Configuration changes per day.
const CHANGES_PER_DAY: f64 = 1000.0;
/// Hosts replaced or failed per day.
const CHURN_PER_DAY: f64 = 425.0;
/// Length of a day.
const DAY_SECONDS: f64 = 86_400.0;
/// Share of calls with an idempotency key, for which the requirements give no figure.
const KEYED_SHARE: f64 = 0.01;
/// Nodes that read the log in each zone.
const READERS_PER_ZONE: f64 = 2.0;
/// Number of claim partitions, each of which has one writer.
const PARTITIONS: f64 = 16.0;

/// One line of the table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Role of a node, or the part of the system, that bears the load.
    pub role: &'static str,
    /// Quantity.
    pub what: &'static str,
    /// Figure with its unit.
    pub figure: SmolStr,
    /// Limit; empty if there is none.
    pub limit: &'static str,
    /// Whether it was computed from measured values only.
    pub measured: bool,
    /// The mechanism that handles the load.
    pub mechanism: &'static str,
}

/// Computes all lines.
pub fn rows(m: &Measures) -> Result<Vec<Row>, Missing> {
    let mut rows = Vec::new();
    calls(m, &mut rows)?;
    control(m, &mut rows)?;
    ledger(m, &mut rows)?;
    joining(m, &mut rows)?;
    Ok(rows)
}

fn calls(m: &Measures, rows: &mut Vec<Row>) -> Result<(), Missing> {
    let rate = Figure::given(CALLS_PER_SECOND / NODES);
    let entry = m.get("entry_cpu_us")? * rate * 1e-6;
    rows.push(row(
        "entry",
        "processor",
        cores(entry),
        "",
        entry,
        "one thread, no ring on the path",
    ));
    let owner = m.get("owner_cpu_us")? * rate * 1e-6;
    rows.push(row("owner", "processor", cores(owner), "", owner, "gate beside the upstream"));
    let peer = Figure::given(mem::size_of::<pick::Peer>() as f64);
    let table = peer * NODES + m.get("mesh_service_bytes")? * SERVICES;
    rows.push(row("entry", "state", megabytes(table), "64 MB", table, "arena of peers, one swap"));
    Ok(())
}

fn control(m: &Measures, rows: &mut Vec<Row>) -> Result<(), Missing> {
    let idle = m.get("member_idle_bytes")?;
    let churn = m.get("member_churn_bytes")? * (CHURN_PER_DAY / DAY_SECONDS);
    let change = m.get("spread_change_bytes")? * (CHANGES_PER_DAY / DAY_SECONDS);
    let total = idle + churn + change;
    rows.push(row("member", "sent, idle", rate(idle), "", idle, "SWIM probes and digests"));
    rows.push(row("member", "sent, churn", rate(churn), "", churn, "bounded retransmission"));
    rows.push(row("replica", "sent, changes", rate(change), "", change, "push tree of patches"));
    rows.push(row("node", "sent, control", rate(total), "3 KB/s", total, "sum of the three above"));
    let cpu = m.get("member_cpu_us_per_s")? * 1e-6;
    rows.push(row("member", "processor", cores(cpu), "4%", cpu, "pure decision, 2,800 fed"));
    let state = m.get("member_state_bytes")?;
    rows.push(row("member", "state", megabytes(state), "64 MB", state, "one record a host"));
    let reads = m.get("reader_reads_per_s")? * (ZONES * READERS_PER_ZONE);
    let mechanism = "two readers a zone by rendezvous hashing";
    rows.push(row("reader", "reads of the log, mesh", per_second(reads), "", reads, mechanism));
    let snapshots = m.get("snapshot_appends_per_day")? * (1.0 / DAY_SECONDS);
    let published = snapshots + Figure::given(CHANGES_PER_DAY / DAY_SECONDS);
    let mechanism = "publish and snapshot records";
    rows.push(row("log", "appends, config", per_second(published), "", published, mechanism));
    Ok(())
}

fn ledger(m: &Measures, rows: &mut Vec<Row>) -> Result<(), Missing> {
    let keyed = CALLS_PER_SECOND * KEYED_SHARE;
    let appends = m.get("claim_appends_per_s")? * PARTITIONS;
    let mechanism = "group commit, one writer a partition";
    rows.push(row("log", "appends, claims", per_second(appends), "hundreds", appends, mechanism));
    let held = m.get("claim_bytes")? * (keyed / PARTITIONS) * m.get("claim_window_s")?;
    let mechanism = "dedupe window of one partition";
    rows.push(row("claim writer", "state", megabytes(held), "64 MB", held, mechanism));
    let cpu = m.get("claim_cpu_us")? * (keyed / PARTITIONS) * 1e-6;
    rows.push(row("claim writer", "processor", cores(cpu), "4%", cpu, "fold of one partition"));
    let usage = m.get("usage_appends_per_s")? * ZONES;
    let mechanism = "totals through writers in each zone";
    rows.push(row("log", "appends, usage", per_second(usage), "hundreds", usage, mechanism));
    Ok(())
}

fn joining(m: &Measures, rows: &mut Vec<Row>) -> Result<(), Missing> {
    let table = m.get("member_record_bytes")? * NODES;
    let file = m.get("config_service_bytes")? * SERVICES;
    let one = table + file;
    rows.push(row("joiner", "received, one node", megabytes(one), "", one, "pages and one patch"));
    let zone = one * (NODES / ZONES);
    let mechanism = "peers, at a bounded rate; never the log";
    rows.push(row("joiner", "received, a zone", megabytes(zone), "", zone, mechanism));
    let answer = m.get("status_bytes")? * NODES;
    let mechanism = "scatter with a time limit";
    rows.push(row("operator", "status of the mesh", megabytes(answer), "", answer, mechanism));
    Ok(())
}

fn row(
    role: &'static str,
    what: &'static str,
    figure: SmolStr,
    limit: &'static str,
    of: Figure,
    mechanism: &'static str,
) -> Row {
    Row { role, what, figure, limit, measured: of.measured, mechanism }
}

fn cores(figure: Figure) -> SmolStr {
    format_smolstr!("{:.2}% of a core", figure.value * 100.0)
}

fn megabytes(figure: Figure) -> SmolStr {
    format_smolstr!("{:.2} MB", figure.value / 1e6)
}

fn rate(figure: Figure) -> SmolStr {
    format_smolstr!("{:.1} B/s", figure.value)
}

fn per_second(figure: Figure) -> SmolStr {
    format_smolstr!("{:.2}/s", figure.value)
}

/// The table as Markdown.
pub fn markdown(rows: &[Row]) -> String {
    let mut text = String::from("| role | quantity | figure | limit | from | carried by |\n");
    text.push_str("|---|---|---|---|---|---|\n");
    for row in rows {
        let from = if row.measured { "measured slopes" } else { "partly estimated" };
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {from} | {} |",
            row.role, row.what, row.figure, row.limit, row.mechanism
        );
    }
    text
}
