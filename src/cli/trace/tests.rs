//! Tests of the path of a call through several logs.

use crate::cli::trace;

/// Log of the entry node, whose clock is three seconds ahead of the others.
const ENTRY: &str = r#"
{"msg":"node starts","listen":"10.0.0.1:7100","ts":"2026-01-01T00:00:00.000Z"}
{"id":"other","msg":"a call ended without an answer of its upstream","ts":"2026-01-01T00:00:04.000Z"}
{"id":"c1","msg":"an attempt brought no answer","host":"10.0.0.2:7100","attempt":1,"again":true,"outcome":"not-run","reason":"full","ts":"2026-01-01T00:00:05.000Z"}
not a line of JSON
{"id":"c1","msg":"an upstream answered a call","status":200,"took_ms":40,"ts":"2026-01-01T00:00:05.040Z"}
"#;

const REFUSED: &str = r#"
{"msg":"node starts","listen":"10.0.0.2:7100","ts":"2026-01-01T00:00:00.000Z"}
{"id":"c1","msg":"the upstream's node did not let a call in","running":9,"waiting":3,"ts":"2026-01-01T00:00:01.990Z"}
"#;

const RAN: &str = r#"
{"msg":"node starts","listen":"10.0.0.3:7100","ts":"2026-01-01T00:00:00.000Z"}
{"id":"c1","msg":"the upstream ran a call","waited_ms":3,"ran_ms":30,"ts":"2026-01-01T00:00:02.030Z"}
"#;

fn path(files: &[(&str, &str)], id: &str) -> String {
    let logs: Vec<_> = files.iter().map(|(name, text)| trace::Log::read(name, text, id)).collect();
    trace::path(&logs)
}

#[test]
fn a_path_is_ordered_by_causality_despite_clock_differences() {
    let text = path(&[("c.log", RAN), ("a.log", ENTRY), ("b.log", REFUSED)], "c1");
    let wanted = [
        "entry 10.0.0.1:7100",
        "    upstream's node 10.0.0.2:7100: the upstream's node did not let a call in",
        "      running=9 ts=2026-01-01T00:00:01.990Z waiting=3",
        "  entry: an attempt brought no answer",
        "    again=true attempt=1 host=10.0.0.2:7100 outcome=not-run reason=full \
         ts=2026-01-01T00:00:05.000Z",
        "    upstream's node 10.0.0.3:7100: the upstream ran a call",
        "      ran_ms=30 ts=2026-01-01T00:00:02.030Z waited_ms=3",
        "  entry: an upstream answered a call",
        "    status=200 took_ms=40 ts=2026-01-01T00:00:05.040Z",
        "1 lines are not JSON and were left out",
    ];
    assert_eq!(text.lines().collect::<Vec<_>>(), wanted);
}

#[test]
fn lines_of_owner_nodes_are_shown_without_lines_of_the_entry_node() {
    let text = path(&[("b.log", REFUSED)], "c1");
    assert!(text.starts_with("    upstream's node 10.0.0.2:7100:"), "{text}");
}

#[test]
fn an_unknown_call_has_no_path() {
    assert_eq!(path(&[("a.log", ENTRY)], "c2"), "");
    assert_eq!(path(&[], "c1"), "");
}
