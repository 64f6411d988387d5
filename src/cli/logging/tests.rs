use log::kv;
use rstest::rstest;
use serde_json::json;

use crate::cli::logging;

fn line(pairs: &[(&str, kv::Value<'_>)]) -> serde_json::Value {
    let mut builder = log::Record::builder();
    builder.level(log::Level::Warn).target("mesh").key_values(&pairs);
    logging::line("now", &builder.args(format_args!("two\nlines")).build())
}

#[test]
fn a_record_is_one_line_of_json() {
    let text = line(&[]).to_string();
    assert!(!text.contains('\n'));
    let wanted = json!({"ts": "now", "level": "WARN", "target": "mesh", "msg": "two\nlines"});
    assert_eq!(text.parse::<serde_json::Value>().expect("JSON"), wanted);
}

#[rstest]
#[case::text("a", kv::Value::from("x"), "a", json!("x"))]
#[case::number("a", kv::Value::from(7u64), "a", json!(7))]
#[case::negative("a", kv::Value::from(-7i64), "a", json!(-7))]
#[case::fraction("a", kv::Value::from(0.5f64), "a", json!(0.5))]
#[case::truth("a", kv::Value::from(true), "a", json!(true))]
#[case::reserved("msg", kv::Value::from(1u64), "msg_", json!(1))]
fn a_value_keeps_its_type(
    #[case] key: &str,
    #[case] value: kv::Value<'_>,
    #[case] field: &str,
    #[case] wanted: serde_json::Value,
) {
    let line = line(&[(key, value)]);
    assert_eq!((&line[field], &line["msg"]), (&wanted, &json!("two\nlines")));
}

/// An output that blocks until the sender of the first channel is dropped.
struct Blocked(std::sync::mpsc::Receiver<()>, std::sync::mpsc::Sender<Vec<u8>>);

impl std::io::Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Returns an error once the test drops the sender.
        let _ = self.0.recv();
        let _ = self.1.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_output_does_not_block_writers_and_reports_dropped_lines() {
    let ((unblock, wait), (out, written)) =
        (std::sync::mpsc::channel(), std::sync::mpsc::channel());
    let mut sink = logging::sink::Sink::start(Blocked(wait, out)).expect("a thread");
    for number in 0..10_000 {
        std::io::Write::write_all(&mut sink, format!("{number}\n").as_bytes()).expect("room");
    }
    drop(unblock);
    sink.flush_lines();
    let text: Vec<u8> = written.try_iter().flatten().collect();
    let text = String::from_utf8(text).expect("text");
    assert!(text.starts_with("0\n"));
    assert!(text.contains("log lines were dropped"), "{}", text.len());
}
