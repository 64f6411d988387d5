//! The writer of one partition's claims.
//!
//! Any number of writers may write the same partition: each answers from what it reads back from
//! the log, never from what it wrote. A lost answer of an append is therefore resolved by reading.
//! Entries that are not read back are written again, which is harmless, since a claim is identified
//! by its attempt.

use std::collections;
use std::collections::hash_map;
use std::time;

use crate::claim;
use crate::claim::circuit;
use crate::claim::event::{Action, Answer, AppendId, AppendOutcome, Event, Limits, Token};
use crate::claim::fold;
use crate::claim::follow;
use crate::claim::record;
use crate::clock;
use crate::logs;

/// How often deadlines and the append in flight are checked.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// After the log was restored from an older copy, entries of this last stretch of log time may be
/// missing from it and are written again.
const RECHECK_WINDOW: time::Duration = time::Duration::from_secs(60);

/// A request that waits for its entry to be read back.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    token: Token,
    deadline: clock::Instant,
}

/// An entry that requests wait for.
#[derive(Debug)]
struct Pending {
    waiters: Vec<Waiter>,
    /// Whether it was part of an append that may have succeeded.
    written: bool,
    /// Whether it was part of an append whose answer was lost.
    repeated: bool,
}

/// An append in flight: its entries have not all been read back.
#[derive(Debug)]
struct Flight {
    id: AppendId,
    entries: Vec<record::Entry>,
    since: clock::Instant,
}

/// The writer. It holds no lease: at any moment it may be paused or replaced, or another writer of
/// the same partition may run beside it.
#[derive(Debug)]
pub struct Writer {
    limits: Limits,
    fold: fold::Fold,
    follower: follow::Follower,
    pending: collections::HashMap<record::Entry, Pending>,
    /// Entries to append, oldest first; those no longer pending are skipped.
    queue: collections::VecDeque<record::Entry>,
    flight: Option<Flight>,
    /// Entries read before the log was restored from an older copy and not read again since.
    unconfirmed: collections::BTreeSet<record::Entry>,
    /// When the next append may be made.
    next_append: clock::Instant,
    appends: circuit::Circuit,
    reads: circuit::Circuit,
    /// Whether a read is under way.
    reading: bool,
    /// When deadlines were last checked.
    last_check: clock::Instant,
    append_ids: u64,
}

