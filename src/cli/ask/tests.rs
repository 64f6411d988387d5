//! Tests of the parts shared by the reports.

use rstest::rstest;

use super::{format_coverage, format_time};
use crate::admin::mesh_status;

#[rstest]
#[case(0, "1970-01-01T00:00:00Z")]
#[case(951_782_400_000, "2000-02-29T00:00:00Z")]
#[case(951_868_800_000, "2000-03-01T00:00:00Z")]
#[case(1_735_689_599_000, "2024-12-31T23:59:59Z")]
#[case(4_107_542_400_000, "2100-03-01T00:00:00Z")]
fn times_are_in_utc(#[case] unix_ms: u64, #[case] text: &str) {
    assert_eq!(format_time(unix_ms), text);
}

#[test]
fn a_partial_report_lists_the_missing_hosts() {
    let complete = mesh_status::Coverage::new(3, Vec::new());
    assert_eq!(format_coverage(&complete), "heard from 3 of 3 nodes\n");
    let partial = mesh_status::Coverage::new(3, vec!["10.0.0.1:7100".into()]);
    let text = format_coverage(&partial);
    assert_eq!(text, "PARTIAL: heard from 3 of 4 nodes; no answer from 10.0.0.1:7100\n");
}
