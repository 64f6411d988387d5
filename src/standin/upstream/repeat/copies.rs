//! When the copies of the answers of one connection are due.

use std::time;

use bytes::Bytes;

use crate::standin::upstream::repeat;

/// Condition under which a copy is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Due {
    /// So many more requests have arrived.
    Requests(u8),
    /// The time has come.
    At(time::Instant),
}

/// The copies that are still to be sent on a connection, in order of their answers.
#[derive(Debug)]
pub struct Pending(Vec<(Due, Bytes)>);

impl Pending {
    /// No copies.
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// Notes the copies of `answer`, which ended at `now`.
    pub fn answered(&mut self, answer: Bytes, copies: repeat::Copies, now: time::Instant) {
        let due = match copies.how {
            repeat::How::Late | repeat::How::Twice => Due::Requests(1),
            repeat::How::Behind => Due::Requests(2),
            repeat::How::AtOnce => Due::At(now),
            repeat::How::Delayed => Due::At(now + copies.delay),
        };
        if copies.how == repeat::How::Twice {
            self.0.push((due, answer.clone()));
        }
        self.0.push((due, answer));
    }

    /// Notes that a request has arrived.
    pub fn requested(&mut self) {
        for (due, _) in &mut self.0 {
            if let Due::Requests(left) = due {
                *left = left.saturating_sub(1);
            }
        }
    }

    /// Takes the first copy that is due at `now`.
    pub fn take(&mut self, now: time::Instant) -> Option<Bytes> {
        let is_due = |due: &Due| match due {
            Due::Requests(left) => *left == 0,
            Due::At(at) => *at <= now,
        };
        let first = self.0.iter().position(|(due, _)| is_due(due))?;
        Some(self.0.remove(first).1)
    }

    /// Time at which the next copy is due that waits for no request.
    pub fn next_at(&self) -> Option<time::Instant> {
        let times = self.0.iter().filter_map(|(due, _)| match due {
            Due::At(at) => Some(*at),
            Due::Requests(_) => None,
        });
        times.min()
    }
}
