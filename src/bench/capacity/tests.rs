//! Tests of the capacity table.

use rstest::rstest;

use crate::bench::capacity::measures;
use crate::bench::capacity::table;

const FILE: &str = include_str!("../../../docs/measurements.json");
const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

fn shipped() -> measures::Measures {
    serde_json::from_str(FILE).unwrap()
}

#[rstest]
fn the_page_shows_the_table_computed_from_the_measurements() {
    let table = table::markdown(&table::rows(&shipped()).unwrap());
    assert!(PAGE.contains(&table), "docs/CAPACITY.md should contain:\n{table}");
}

#[rstest]
fn an_estimate_is_marked_in_every_row_that_uses_it() {
    let text = FILE.replace("\"measured\": true", "\"measured\": false");
    let measures = serde_json::from_str(&text).unwrap();
    assert!(table::rows(&measures).unwrap().iter().all(|row| !row.measured));
}

#[rstest]
fn a_missing_measurement_is_named() {
    let text = FILE.replace("\"claim_bytes\"", "\"claim_octets\"");
    let measures = serde_json::from_str(&text).unwrap();
    let missing = measures::Missing("claim_bytes".into());
    assert_eq!(table::rows(&measures).unwrap_err(), missing);
}
