//! The times of a planned stop, all counted from the request to stop.

use std::time;

use crate::configs;

/// How long before the end of the calls the last answers must be sent, so that they still reach
/// their callers. A call that outlasted the process would end without an answer.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(200);

/// Divides the time until the process is killed. The quotient is reserved for what follows the last
/// answer: sending it, the end of the calls and the last usage counts.
const RESERVE_DIVISOR: u32 = 7;

/// Maximum of the time reserved; more would only cut calls earlier.
const MAX_RESERVE: time::Duration = time::Duration::from_secs(1);

/// Parts of the time reserved, of which the last answers and the usage counts get one each.
const RESERVE_PARTS: u32 = 3;

/// The part of the time until the kill for which new calls are taken, in tenths.
const SERVE_TENTHS: u32 = 4;

/// The times of a planned stop.
///
/// Invariant: `serve` <= `answer` <= `cut`, and `cut` + `flush` is before the process is killed, if
/// that time is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Until when the node serves new calls.
    pub serve: time::Duration,
    /// When the last answers must be sent.
    pub answer: time::Duration,
    /// When calls that are still in flight are cut.
    pub cut: time::Duration,
    /// Maximum time after the calls for the last usage counts.
    pub flush: time::Duration,
}

impl Plan {
    /// The times that follow from `settings`.
    pub fn new(settings: &configs::stop::Stop) -> Self {
        let serve = time::Duration::from_millis(settings.serve_ms);
        let flush = time::Duration::from_millis(settings.flush_ms);
        match time::Duration::try_from_secs_f64(settings.kill_s) {
            Ok(kill) if !kill.is_zero() => Self::before_kill(kill, serve, flush),
            _ => {
                let cut = serve + time::Duration::from_millis(settings.drain_ms);
                Self { serve, answer: cut.saturating_sub(ANSWER_MARGIN), cut, flush }
            }
        }
    }

    /// The times of a process that is killed after `kill`.
    fn before_kill(kill: time::Duration, serve: time::Duration, flush: time::Duration) -> Self {
        let reserve = (kill / RESERVE_DIVISOR).min(MAX_RESERVE);
        let part = reserve / RESERVE_PARTS;
        let answer = kill - reserve;
        Self {
            serve: serve.min(kill * SERVE_TENTHS / 10),
            answer,
            cut: answer + part.min(ANSWER_MARGIN),
            flush: flush.min(part),
        }
    }
}