impl Writer {
    /// A writer that has read nothing yet.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            fold: fold::Fold::new(limits.window),
            follower: follow::Follower::new(limits.window),
            pending: collections::HashMap::new(),
            queue: collections::VecDeque::new(),
            flight: None,
            unconfirmed: collections::BTreeSet::new(),
            next_append: clock::Instant::ZERO,
            appends: circuit::Circuit::default(),
            reads: circuit::Circuit::default(),
            reading: false,
            last_check: clock::Instant::ZERO,
            append_ids: 0,
        }
    }

    /// Handles an event and returns what is to be done.
    pub fn handle(&mut self, event: Event, now: clock::Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Request { token, entry, deadline } => {
                if let Some(answer) = self.request(Waiter { token, deadline }, entry, now) {
                    actions.push(Action::Answer(token, answer));
                }
            }
            Event::Appended { id, outcome } => self.appended(id, outcome, now, &mut actions),
            Event::Read(batch) => self.read(batch, now, &mut actions),
            Event::Tick => {}
        }
        if now.since(self.last_check) >= CHECK_INTERVAL {
            self.last_check = now;
            self.expire(now, &mut actions);
            self.check_flight(now, &mut actions);
        }
        self.append(now, &mut actions);
        self.follow(now, &mut actions);
        actions
    }

    /// When [`Event::Tick`] is due at the latest, if nothing else happens.
    pub fn wake(&self) -> Option<clock::Instant> {
        let waiters = (!self.pending.is_empty()).then(|| self.last_check + CHECK_INTERVAL);
        // Before the stream is read, or with an append in flight, a read has to come first, so no
        // time is set for the queue.
        let ready = self.follower.current() && self.flight.is_none();
        let queued = ready && !(self.queue.is_empty() && self.unconfirmed.is_empty());
        let queued = queued.then(|| self.next_append.max(self.appends.next_attempt()));
        let read = (!self.reading).then(|| self.reads.next_attempt());
        waiters.into_iter().chain(queued).chain(read).min()
    }

    /// Whether no request waits and nothing is to be written.
    pub fn idle(&self) -> bool {
        self.pending.is_empty() && self.unconfirmed.is_empty()
    }

    /// Whether the stream has been read up to its end.
    pub const fn current(&self) -> bool {
        self.follower.current()
    }

    /// Number of keys held in memory.
    pub fn held(&self) -> usize {
        self.fold.len()
    }

    /// Handles a claim or release; returns the answer if it is known at once.
    fn request(
        &mut self,
        waiter: Waiter,
        entry: record::Entry,
        now: clock::Instant,
    ) -> Option<Answer> {
        if waiter.deadline <= now {
            return Some(Answer::Failed { error: claim::Error::Late, written: false });
        }
        if let Some(answer) = self.known_answer(&entry) {
            return Some(answer);
        }
        if let Some(retry_after) = self.unavailable_for(now) {
            let error = claim::Error::Unavailable { retry_after };
            return Some(Answer::Failed { error, written: false });
        }
        let full = self.pending.len() >= self.limits.max_waiting;
        match self.pending.entry(entry) {
            hash_map::Entry::Occupied(mut pending) => pending.get_mut().waiters.push(waiter),
            hash_map::Entry::Vacant(_) if full => {
                let error = claim::Error::Busy { retry_after: self.limits.append_interval };
                return Some(Answer::Failed { error, written: false });
            }
            hash_map::Entry::Vacant(pending) => {
                pending.insert(Pending { waiters: vec![waiter], written: false, repeated: false });
                self.queue.push_back(entry);
            }
        }
        None
    }

    /// The answer according to the log as read so far.
    ///
    /// A key that is taken here may have been released since by an entry that this writer has not
    /// read. The caller is then answered with a holder that has just released, and may retry.
    fn known_answer(&self, entry: &record::Entry) -> Option<Answer> {
        if !self.follower.current() {
            return None;
        }
        let void = self.fold.is_void(entry.key, entry.attempt);
        match entry.op {
            record::Op::Release => void.then_some(Answer::Released),
            record::Op::Claim => match self.fold.verdict(entry.key, entry.attempt) {
                Some(verdict) => Some(Answer::Claimed(verdict)),
                None if void => Some(Answer::Failed { error: claim::Error::Late, written: true }),
                None => None,
            },
        }
    }

    /// Retry-after while the log fails; `None` while it works.
    fn unavailable_for(&self, now: clock::Instant) -> Option<time::Duration> {
        let stuck = self.flight.as_ref().is_some_and(|f| self.is_stuck(f, now));
        let stuck = stuck.then_some(self.limits.append_timeout);
        self.appends.open_for(now).max(self.reads.open_for(now)).or(stuck)
    }

    /// Whether `flight` was not read back within the append timeout.
    fn is_stuck(&self, flight: &Flight, now: clock::Instant) -> bool {
        now.since(flight.since) >= self.limits.append_timeout
    }

    /// Records the outcome of an append. Requests are answered only when their entries are read
    /// back; after a failure the entries are written again, unless they are read back meanwhile.
    fn appended(
        &mut self,
        id: AppendId,
        outcome: AppendOutcome,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let flight = self.flight.take_if(|flight| flight.id == id);
        if outcome == AppendOutcome::Appended {
            self.appends.succeed();
            return;
        }
        let Some(flight) = flight else { return };
        for entry in flight.entries.into_iter().rev() {
            if let Some(pending) = self.pending.get_mut(&entry) {
                pending.written &= outcome == AppendOutcome::Unknown || pending.repeated;
                pending.repeated |= outcome == AppendOutcome::Unknown;
                self.queue.push_front(entry);
            }
        }
        if self.appends.fail(now) {
            self.refuse(now, actions);
        }
    }

    /// Answers all waiting requests that there is no verdict, and drops their unwritten entries.
    fn refuse(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let retry_after = self.unavailable_for(now).unwrap_or(self.limits.append_timeout);
        let error = claim::Error::Unavailable { retry_after };
        self.queue.clear();
        for (_, pending) in self.pending.drain() {
            let answer = Answer::Failed { error, written: pending.written };
            actions.extend(pending.waiters.iter().map(|w| Action::Answer(w.token, answer)));
        }
    }

    /// Handles the result of a read.
    fn read(&mut self, batch: Option<logs::Batch>, now: clock::Instant, actions: &mut Vec<Action>) {
        self.reading = false;
        let Some(batch) = batch else {
            self.follower.fail();
            if self.reads.fail(now) {
                self.refuse(now, actions);
            }
            return;
        };
        self.reads.succeed();
        match self.follower.advance(&batch) {
            follow::Step::Seek => {}
            follow::Step::Restored => self.mark_unconfirmed(),
            follow::Step::Gap => self.fold = fold::Fold::new(self.limits.window),
            follow::Step::Apply => batch.records.iter().for_each(|r| self.apply(r, actions)),
        }
    }

    /// Handles a log that was restored from an older copy: entries read lately may be missing from
    /// it, and so may an append that has not been read back. All of these are written again.
    fn mark_unconfirmed(&mut self) {
        self.unconfirmed.extend(self.fold.recent(RECHECK_WINDOW));
        self.flight = None;
        let queued: collections::HashSet<_> = self.queue.iter().copied().collect();
        let unread = self.pending.iter_mut().filter(|(entry, _)| !queued.contains(*entry));
        let mut unread: Vec<record::Entry> = unread
            .map(|(entry, pending)| {
                pending.repeated = true;
                *entry
            })
            .collect();
        unread.sort_unstable();
        unread.into_iter().rev().for_each(|entry| self.queue.push_front(entry));
    }

    /// Applies one record and answers the requests that wait for its entries.
    fn apply(&mut self, record: &logs::Record, actions: &mut Vec<Action>) {
        // Every writer ignores a record that does not decode, so all agree on the verdicts.
        let Ok(entries) = record::decode(&record.body) else { return };
        for entry in entries {
            self.unconfirmed.remove(&entry);
            self.fold.apply(record.unix_millis, &entry);
            let Some(pending) = self.pending.remove(&entry) else { continue };
            let answer = self.verdict(&entry);
            actions.extend(pending.waiters.iter().map(|w| Action::Answer(w.token, answer)));
        }
        let waits = |entry: &record::Entry| {
            self.pending.contains_key(entry) || self.unconfirmed.contains(entry)
        };
        let unread = |flight: &Flight| flight.entries.iter().any(waits);
        if self.flight.as_ref().is_some_and(|flight| !unread(flight)) {
            self.flight = None;
            self.appends.succeed();
        }
    }

    /// The answer for an entry that was just read.
    fn verdict(&self, entry: &record::Entry) -> Answer {
        if entry.op == record::Op::Release {
            return Answer::Released;
        }
        let verdict = self.fold.verdict(entry.key, entry.attempt);
        let late = Answer::Failed { error: claim::Error::Late, written: true };
        verdict.map_or(late, Answer::Claimed)
    }

    /// Answers requests past their deadline; entries without further requests are dropped.
    fn expire(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        self.pending.retain(|_, pending| {
            let answer = Answer::Failed { error: claim::Error::Late, written: pending.written };
            let (late, remaining) = pending.waiters.iter().partition(|w| w.deadline <= now);
            pending.waiters = remaining;
            let late: Vec<Waiter> = late;
            actions.extend(late.iter().map(|w| Action::Answer(w.token, answer)));
            !pending.waiters.is_empty()
        });
    }

    /// Refuses all waiting requests when the append in flight was not read back within its timeout.
    fn check_flight(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let late = self.flight.as_ref().is_some_and(|flight| self.is_stuck(flight, now));
        if late && !self.pending.is_empty() {
            self.refuse(now, actions);
        }
    }

    /// Appends waiting entries if an append may be made now.
    fn append(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let ready = self.follower.current() && self.appends.ready(now);
        if !ready || self.flight.is_some() || now < self.next_append {
            return;
        }
        let mut entries = self.rewritten();
        while self.unconfirmed.is_empty() && entries.len() < record::MAX_ENTRIES {
            let Some(entry) = self.queue.pop_front() else { break };
            if let Some(pending) = self.pending.get_mut(&entry) {
                pending.written = true;
                entries.push(entry);
            }
        }
        if entries.is_empty() {
            return;
        }
        self.append_ids += 1;
        let id = AppendId(self.append_ids);
        actions.push(Action::Append(id, record::encode(&entries)));
        self.flight = Some(Flight { id, entries, since: now });
        self.next_append = now + self.limits.append_interval;
    }

    /// Entries to write again, which go before new ones. Releases come first, so that the claim of
    /// the current holder finds its key free.
    fn rewritten(&self) -> Vec<record::Entry> {
        let of = |op| self.unconfirmed.iter().filter(move |entry| entry.op == op);
        of(record::Op::Release)
            .chain(of(record::Op::Claim))
            .take(record::MAX_ENTRIES)
            .copied()
            .collect()
    }

    /// Starts the next read unless one is under way.
    fn follow(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        if !self.reading && self.reads.ready(now) {
            self.reading = true;
            actions.push(Action::Read(self.follower.read()));
        }
    }
}
