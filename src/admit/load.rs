//! An upstream's load as its node counts it, sent back with every answer.

use std::fmt;
use std::str;

/// Load of one upstream. Its text is `running/waiting/slots`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Calls that run.
    pub running: u16,
    /// Calls that wait for a slot.
    pub waiting: u16,
    /// Calls that may run at once.
    pub slots: u16,
}

/// A text that is no load.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a load: running/waiting/slots expected")]
pub struct Malformed;

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.running, self.waiting, self.slots)
    }
}

impl str::FromStr for Load {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '/').map(|part| part.parse().map_err(|_| Malformed));
        let running = parts.next().ok_or(Malformed)??;
        let waiting = parts.next().ok_or(Malformed)??;
        let slots = parts.next().ok_or(Malformed)??;
        Ok(Self { running, waiting, slots })
    }
}
