//! The capacity table: each role at the size to design for.

use std::fmt::Write as _;
use std::mem;

use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::bench::capacity::measures::{Figure, Measures, Missing};
use crate::pick;

/// Upstreams, each with its node.
const NODES: f64 = 2800.0;
/// Services.
const SERVICES: f64 = 370.0;
/// Calls a second over the whole mesh.
const CALLS: f64 = 600_000.0;
/// Availability zones.
const ZONES: f64 = 5.0;
/// Configuration changes a day.
const CHANGES: f64 = 1000.0;
/// Hosts replaced or failed a day.
const CHURN: f64 = 425.0;
/// Seconds of a day.
const DAY: f64 = 86_400.0;
/// Share of calls that carry an idempotency key; the plan names none.
const KEYED: f64 = 0.01;
/// Readers of the log in each zone.
const READERS: f64 = 2.0;
/// Claim partitions, each with one writer.
const PARTITIONS: f64 = 16.0;

/// One line of the table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// What the line is about.
    pub role: &'static str,
    /// Quantity.
    pub what: &'static str,
    /// Figure with its unit.
    pub figure: SmolStr,
    /// Limit, if there is one.
    pub limit: &'static str,
    /// Whether it rests on measured values only.
    pub measured: bool,
    /// What carries it.
    pub mechanism: &'static str,
}

/// Works out every line.
pub fn rows(m: &Measures) -> Result<Vec<Row>, Missing> {
    let mut rows = Vec::new();
    calls(m, &mut rows)?;
    control(m, &mut rows)?;
    ledger(m, &mut rows)?;
    joining(m, &mut rows)?;
    Ok(rows)
}

fn calls(m: &Measures, rows: &mut Vec<Row>) -> Result<(), Missing> {
    let rate = Figure::given(CALLS / NODES);
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
    let churn = m.get("member_churn_bytes")? * (CHURN / DAY);
    let change = m.get("spread_change_bytes")? * (CHANGES / DAY);
    let whole = idle + churn + change;
    rows.push(row("member", "sent, idle", rate(idle), "", idle, "SWIM probes and digests"));
    rows.push(row("member", "sent, churn", rate(churn), "", churn, "bounded retransmission"));
    rows.push(row("replica", "sent, changes", rate(change), "", change, "push tree of patches"));
    rows.push(row("node", "sent, control", rate(whole), "3 KB/s", whole, "sum of the three above"));
    let cpu = m.get("member_cpu_us_per_s")? * 1e-6;
    rows.push(row("member", "processor", cores(cpu), "4%", cpu, "pure decision, 2,800 fed"));
    let state = m.get("member_state_bytes")?;
    rows.push(row("member", "state", megabytes(state), "64 MB", state, "one record a host"));
    let reads = m.get("reader_reads_per_s")? * (ZONES * READERS);
    let mechanism = "two readers a zone by rendezvous hashing";
    rows.push(row("reader", "reads of the log, mesh", per_second(reads), "", reads, mechanism));
    let snapshots = m.get("snapshot_appends_per_day")? * (1.0 / DAY);
    let published = snapshots + Figure::given(CHANGES / DAY);
    let mechanism = "publish and snapshot records";
    rows.push(row("log", "appends, config", per_second(published), "", published, mechanism));
    Ok(())
}

fn ledger(m: &Measures, rows: &mut Vec<Row>) -> Result<(), Missing> {
    let keyed = CALLS * KEYED;
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
