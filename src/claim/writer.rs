//! The writer of one partition's claims.
//!
//! Any number of writers may write the same partition: each answers from what it reads back from
//! the log, never from what it wrote. A lost answer of an append is therefore resolved by reading;
//! entries that are not read back are written again, which is harmless, since a claim is known by
//! its attempt.

use std::collections;
use std::collections::hash_map;
use std::time;

use crate::claim;
use crate::claim::circuit;
use crate::claim::event::{Action, Answer, End, Event, Limits, Ticket, Token};
use crate::claim::fold;
use crate::claim::follow;
use crate::claim::record;
use crate::clock;
use crate::logs;

/// How often deadlines are looked at.
const TICK: time::Duration = time::Duration::from_millis(20);

/// How far back a writer doubts that the log still has what it has read there, once that came back from an
/// older copy.
const DOUBT: time::Duration = time::Duration::from_secs(60);

/// Somebody who waits for an entry.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    token: Token,
    deadline: clock::Instant,
}

/// An entry that somebody waits for.
#[derive(Debug)]
struct Pending {
    waiters: Vec<Waiter>,
    /// Whether it was part of an append that did not certainly fail.
    written: bool,
    /// Whether it was part of an append whose answer was lost.
    repeated: bool,
}

/// An append whose entries have not all been read back.
#[derive(Debug)]
struct Flight {
    ticket: Ticket,
    entries: Vec<record::Entry>,
    since: clock::Instant,
}

/// The writer. It holds no lease: it may be paused, replaced or doubled at any moment.
#[derive(Debug)]
pub struct Writer {
    limits: Limits,
    fold: fold::Fold,
    follower: follow::Follower,
    pending: collections::HashMap<record::Entry, Pending>,
    /// Entries not part of a flight, oldest first; those no longer pending are skipped.
    queue: collections::VecDeque<record::Entry>,
    flight: Option<Flight>,
    /// What this writer knows and has not read again since the log came back from an older copy.
    doubtful: collections::BTreeSet<record::Entry>,
    /// When the next append may be made.
    free: clock::Instant,
    appends: circuit::Circuit,
    reads: circuit::Circuit,
    /// Whether a read is under way.
    reading: bool,
    /// When deadlines were looked at.
    ticked: clock::Instant,
    tickets: u64,
}

