//! Reads of the log: readers replay it, and a node that starts checks its tail.

use std::time;

use crate::clock;
use crate::fold;
use crate::fold::reader;
use crate::fold::rules;
use crate::logs;
use crate::mesh;
use crate::spread::confirm;
use crate::spread::decision::{Action, Spread};
use crate::spread::dissemination;
use crate::spread::read_schedule;
use crate::spread::start;
use crate::version;

/// Maximum number of faults of one version that are logged.
const MAX_LOGGED_FAULTS: usize = 5;

impl Spread {
    /// Handles the records of a read that has ended.
    pub(super) fn handle_read(
        &mut self,
        batch: &logs::Batch,
        unix_millis: u64,
        now: clock::Instant,
    ) {
        let same_epoch = self.record_epoch(batch);
        match self.schedule.outstanding() {
            Some(read_schedule::ReadKind::Confirm) => self.handle_tail(batch, same_epoch, now),
            Some(read_schedule::ReadKind::Replay) => self.replay(batch, unix_millis, now),
            None => {}
        }
    }

    /// Records the epoch of `batch`; true when it is the epoch of the read before.
    fn record_epoch(&mut self, batch: &logs::Batch) -> bool {
        let before = self.epoch.replace(batch.epoch);
        if let Some(before) = before.filter(|&before| before != batch.epoch) {
            log::warn!(
                before, epoch = batch.epoch, stood = self.reader.fold().next(), next = batch.next,
                held = self.held().version.number();
                "the log was restored from an older copy"
            );
        }
        before == Some(batch.epoch)
    }

    /// Handles a read of the log that has failed.
    pub(super) fn handle_failed_read(&mut self, now: clock::Instant) {
        self.schedule.failed(now, &mut self.rng);
        self.advance_start(start::Event::Failed, now);
    }

    /// Starts a read of the log when one is due.
    pub(super) fn tick_reads(&mut self, now: clock::Instant) {
        let role = self.role();
        let read = match self.schedule.poll(role, now) {
            Some(read_schedule::ReadKind::Confirm) => {
                let held = self.held().version;
                let same_epoch = self.epoch.is_none_or(|epoch| epoch == held.epoch());
                let from = if same_epoch { held.next_offset() } else { logs::Offset::MAX };
                read_schedule::Read { from, wait: time::Duration::ZERO }
            }
            Some(read_schedule::ReadKind::Replay) => {
                // After a failure the log may have been restored with its end at this very offset.
                // Only an answer shows its epoch, so the read must not wait for new records.
                let waits = self.reader.at_end() && !self.schedule.failing();
                let wait = if waits { self.schedule.wait(role) } else { time::Duration::ZERO };
                read_schedule::Read { from: self.reader.from(), wait }
            }
            None => return,
        };
        self.actions.push(Action::Read(read));
    }

    fn handle_tail(&mut self, batch: &logs::Batch, same_epoch: bool, now: clock::Instant) {
        self.schedule.confirmation_done();
        if !same_epoch && batch.epoch != self.held().version.epoch() {
            // The offset belonged to another epoch: read again, without an offset.
            self.schedule.request_confirmation();
            return;
        }
        match confirm::check_tail(batch, self.held().version) {
            confirm::Finding::Current => self.advance_start(start::Event::Confirmed, now),
            confirm::Finding::Newer(version) => {
                self.reported = self.reported.max(version);
                let follower = self.peers.log_follower();
                self.plan_pull(follower, version, self.settings.retry(), now);
                self.advance_start(start::Event::Behind, now);
            }
            confirm::Finding::Unknown => self.advance_start(start::Event::Failed, now),
        }
    }

    fn replay(&mut self, batch: &logs::Batch, unix_millis: u64, now: clock::Instant) {
        // The records in between have expired: a new reader looks for a snapshot.
        if self.reader.bounds().is_some() && batch.first > self.reader.from() {
            self.reader = reader::Reader::new(rules::Builtin);
        }
        let judged = self.reader.apply_batch(batch);
        self.report_verdicts(&judged);
        let result = match (self.reader.at_end(), judged.is_empty()) {
            (false, _) => read_schedule::ReadResult::MoreRecords,
            (true, true) => read_schedule::ReadResult::Empty,
            (true, false) => read_schedule::ReadResult::ReachedEnd,
        };
        let role = self.role();
        self.schedule.done(role, result, now, &mut self.rng);
        self.accept(now);
        if self.reader.caught_up() {
            self.advance_start(start::Event::Confirmed, now);
        } else if self.reader.needs_snapshot() {
            self.advance_start(start::Event::Failed, now);
        }
        self.append_snapshot(unix_millis, now);
    }

    /// Logs the verdicts on records, and reports whether the newest accepted version can be
    /// applied.
    fn report_verdicts(&mut self, judged: &[fold::Judged<mesh::fault::Faults>]) {
        for fold::Judged { offset, verdict } in judged {
            log::debug!(offset, verdict:? = verdict; "judged a record of the log");
            match verdict {
                fold::Verdict::Unusable { version, faults } => {
                    log_unusable(*version, faults);
                    self.actions.push(Action::ReportUnusable(true));
                }
                fold::Verdict::Accepted(_) => self.actions.push(Action::ReportUnusable(false)),
                _ => {}
            }
        }
    }

    fn accept(&mut self, now: clock::Instant) {
        let base = self.held().version;
        let Some(accepted) = self.reader.fold().current() else { return };
        let held = self.replica.applied();
        let (known, read) = (&held.mesh.rollouts, &accepted.mesh.rollouts);
        if self.recovery.must_wait((base, known), (accepted.version_id.version, read), now) {
            return;
        }
        if self.replica.accept(accepted) {
            self.version_held(base, dissemination::Source::Log, now);
        }
    }

    /// Accepts the configuration that waited for missing orders, once the wait is over.
    pub(super) fn tick_recovery(&mut self, now: clock::Instant) {
        if self.recovery.end_wait(now) {
            self.accept(now);
        }
    }

    /// Appends a snapshot when one is due, so that the state does not expire.
    fn append_snapshot(&mut self, unix_millis: u64, now: clock::Instant) {
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

/// Logs an accepted version that this node can't apply, with its first faults.
fn log_unusable(version: version::Version, faults: &mesh::fault::Faults) {
    let first = faults.list().iter().take(MAX_LOGGED_FAULTS).map(ToString::to_string);
    let first = first.collect::<Vec<_>>().join(", ");
    log::error!(
        version = version.number(), faults = faults.list().len(), first = first.as_str();
        "an accepted configuration can't be applied; the one before stays in force"
    );
}
