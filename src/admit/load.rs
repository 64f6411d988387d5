//! An upstream's load as its node counts it, sent back with every answer.

use std::fmt;
use std::str;

/// Load of one upstream. Its text is `running/waiting/slots/service`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Calls that run.
    pub running: u16,
    /// Calls that wait for a slot.
    pub waiting: u16,
    /// Calls that may run at once.
    pub slots: u16,
    /// Mean time a call ran, without its wait, in microseconds; 0 before one has ended.
    pub service_us: u32,
}

impl Load {
    /// The same with a further wait of `micros` before a call gets its slot, told as calls that
    /// wait.
    pub fn and_wait(mut self, micros: f32) -> Self {
        if self.service_us > 0 {
            let calls = micros * f32::from(self.slots) / self.service_us as f32;
            // A float that is out of range ends at the bound.
            self.waiting = self.waiting.saturating_add(calls as u16);
        }
        self
    }
}

/// A text that is no load.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a load: running/waiting/slots/service expected")]
pub struct Malformed;

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.running, self.waiting, self.slots, self.service_us)
    }
}

impl str::FromStr for Load {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(4, '/');
        let load = Self {
            running: number(parts.next())?,
            waiting: number(parts.next())?,
            slots: number(parts.next())?,
            service_us: number(parts.next())?,
        };
        Ok(load)
    }
}

fn number<N: str::FromStr>(part: Option<&str>) -> Result<N, Malformed> {
    part.and_then(|p| p.parse().ok()).ok_or(Malformed)
}
