//! Logs as JSON lines: those of a node on standard output, those of other commands on standard
//! error.
//!
//! Each line is one object with `ts` (UTC, RFC 3339 with milliseconds), `level`, `target`, `msg`,
//! and the key-value pairs of the record. A key with one of these four names gets an underscore
//! appended. `RUST_LOG` sets the levels; the default is `info`.

use std::io::{self, Write};
use std::panic;

use log::kv;
use serde_json::Value;

pub mod sink;
#[cfg(test)]
mod tests;

const TS: &str = "ts";
const LEVEL: &str = "level";
const TARGET: &str = "target";
const MSG: &str = "msg";

/// Starts the logger of a command, which writes to standard error and also logs panics of any
/// thread. Further calls have no effect.
pub fn init() {
    start(env_logger::Target::Stderr);
}

/// Starts the logger of a node, which writes to standard output without blocking the caller.
///
/// # Errors
///
/// Fails when the writer thread can't be started.
pub fn init_node() -> io::Result<sink::Sink> {
    let sink = sink::Sink::start(io::stdout())?;
    start(env_logger::Target::Pipe(Box::new(sink.clone())));
    Ok(sink)
}

fn start(target: env_logger::Target) {
    let filter = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(filter);
    builder.target(target).format(|out, record| {
        let ts = out.timestamp_millis().to_string();
        writeln!(out, "{}", line(&ts, record))
    });
    if builder.try_init().is_ok() {
        panic::set_hook(Box::new(|info| log::error!("{info}")));
    }
}

/// Returns the JSON object of `record`, created at `ts`.
fn line(ts: &str, record: &log::Record<'_>) -> Value {
    let mut fields = Fields(serde_json::Map::new());
    // The visitor never returns an error.
    let _ = record.key_values().visit(&mut fields);
    let Fields(mut map) = fields;
    map.insert(TS.to_owned(), ts.into());
    map.insert(LEVEL.to_owned(), record.level().as_str().into());
    map.insert(TARGET.to_owned(), record.target().into());
    map.insert(MSG.to_owned(), record.args().to_string().into());
    Value::Object(map)
}

/// Collects the key-value pairs of a record.
struct Fields(serde_json::Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let mut key = key.as_str().to_owned();
        if [TS, LEVEL, TARGET, MSG].contains(&key.as_str()) {
            key.push('_');
        }
        self.0.insert(key, json(&value));
        Ok(())
    }
}

/// Converts a value to JSON. Whatever is not a number or a Boolean becomes a string.
fn json(value: &kv::Value<'_>) -> Value {
    if let Some(boolean) = value.to_bool() {
        return boolean.into();
    }
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_i64() {
        return number.into();
    }
    match value.to_f64() {
        Some(number) => number.into(),
        None => value.to_string().into(),
    }
}
