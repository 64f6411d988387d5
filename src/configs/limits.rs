//! Ranges of the settings of a node.

use std::net;

use serde_json::Value;

use crate::configs;
use crate::configs::load;
use crate::host;
use crate::mesh::fault;

#[cfg(test)]
mod tests;

/// Minimum length of the mesh key.
const MIN_KEY_BYTES: usize = 16;

const HOUR_MS: u64 = 3_600_000;
const HOUR_S: u64 = 3600;
const GIGABYTE: u64 = 1_073_741_824;
const WEEK_S: u64 = 604_800;
const MONTH_S: u64 = 31 * 86_400;

/// Range of a number, with both bounds included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// JSON pointer to the number.
    pub pointer: &'static str,
    /// Minimum value.
    pub min: u64,
    /// Maximum value.
    pub max: u64,
}

const fn limit(pointer: &'static str, min: u64, max: u64) -> Limit {
    Limit { pointer, min, max }
}

/// Range of each number among the settings of a node.
pub const NODE: &[Limit] = &[
    limit("/admin/lease_ms", 100, HOUR_MS),
    limit("/admin/connections", 1, 10_000),
    limit("/admin/scatter", 1, 1000),
    limit("/admin/answer_ms", 1, 60_000),
    limit("/admin/report_ms", 1, HOUR_MS),
    limit("/call/attempts", 1, 10),
    limit("/call/retry_burst", 0, 10_000),
    limit("/call/candidates", 2, 16),
    limit("/call/eject_after", 1, 100),
    limit("/call/eject_ms", 1, HOUR_MS),
    limit("/call/eject_most_ms", 1, HOUR_MS),
    limit("/call/slow_factor", 2, 100),
    limit("/call/load_half_ms", 1, 60_000),
    limit("/call/cross_bytes", 0, GIGABYTE),
    limit("/call/loss_window_ms", 0, 60_000),
    limit("/claim/group_ms", 1, 1000),
    limit("/claim/partitions", 1, 1024),
    limit("/claim/window_s", 1, WEEK_S),
    limit("/claim/patience_ms", 10, 60_000),
    limit("/claim/hedge_ms", 1, 60_000),
    limit("/claim/waiting", 1, 1_000_000),
    limit("/log/append_ms", 1, 60_000),
    limit("/log/wait_ms", 1, 300_000),
    limit("/log/retention_s", 10, 10 * 366 * 86_400),
    limit("/member/probe_ms", 10, 60_000),
    limit("/member/answer_ms", 1, 20_000),
    limit("/member/helpers", 0, 16),
    limit("/member/suspicion", 1, 100),
    limit("/member/retransmit", 1, 32),
    limit("/member/urgent", 0, 64),
    limit("/member/repair_ms", 10, HOUR_MS),
    limit("/member/knock_ms", 10, HOUR_MS),
    limit("/member/pages", 1, 10_000),
    limit("/member/join_ms", 1, 60_000),
    limit("/member/join_most_ms", 1, HOUR_MS),
    limit("/member/alone_ms", 10, HOUR_MS),
    limit("/member/seek_ms", 10, HOUR_MS),
    limit("/member/pause_ms", 10, HOUR_MS),
    limit("/member/forget_s", 1, WEEK_S),
    limit("/member/dark_s", 1, MONTH_S),
    limit("/overload/delay_ms", 0, 1000),
    limit("/proxy/connect_ms", 1, 60_000),
    limit("/proxy/head_ms", 1, HOUR_MS),
    limit("/proxy/head_bytes", 8192, 16_777_216),
    limit("/proxy/head_count", 1, 10_000),
    limit("/proxy/path_bytes", 1, 16_777_216),
    limit("/proxy/keep_bytes", 0, GIGABYTE),
    limit("/proxy/kept_bytes", 0, GIGABYTE),
    limit("/proxy/whole_bytes", 0, GIGABYTE),
    limit("/proxy/idle_ms", 1, HOUR_MS),
    limit("/proxy/link_mbps", 0, 1_000_000),
    limit("/proxy/stream_bytes", 65_535, GIGABYTE),
    limit("/proxy/link_bytes", 65_535, GIGABYTE),
    limit("/proxy/link_calls", 1, 1_000_000),
    limit("/proxy/ping_ms", 1, HOUR_MS),
    limit("/proxy/pong_ms", 1, HOUR_MS),
    limit("/proxy/held_ms", 0, HOUR_MS),
    limit("/proxy/held_count", 0, 10_000_000),
    limit("/proxy/held_bytes", 0, GIGABYTE),
    limit("/proxy/linger_ms", 0, 60_000),
    limit("/proxy/retry_ms", 1, HOUR_MS),
    limit("/proxy/tally_ms", 1, HOUR_MS),
    limit("/quota/window_s", 1, 3600),
    limit("/quota/over_share", 0, 1),
    limit("/quota/slack", 0, 1_000_000),
    limit("/spread/readers", 1, 16),
    limit("/spread/standby_ms", 0, 60_000),
    limit("/spread/fanout", 1, 64),
    limit("/spread/ack_ms", 0, 60_000),
    limit("/spread/pushes", 1, 16),
    limit("/spread/pull_ms", 0, 60_000),
    limit("/spread/retry_ms", 1, 60_000),
    limit("/spread/transfers", 1, 1000),
    limit("/spread/transfer_ms", 10, 600_000),
    limit("/spread/ask", 0, 64),
    limit("/spread/settle_ms", 0, 60_000),
    limit("/spread/confirm_ms", 0, 60_000),
    limit("/spread/witness_ms", 0, 60_000),
    limit("/spread/keep", 0, 64),
    limit("/spread/datagram_bytes", 512, 65_000),
    limit("/stop/kill_s", 0, HOUR_S),
    limit("/stop/serve_ms", 0, 60_000),
    limit("/stop/settle_ms", 0, 60_000),
    limit("/stop/drain_ms", 0, HOUR_MS),
    limit("/stop/flush_ms", 0, 60_000),
    limit("/usage/flush_ms", 10, HOUR_MS),
    limit("/usage/group_ms", 10, HOUR_MS),
    limit("/usage/writers", 1, 16),
];

