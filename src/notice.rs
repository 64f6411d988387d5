//! What an upstream says of itself in its answers, and how nodes relay it to each other.

use std::fmt;
use std::str;

use prometheus_client::metrics::{counter, gauge};
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::admit;

#[cfg(test)]
mod tests;

/// What one incarnation of an upstream says of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// The limit on its calls from all nodes together; `None`: it names none.
    pub limit: Option<admit::Rate>,
    /// Whether it has said that it is leaving, which it can't take back.
    pub leaving: bool,
}

/// Counts of the notices of the upstream beside a node.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// 1 while the upstream names a limit.
    pub limited: gauge::Gauge,
    /// 1 once the upstream has said that it is leaving.
    pub leaving: gauge::Gauge,
    /// Calls that were refused because that limit was used up.
    pub refused: counter::Counter,
}

/// The call path's side: counts, and what the other duties need to know.
#[derive(Clone, Debug, Default)]
pub struct CallSide {
    /// Counts of the notices.
    pub counts: Counts,
    /// The incarnation of the local upstream that said that it leaves, as in
    /// [`crate::view::Upstream::incarnation`].
    pub leaving: watch::Sender<Option<u32>>,
}

/// Identifies an incarnation of an upstream whatever node is beside it: a hash of the name of its
/// instance and of its start time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identity(u64);

impl Identity {
    /// The identity of the incarnation of `instance` that started at `born`; `None` for an instance
    /// without a name, which can't be told from its successor.
    pub fn of(instance: &SmolStr, born: Option<u64>) -> Option<Self> {
        if instance.is_empty() {
            return None;
        }
        let mut hasher = blake3::Hasher::new();
        hasher.update(&born.unwrap_or_default().to_le_bytes());
        hasher.update(instance.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Some(Self(u64::from_le_bytes(first)))
    }
}

/// A notice as nodes send it to each other. Its text form is
/// `incarnation/identity/limit/leaving`, with `-` for what is not there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Relayed {
    /// Incarnation of the upstream, as in [`crate::view::Upstream::incarnation`].
    pub incarnation: u32,
    /// Identity of the upstream; `None` if it has no name.
    pub identity: Option<Identity>,
    /// The notice.
    pub notice: Notice,
}

/// The text is not a relayed notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a notice: incarnation/identity/limit/leaving expected")]
pub struct Malformed;

impl fmt::Display for Relayed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/", self.incarnation)?;
        match self.identity {
            Some(Identity(hash)) => write!(f, "{hash:x}/")?,
            None => f.write_str("-/")?,
        }
        match self.notice.limit {
            Some(rate) => write!(f, "{}/", rate.millis())?,
            None => f.write_str("-/")?,
        }
        write!(f, "{}", u8::from(self.notice.leaving))
    }
}

impl str::FromStr for Relayed {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split('/').collect();
        let &[incarnation, identity, limit, leaving] = parts.as_slice() else {
            return Err(Malformed);
        };
        let identity = optional(identity, |text| u64::from_str_radix(text, 16).ok())?;
        let limit = optional(limit, |text| text.parse().ok())?;
        let leaving = match leaving {
            "0" => false,
            "1" => true,
            _ => return Err(Malformed),
        };
        Ok(Self {
            incarnation: incarnation.parse().map_err(|_| Malformed)?,
            identity: identity.map(Identity),
            notice: Notice { limit: limit.map(admit::Rate::from_millis), leaving },
        })
    }
}

/// `None` if `text` is `-`, else what `parse` makes of it.
fn optional<T>(text: &str, parse: impl Fn(&str) -> Option<T>) -> Result<Option<T>, Malformed> {
    if text == "-" { Ok(None) } else { parse(text).map(Some).ok_or(Malformed) }
}
