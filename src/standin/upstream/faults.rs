//! Faults that an upstream stand-in injects on request.

use std::time;

use serde::{Deserialize, Serialize};

use crate::standin::upstream::repeat;

/// How an upstream fails completely.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dead {
    /// It works.
    #[default]
    No,
    /// Closes every new connection at once.
    Refuse,
    /// Accepts connections and requests, but runs nothing and never responds.
    Hang,
}

/// Faults of an upstream. The default is none.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Addition to the time of each call, in milliseconds.
    pub slow_ms: u64,
    /// Whether it fails completely, and how.
    pub dead: Dead,
    /// Whether the health and load endpoints always report a healthy, idle upstream.
    pub lie: bool,
    /// Age of the state that the health and load endpoints report, in milliseconds.
    pub lag_ms: u64,
    /// Share of calls it sheds, 0 to 1. A call that comes again is shed again.
    pub shed: f64,
    /// Share of arrivals that it sheds, 0 to 1. A call that comes again may run.
    pub reject: f64,
    /// Share of responses it breaks off in the middle, 0 to 1.
    pub cut: f64,
    /// Pause before each part of a response, in milliseconds.
    pub trickle_ms: u64,
    /// Limit that it names in its responses, in calls a second; 0 if it names none. It does not
    /// enforce it.
    pub limit: f64,
    /// Whether it says in its responses that it is leaving.
    pub leaving: bool,
    /// Share of the answers covered by `repeat_of` that it sends once more, 0 to 1.
    pub repeat: f64,
    /// When it sends the copies.
    pub repeat_how: repeat::How,
    /// Which answers it sends once more.
    pub repeat_of: repeat::Of,
}

/// A change of faults: fields that are absent stay as they are.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// See [`Faults::slow_ms`].
    pub slow_ms: Option<u64>,
    /// See [`Faults::dead`].
    pub dead: Option<Dead>,
    /// See [`Faults::lie`].
    pub lie: Option<bool>,
    /// See [`Faults::lag_ms`].
    pub lag_ms: Option<u64>,
    /// See [`Faults::shed`].
    pub shed: Option<f64>,
    /// See [`Faults::reject`].
    pub reject: Option<f64>,
    /// See [`Faults::cut`].
    pub cut: Option<f64>,
    /// See [`Faults::trickle_ms`].
    pub trickle_ms: Option<u64>,
    /// See [`Faults::limit`].
    pub limit: Option<f64>,
    /// See [`Faults::leaving`].
    pub leaving: Option<bool>,
    /// See [`Faults::repeat`].
    pub repeat: Option<f64>,
    /// See [`Faults::repeat_how`].
    pub repeat_how: Option<repeat::How>,
    /// See [`Faults::repeat_of`].
    pub repeat_of: Option<repeat::Of>,
    /// If true, the upstream starts to drain, which can't be undone.
    pub drain: Option<bool>,
    /// If true, the upstream withdraws its announcement, which can't be undone. It goes on to accept
    /// calls, and announces nothing more.
    pub withdraw: Option<bool>,
    /// If true, an upstream that has withdrawn announces itself once more, as a heartbeat from before
    /// that arrives late.
    pub late_heartbeat: Option<bool>,
}

impl Faults {
    /// Returns these faults with `change` applied.
    pub fn with(self, change: &Change) -> Self {
        Self {
            slow_ms: change.slow_ms.unwrap_or(self.slow_ms),
            dead: change.dead.unwrap_or(self.dead),
            lie: change.lie.unwrap_or(self.lie),
            lag_ms: change.lag_ms.unwrap_or(self.lag_ms),
            shed: change.shed.unwrap_or(self.shed),
            reject: change.reject.unwrap_or(self.reject),
            cut: change.cut.unwrap_or(self.cut),
            trickle_ms: change.trickle_ms.unwrap_or(self.trickle_ms),
            limit: change.limit.unwrap_or(self.limit),
            leaving: change.leaving.unwrap_or(self.leaving),
            repeat: change.repeat.unwrap_or(self.repeat),
            repeat_how: change.repeat_how.unwrap_or(self.repeat_how),
            repeat_of: change.repeat_of.unwrap_or(self.repeat_of),
        }
    }

    /// Addition to the time of each call.
    pub fn slow(&self) -> time::Duration {
        time::Duration::from_millis(self.slow_ms)
    }
}
