//! Counters of the control traffic a node sends and receives.

use std::sync::atomic;

/// Purpose of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Claims and usage between nodes.
    Ledger,
    /// Requests to the platform's log.
    Log,
    /// Membership messages between nodes.
    Member,
    /// Configuration between nodes.
    Spread,
}

/// All purposes, in the order of the counters.
pub const PURPOSES: [Purpose; 4] =
    [Purpose::Ledger, Purpose::Log, Purpose::Member, Purpose::Spread];

/// Counts of one purpose. Bytes are payload bytes, without UDP, TCP and IP headers.
#[derive(Debug, Default)]
pub struct Counts {
    /// Bytes sent.
    pub sent: atomic::AtomicU64,
    /// Bytes received.
    pub received: atomic::AtomicU64,
    /// Datagrams or frames sent.
    pub messages: atomic::AtomicU64,
    /// Datagrams or frames dropped because of a wrong tag, a decoding error or their size.
    pub dropped: atomic::AtomicU64,
}

/// Counts of every purpose.
#[derive(Debug, Default)]
pub struct Traffic {
    counts: [Counts; PURPOSES.len()],
}

impl Traffic {
    /// The counts of `purpose`.
    pub fn of(&self, purpose: Purpose) -> &Counts {
        &self.counts[purpose as usize]
    }
}

impl Counts {
    /// Counts one message of `bytes` bytes sent.
    pub fn sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, atomic::Ordering::Relaxed);
        self.messages.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts one message of `bytes` bytes received.
    pub fn received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    /// Counts one message dropped.
    pub fn dropped(&self) {
        self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
    }
}
