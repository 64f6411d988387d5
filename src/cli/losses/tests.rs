//! Tests of the table of lost calls.

use super::Losses;

const LOG: &str = r#"
{"msg":"an attempt brought no answer","again":true,"route":"find","service":"desk","outcome":"not-run","reason":"full","ts":"2026-01-01T00:00:04.100Z","skipped":0}
{"msg":"an attempt brought no answer","again":false,"route":"find","service":"desk","outcome":"not-run","reason":"full","ts":"2026-01-01T00:00:04.100Z","skipped":0}
{"msg":"an attempt brought no answer","again":false,"route":"find","service":"desk","outcome":"not-run","reason":"full","ts":"2026-01-01T00:00:04.900Z","skipped":7}
not a line of JSON
{"msg":"an attempt brought no answer","again":false,"route":"check","service":"store","inner":true,"outcome":"unknown","reason":"cut","ts":"2026-01-01T00:00:05.000Z","skipped":0}
{"msg":"an upstream answered a call","status":200,"ts":"2026-01-01T00:00:05.040Z"}
"#;

#[test]
fn calls_are_counted_by_second_route_and_reason() {
    let mut losses = Losses::default();
    losses.add_log(LOG);
    let text = losses.to_string();
    let wanted = [
        "second               calls  route -> service: outcome, reason",
        "2026-01-01T00:00:04      2  find -> desk: not-run, full",
        "2026-01-01T00:00:05      1  check -> store: unknown, cut, for a running call",
        "7 lines were left out by the nodes; 1 lines are not JSON; 3 calls without an answer",
    ];
    assert_eq!(text.lines().collect::<Vec<_>>(), wanted);
}

#[test]
fn logs_without_losses_have_a_total_of_zero() {
    let text = Losses::default().to_string();
    assert!(text.ends_with("\n0 calls without an answer\n"), "{text}");
}