impl Writer {
    /// A writer that has not read anything yet.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            fold: fold::Fold::new(limits.window),
            follower: follow::Follower::new(limits.window),
            pending: collections::HashMap::new(),
            queue: collections::VecDeque::new(),
            flight: None,
            doubtful: collections::BTreeSet::new(),
            free: clock::Instant::ZERO,
            appends: circuit::Circuit::default(),
            reads: circuit::Circuit::default(),
            reading: false,
            ticked: clock::Instant::ZERO,
            tickets: 0,
        }
    }

    /// Takes an event and gives what is to be done.
    pub fn handle(&mut self, event: Event, now: clock::Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Ask { token, entry, deadline } => {
                if let Some(answer) = self.ask(Waiter { token, deadline }, entry, now) {
                    actions.push(Action::Answer(token, answer));
                }
            }
            Event::Appended { ticket, end } => self.appended(ticket, end, now, &mut actions),
            Event::Read(batch) => self.read(batch, now, &mut actions),
            Event::Tick => {}
        }
        if now.since(self.ticked) >= TICK {
            self.ticked = now;
            self.expire(now, &mut actions);
            self.watch(now, &mut actions);
        }
        self.append(now, &mut actions);
        self.follow(now, &mut actions);
        actions
    }

    /// When [`Event::Tick`] is due at the latest, if nothing else happens.
    pub fn wake(&self) -> Option<clock::Instant> {
        let waiters = (!self.pending.is_empty()).then(|| self.ticked + TICK);
        // What can't be written yet waits for a read, not for a moment.
        let ready = self.follower.current() && self.flight.is_none();
        let queued = ready && !(self.queue.is_empty() && self.doubtful.is_empty());
        let queued = queued.then(|| self.free.max(self.appends.until()));
        let read = (!self.reading).then(|| self.reads.until());
        waiters.into_iter().chain(queued).chain(read).min()
    }

    /// Whether nobody waits for anything, and nothing is to be written.
    pub fn idle(&self) -> bool {
        self.pending.is_empty() && self.doubtful.is_empty()
    }

    /// Whether the stream has been read up to its end.
    pub const fn current(&self) -> bool {
        self.follower.current()
    }

    /// Keys held in memory.
    pub fn held(&self) -> usize {
        self.fold.len()
    }

    /// Takes a claim or release; answers at once where that is possible.
    fn ask(&mut self, waiter: Waiter, entry: record::Entry, now: clock::Instant) -> Option<Answer> {
        if waiter.deadline <= now {
            return Some(Answer::Failed { error: claim::Error::Late, written: false });
        }
        if let Some(answer) = self.known(&entry) {
            return Some(answer);
        }
        if let Some(retry_after) = self.closed(now) {
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

    /// The answer that the log read so far gives.
    ///
    /// That a key is taken stays true until a release that this writer has not read; whoever asks
    /// then is told of a holder that has just given up, and may ask again.
    fn known(&self, entry: &record::Entry) -> Option<Answer> {
        if !self.follower.current() {
            return None;
        }
        let void = self.fold.void(entry.key, entry.attempt);
        match entry.op {
            record::Op::Release => void.then_some(Answer::Released),
            record::Op::Claim => match self.fold.verdict(entry.key, entry.attempt) {
                Some(verdict) => Some(Answer::Claimed(verdict)),
                None if void => Some(Answer::Failed { error: claim::Error::Late, written: true }),
                None => None,
            },
        }
    }

    /// How long to ask again, while the log fails.
    fn closed(&self, now: clock::Instant) -> Option<time::Duration> {
        let stuck = self.flight.as_ref().is_some_and(|f| self.late(f, now));
        let stuck = stuck.then_some(self.limits.append_timeout);
        self.appends.open(now).max(self.reads.open(now)).or(stuck)
    }

    fn late(&self, flight: &Flight, now: clock::Instant) -> bool {
        now.since(flight.since) >= self.limits.append_timeout
    }

    /// Notes how an append ended. A success alone answers nobody; after a failure its entries are
    /// written again, unless they are read back meanwhile.
    fn appended(
        &mut self,
        ticket: Ticket,
        end: End,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let flight = self.flight.take_if(|flight| flight.ticket == ticket);
        if end == End::Done {
            self.appends.succeed();
            return;
        }
        let Some(flight) = flight else { return };
        for entry in flight.entries.into_iter().rev() {
            if let Some(pending) = self.pending.get_mut(&entry) {
                pending.written &= end == End::Unknown || pending.repeated;
                pending.repeated |= end == End::Unknown;
                self.queue.push_front(entry);
            }
        }
        if self.appends.fail(now) {
            self.refuse(now, actions);
        }
    }

    /// Answers everybody that there is no verdict. Their entries are not written any more.
    fn refuse(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let retry_after = self.closed(now).unwrap_or(self.limits.append_timeout);
        let error = claim::Error::Unavailable { retry_after };
        self.queue.clear();
        for (_, pending) in self.pending.drain() {
            let answer = Answer::Failed { error, written: pending.written };
            actions.extend(pending.waiters.iter().map(|w| Action::Answer(w.token, answer)));
        }
    }

    /// Takes what a read gave.
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
        match self.follower.take(&batch) {
            follow::Step::Look => {}
            follow::Step::Back => self.doubt(),
            follow::Step::Gap => self.fold = fold::Fold::new(self.limits.window),
            follow::Step::Take => batch.records.iter().for_each(|r| self.apply(r, actions)),
        }
    }

    /// The log came back from an older copy: what was read lately may be gone, and so may an append that has
    /// not been read back.
    fn doubt(&mut self) {
        self.doubtful.extend(self.fold.recent(DOUBT));
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

    /// Folds one record and answers those who waited for its entries.
    fn apply(&mut self, record: &logs::Record, actions: &mut Vec<Action>) {
        // A record that doesn't decode claims nothing, for every writer alike.
        let Ok(entries) = record::decode(&record.body) else { return };
        for entry in entries {
            self.doubtful.remove(&entry);
            self.fold.apply(record.unix_millis, &entry);
            let Some(pending) = self.pending.remove(&entry) else { continue };
            let answer = self.verdict(&entry);
            actions.extend(pending.waiters.iter().map(|w| Action::Answer(w.token, answer)));
        }
        let waits = |entry: &record::Entry| {
            self.pending.contains_key(entry) || self.doubtful.contains(entry)
        };
        let unread = |flight: &Flight| flight.entries.iter().any(waits);
        if self.flight.as_ref().is_some_and(|flight| !unread(flight)) {
            self.flight = None;
            self.appends.succeed();
        }
    }

    /// What the log says about an entry that was read just now.
    fn verdict(&self, entry: &record::Entry) -> Answer {
        if entry.op == record::Op::Release {
            return Answer::Released;
        }
        let verdict = self.fold.verdict(entry.key, entry.attempt);
        let late = Answer::Failed { error: claim::Error::Late, written: true };
        verdict.map_or(late, Answer::Claimed)
    }

    /// Gives up what is past its deadline.
    fn expire(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        self.pending.retain(|_, pending| {
            let answer = Answer::Failed { error: claim::Error::Late, written: pending.written };
            let (late, left) = pending.waiters.iter().partition(|w| w.deadline <= now);
            pending.waiters = left;
            let late: Vec<Waiter> = late;
            actions.extend(late.iter().map(|w| Action::Answer(w.token, answer)));
            !pending.waiters.is_empty()
        });
    }

    /// Lets the log count as failing when an append has not been read back for long.
    fn watch(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let late = self.flight.as_ref().is_some_and(|flight| self.late(flight, now));
        if late && !self.pending.is_empty() {
            self.refuse(now, actions);
        }
    }

    /// Writes what waits, when it may.
    fn append(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        let ready = self.follower.current() && self.appends.ready(now);
        if !ready || self.flight.is_some() || now < self.free {
            return;
        }
        let mut entries = self.rewritten();
        while self.doubtful.is_empty() && entries.len() < record::MOST {
            let Some(entry) = self.queue.pop_front() else { break };
            if let Some(pending) = self.pending.get_mut(&entry) {
                pending.written = true;
                entries.push(entry);
            }
        }
        if entries.is_empty() {
            return;
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        actions.push(Action::Append(ticket, record::encode(&entries)));
        self.flight = Some(Flight { ticket, entries, since: now });
        self.free = now + self.limits.append_interval;
    }

    /// What is to be written again, before anything new. Releases come first, so that whoever holds a key now
    /// finds it free.
    fn rewritten(&self) -> Vec<record::Entry> {
        let of = |op| self.doubtful.iter().filter(move |entry| entry.op == op);
        of(record::Op::Release).chain(of(record::Op::Claim)).take(record::MOST).copied().collect()
    }

    /// Keeps one read under way.
    fn follow(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        if !self.reading && self.reads.ready(now) {
            self.reading = true;
            actions.push(Action::Read(self.follower.read()));
        }
    }
}
