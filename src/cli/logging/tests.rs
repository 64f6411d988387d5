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
fn a_pair_keeps_its_type(
    #[case] key: &str,
    #[case] value: kv::Value<'_>,
    #[case] field: &str,
    #[case] wanted: serde_json::Value,
) {
    let line = line(&[(key, value)]);
    assert_eq!((&line[field], &line["msg"]), (&wanted, &json!("two\nlines")));
}