/// A rule that the number at `pointer`, multiplied by `times`, must not exceed the one at `other`.
struct Proportion {
    pointer: &'static str,
    times: u64,
    other: &'static str,
}

const PROPORTIONS: &[Proportion] = &[
    Proportion { pointer: "/call/eject_ms", times: 1, other: "/call/eject_most_ms" },
    Proportion { pointer: "/member/answer_ms", times: 3, other: "/member/probe_ms" },
    Proportion { pointer: "/member/join_ms", times: 1, other: "/member/join_most_ms" },
];

impl load::Settings for configs::Node {
    fn nest_preset(preset: Value) -> Value {
        preset
    }

    fn validate(tree: &Value, faults: &mut Vec<fault::Fault>) {
        check_numbers(tree, faults);
        check_length(tree, "/mesh", 1, faults);
        check_length(tree, "/key", MIN_KEY_BYTES, faults);
        check_length(tree, "/region", 1, faults);
        check_length(tree, "/zone", 1, faults);
        check_address(tree, "/listen", faults);
        check_base(tree, "/bind", faults);
        check_joins(tree, faults);
    }
}

/// Adds a fault for each number of the node settings `tree` that is out of range, or too large
/// beside another one.
pub fn check_numbers(tree: &Value, faults: &mut Vec<fault::Fault>) {
    NODE.iter().for_each(|limit| check_limit(tree, *limit, faults));
    PROPORTIONS.iter().for_each(|proportion| check_proportion(tree, proportion, faults));
}

/// Adds a fault if the number at `limit.pointer` is out of range.
pub fn check_limit(tree: &Value, limit: Limit, faults: &mut Vec<fault::Fault>) {
    let Some(Value::Number(number)) = tree.pointer(limit.pointer) else { return };
    let Some(value) = number.as_f64() else { return };
    let (bound, limit_value) = if value < limit.min as f64 {
        (fault::Bound::AtLeast, limit.min)
    } else if value > limit.max as f64 {
        (fault::Bound::AtMost, limit.max)
    } else {
        return;
    };
    let problem = fault::Problem::OutOfRange {
        value: number.to_string(),
        bound,
        limit: limit_value.to_string(),
    };
    faults.push(fault::Fault::new(limit.pointer, problem));
}

fn check_proportion(tree: &Value, proportion: &Proportion, faults: &mut Vec<fault::Fault>) {
    let number = |pointer| tree.pointer(pointer).and_then(Value::as_u64);
    let Some(value) = number(proportion.pointer) else { return };
    let Some(limit) = number(proportion.other) else { return };
    if value.saturating_mul(proportion.times) <= limit {
        return;
    }
    let other = proportion.other.to_owned();
    let problem = fault::Problem::OutOfProportion { times: proportion.times, other, limit };
    faults.push(fault::Fault::new(proportion.pointer, problem));
}

/// Adds a fault if the string at `pointer` has fewer than `min_bytes` bytes.
pub fn check_length(tree: &Value, pointer: &str, min_bytes: usize, faults: &mut Vec<fault::Fault>) {
    let Some(text) = tree.pointer(pointer).and_then(Value::as_str) else { return };
    if text.len() >= min_bytes {
        return;
    }
    let problem =
        fault::Problem::WrongLength { bound: fault::Bound::AtLeast, limit: min_bytes as u64 };
    faults.push(fault::Fault::new(pointer, problem));
}

/// Adds a fault if the address at `pointer` can't be one at which other hosts reach a host.
pub fn check_address(tree: &Value, pointer: &str, faults: &mut Vec<fault::Fault>) {
    check_base(tree, pointer, faults);
    let Some(address) = address(tree, pointer) else { return };
    if address.ip().is_unspecified() {
        let problem = fault::Problem::UnspecifiedAddress { address: address.to_string() };
        faults.push(fault::Fault::new(pointer, problem));
    }
}

/// Adds a fault if the port of the address at `pointer` can't be the base port of a host.
fn check_base(tree: &Value, pointer: &str, faults: &mut Vec<fault::Fault>) {
    if let Some(address) = address(tree, pointer) {
        check_port(address.port(), pointer, faults);
    }
}

fn address(tree: &Value, pointer: &str) -> Option<net::SocketAddr> {
    tree.pointer(pointer)?.as_str()?.parse().ok()
}

/// Adds a fault for `pointer` if `port` can't be the base port of a host.
fn check_port(port: u16, pointer: &str, faults: &mut Vec<fault::Fault>) {
    let max = u16::MAX - host::PORT_COUNT;
    let (bound, limit) = match port {
        0 => (fault::Bound::AtLeast, 1),
        port if port > max => (fault::Bound::AtMost, max),
        _ => return,
    };
    let problem =
        fault::Problem::OutOfRange { value: port.to_string(), bound, limit: limit.to_string() };
    faults.push(fault::Fault::new(pointer, problem));
}

fn check_joins(tree: &Value, faults: &mut Vec<fault::Fault>) {
    let count = tree.pointer("/join").and_then(Value::as_array).map_or(0, Vec::len);
    (0..count).for_each(|index| check_address(tree, &format!("/join/{index}"), faults));
}
