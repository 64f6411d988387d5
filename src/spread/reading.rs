//! What a node does with the log: readers judge it, a node that starts looks at its tail.

use std::time;

use crate::clock;
use crate::fold;
use crate::fold::reader;
use crate::fold::rules;
use crate::logs;
use crate::mesh;
use crate::spread::confirm;
use crate::spread::decision::{Action, Spread};
use crate::spread::learn;
use crate::spread::start;
use crate::spread::tail;

impl Spread {
    /// A read of the log has ended.
    pub(super) fn read(&mut self, batch: &logs::Batch, unix_millis: u64, now: clock::Instant) {
        let known = self.note_epoch(batch);
        match self.tail.outstanding() {
            Some(tail::Kind::Confirm) => self.looked(batch, known, now),
            Some(tail::Kind::Judge) => self.judge(batch, unix_millis, now),
            None => {}
        }
    }

    /// Takes note of the epoch that `batch` is of; whether it was known.
    fn note_epoch(&mut self, batch: &logs::Batch) -> bool {
        let before = self.epoch.replace(batch.epoch);
        if let Some(before) = before.filter(|&before| before != batch.epoch) {
            log::warn!(
                before, epoch = batch.epoch, stood = self.reader.fold().next(), next = batch.next,
                held = self.held().version.number();
                "the log has come back from an older copy"
            );
        }
        before == Some(batch.epoch)
    }

    /// A read of the log has failed.
    pub(super) fn unread(&mut self, now: clock::Instant) {
        self.tail.failed(now, &mut self.rng);
        self.settle(start::Event::Failed, now);
    }

    /// Starts a read of the log when one is due.
    pub(super) fn tick_tail(&mut self, now: clock::Instant) {
        let role = self.role();
        let read = match self.tail.poll(role, now) {
            Some(tail::Kind::Confirm) => {
                let held = self.held().version;
                let same = self.epoch.is_none_or(|epoch| epoch == held.epoch());
                let from = if same { held.next_offset() } else { logs::Offset::MAX };
                tail::Read { from, wait: time::Duration::ZERO }
            }
            Some(tail::Kind::Judge) => {
                // After a failure the end may have come back to just this offset in another epoch, which
                // only an answer tells.
                let waits = self.reader.at_end() && !self.tail.failing();
                let wait = if waits { self.tail.wait(role) } else { time::Duration::ZERO };
                tail::Read { from: self.reader.from(), wait }
            }
            None => return,
        };
        self.actions.push(Action::Read(read));
    }

    fn looked(&mut self, batch: &logs::Batch, known: bool, now: clock::Instant) {
        self.tail.looked();
        if !known && batch.epoch != self.held().version.epoch() {
            // It was read from a place of another epoch: once more, from none.
            self.tail.confirm();
            return;
        }
        match confirm::look(batch, self.held().version) {
            confirm::Tail::Current => self.settle(start::Event::Confirmed, now),
            confirm::Tail::Newer(version) => {
                self.told = self.told.max(version);
                let root = self.peers.root();
                self.chase(root, version, self.settings.retry(), now);
                self.settle(start::Event::Behind, now);
            }
            confirm::Tail::Unknown => self.settle(start::Event::Failed, now),
        }
    }

    fn judge(&mut self, batch: &logs::Batch, unix_millis: u64, now: clock::Instant) {
        // The records between were missed for so long that they are gone: look for a snapshot.
        if self.reader.bounds().is_some() && batch.first > self.reader.from() {
            self.reader = reader::Reader::new(rules::Builtin);
        }
        let judged = self.reader.apply_batch(batch);
        report(&judged);
        let gave = match (self.reader.at_end(), judged.is_empty()) {
            (false, _) => tail::Yield::Behind,
            (true, true) => tail::Yield::Empty,
            (true, false) => tail::Yield::End,
        };
        let role = self.role();
        self.tail.done(role, gave, now, &mut self.rng);
        self.accept(now);
        if self.reader.caught_up() {
            self.settle(start::Event::Confirmed, now);
        } else if self.reader.needs_snapshot() {
            self.settle(start::Event::Failed, now);
        }
        self.keep(unix_millis, now);
    }

    fn accept(&mut self, now: clock::Instant) {
        let base = self.held().version;
        let Some(accepted) = self.reader.fold().current() else { return };
        let held = self.replica.applied();
        let (known, read) = (&held.mesh.rollouts, &accepted.mesh.rollouts);
        if self.recovery.holds_back((base, known), (accepted.version_id.version, read), now) {
            return;
        }
        if self.replica.accept(accepted) {
            self.learned(base, learn::Source::Log, now);
        }
    }

    /// Looks again at what the log lacked, once it has had its time.
    pub(super) fn tick_recovery(&mut self, now: clock::Instant) {
        if self.recovery.ends(now) {
            self.accept(now);
        }
    }

    /// Appends the state again before its record expires.
    fn keep(&mut self, unix_millis: u64, now: clock::Instant) {
        let rank = u32::try_from(self.peers.rank()).unwrap_or(u32::MAX);
        let state = self.reader.snapshot_state(unix_millis, rank);
        if self.snapshots.handle(now, &state).is_none() {
            return;
        }
        match self.reader.fold().encode() {
            Ok(Some(snapshot)) => self.actions.push(Action::Append(snapshot)),
            Ok(None) => {}
            Err(error) => log::warn!(error:% = error; "could not encode a snapshot"),
        }
    }
}

fn report(judged: &[fold::Judged<mesh::fault::Faults>]) {
    for fold::Judged { offset, verdict } in judged {
        log::debug!(offset, verdict:? = verdict; "judged a record of the log");
    }
}
