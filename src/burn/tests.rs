//! Tests of service-level objectives, with times that the tests pass in.

use std::time;

use rstest::rstest;

use crate::burn::{Alert, counts, plot, report};
use crate::mesh;
use crate::usage;

const DAY: u64 = 86_400;

fn mesh(window: u64) -> mesh::Mesh {
    let objectives = mesh::Objectives {
        availability: 0.999,
        latency: time::Duration::from_millis(200),
        share: 0.99,
        window: time::Duration::from_secs(window),
    };
    let mut mesh = mesh::Mesh::default();
    mesh.services = ["shop", "desk"]
        .map(|name| mesh::Service {
            name: name.into(),
            organisation: mesh::OrganisationKey(0),
            timeout: time::Duration::from_secs(2),
            queue: 8,
            retries: 10,
            objectives,
        })
        .to_vec();
    mesh
}

fn delta(service: &str, served: u64, refused: u64, slow: u64) -> usage::Delta {
    let label = usage::Label {
        organisation: "guests".into(),
        service: service.into(),
        kind: "browse".into(),
        weight: 1,
    };
    let mut totals = usage::Totals { slow, ..usage::Totals::default() };
    totals.calls[usage::Outcome::Served as usize] = served;
    totals.calls[usage::Outcome::Refused as usize] = refused;
    totals.calls[usage::Outcome::Left as usize] = 1000;
    usage::Delta { rows: vec![(label, totals)] }
}

/// Counts of `seconds` seconds with 1000 calls each, of which `refused` are refused from `since`
/// on.
fn counts(seconds: u64, since: u64, refused: u64) -> counts::Counts {
    let mut counts = counts::Counts::new(0);
    for now in 0..seconds {
        let refused = if now >= since { refused } else { 0 };
        counts.add(&delta("shop", 1000 - refused, refused, 0), now * 1000);
    }
    counts
}

/// The line of the availability of `shop` in a report at the second `at`.
fn shop(counts: &counts::Counts, at: u64) -> report::Line {
    let snapshot = counts.snapshot(&mesh(30 * DAY), at * 1000);
    let report = report::report(&[snapshot], Vec::new());
    let shop =
        |l: &&report::Line| l.service == "shop" && l.objective == report::Objective::Availability;
    report.lines.iter().find(shop).cloned().expect("a line")
}

#[rstest]
#[case::steady_at_the_objective(7200, 0, 1, Alert::None)]
#[case::fast(7200, 0, 15, Alert::Fast)]
#[case::slow(6 * 3600, 0, 7, Alert::Slow)]
#[case::burst_too_short_for_the_hour(7200, 7200 - 120, 100, Alert::None)]
#[case::ten_minutes_of_a_tenth(7200, 7200 - 660, 100, Alert::Fast)]
fn alerts(#[case] seconds: u64, #[case] since: u64, #[case] refused: u64, #[case] alert: Alert) {
    let line = shop(&counts(seconds, since, refused), seconds);
    assert_eq!(line.alert, alert, "{line:?}");
}

#[test]
fn alerts_step_down_after_a_burn_has_ended() {
    let mut counts = counts(3600, 0, 50);
    assert_eq!(shop(&counts, 3600).alert, Alert::Fast);
    let good = |counts: &mut counts::Counts, from: u64, to: u64| {
        (from..to).for_each(|now| counts.add(&delta("shop", 1000, 0, 0), now * 1000));
    };
    good(&mut counts, 3600, 3600 + 420);
    let line = shop(&counts, 3600 + 420);
    assert!(line.burn[0] < 1.0 && line.burn[2] > 14.4, "{line:?}");
    assert_eq!(line.alert, Alert::Slow, "half an hour and six hours still burn");
    good(&mut counts, 3600 + 420, 3600 + 2500);
    let line = shop(&counts, 3600 + 2500);
    assert!(line.burn[3] > 6.0, "{line:?}");
    assert_eq!(line.alert, Alert::None);
}

#[test]
fn rates_and_budget_are_exact_for_complete_windows() {
    let line = shop(&counts(600, 0, 2), 600);
    assert!(line.burn.iter().all(|burn| (burn - 2.0).abs() < 1e-9), "{line:?}");
    assert!((line.budget_left + 1.0).abs() < 1e-9, "twice the budget is spent");
    assert_eq!(line.period.total, 600_000, "calls whose caller disconnected don't count");
}

#[test]
fn old_counts_leave_the_windows() {
    let counts = counts(600, 0, 500);
    let line = shop(&counts, 600 + 7 * 3600);
    assert_eq!(line.burn, [0.0; 4]);
    assert_eq!(line.period.total, 600_000);
    assert_eq!(shop(&counts, 40 * DAY).period.total, 0);
}

#[test]
fn latency_counts_only_served_calls() {
    let mut counts = counts::Counts::new(0);
    counts.add(&delta("desk", 90, 10, 9), 1000);
    let report = report::report(&[counts.snapshot(&mesh(DAY), 2000)], Vec::new());
    let desk = |l: &&report::Line| l.service == "desk" && l.objective == report::Objective::Latency;
    let line = report.lines.iter().find(desk).expect("a line");
    assert_eq!((line.period.total, line.period.bad), (90, 9));
    assert!((line.burn[0] - 10.0).abs() < 1e-9);
}

#[test]
fn snapshots_are_added_up_and_the_worst_line_is_first() {
    let mut second = counts::Counts::new(5000);
    second.add(&delta("desk", 10, 0, 0), 6000);
    let snapshots =
        [counts(600, 0, 3).snapshot(&mesh(DAY), 600_000), second.snapshot(&mesh(DAY), 600_000)];
    let report = report::report(&snapshots, vec!["10.0.0.9:7100".into()]);
    assert_eq!(report.lines.len(), 4);
    assert_eq!(report.lines[0].service, "shop");
    assert_eq!(report.since_unix_ms, 5000);
    assert_eq!((report.coverage.answered, report.coverage.hosts), (2, 3));
    assert!(!report.coverage.complete);
    let svg = plot::svg(&report).expect("a plot");
    assert!(svg.starts_with("<svg") && svg.contains("PARTIAL") && svg.contains("2 of 3 nodes"));
}

#[test]
fn memory_is_bounded_over_months() {
    let mut counts = counts::Counts::new(0);
    for hour in 0..24 * 90 {
        for minute in 0..60 {
            counts.add(&delta("shop", 1, 0, 0), (hour * 3600 + minute * 60) * 1000);
        }
    }
    assert!(counts.buckets() <= 155, "{} buckets", counts.buckets());
}
