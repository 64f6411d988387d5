//! Request handler for the claims of this node's own calls: which writer gets a request, when a
//! second writer is asked as well, and when a claim is given up.

use std::collections;
use std::time;

use crate::claim::circuit;
use crate::claim::event::{Answer, Token};
use crate::claim::record::{Entry, Op};
use crate::claim::writers;
use crate::claim::{self, Verdict};
use crate::clock;
use crate::host;
use crate::view;

/// Pause before a release is requested again, and the retry-after of a refused claim.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// How often deadlines of waiting claims and releases are checked.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Limits of the request handler.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Number of streams over which the keys are partitioned.
    pub partitions: u16,
    /// How long a writer may take to answer before the next one is asked as well.
    pub hedge: time::Duration,
    /// Limit on waiting claims, and on waiting releases.
    pub max_waiting: usize,
    /// How long a release is retried: as long as claims are remembered.
    pub window: time::Duration,
}

/// What the ledger has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a request to the writer on `host`, which may be this host.
    Send {
        /// The host of the writer.
        host: host::HostId,
        /// Identifies the request.
        id: u64,
        /// The claim or release.
        entry: Entry,
        /// When an answer is no longer needed.
        deadline: clock::Instant,
    },
    /// Return the verdict to the call.
    Reply(Token, Result<Verdict, claim::Error>),
}

/// A claim that waits for its verdict.
#[derive(Debug)]
struct Claim {
    token: Token,
    entry: Entry,
    deadline: clock::Instant,
    /// Writers asked so far.
    asked: Vec<host::HostId>,
    /// Those of them whose answer is outstanding.
    outstanding: Vec<host::HostId>,
    /// When the last writer was asked.
    asked_at: clock::Instant,
}

/// A release that is not confirmed to be in the log yet.
#[derive(Debug)]
struct Release {
    id: u64,
    /// Requests sent so far.
    attempts: usize,
    /// When it is requested again.
    due: clock::Instant,
    /// When retrying ends, since the claim is forgotten by then.
    expires: clock::Instant,
}

/// The claims and releases of one node that wait for an answer.
#[derive(Debug)]
pub struct Requests {
    limits: Limits,
    table: writers::Table,
    claims: collections::HashMap<u64, Claim>,
    releases: collections::HashMap<Entry, Release>,
    /// The release that each request is for.
    release_ids: collections::HashMap<u64, Entry>,
    /// By partition: breaker that opens when its writers report that the log fails.
    circuits: Vec<circuit::Circuit>,
    ids: u64,
    last_check: clock::Instant,
}

impl Requests {
    /// A request handler that knows no hosts yet.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            table: writers::Table::new(limits.partitions),
            claims: collections::HashMap::new(),
            releases: collections::HashMap::new(),
            release_ids: collections::HashMap::new(),
            circuits: vec![circuit::Circuit::default(); usize::from(limits.partitions)],
            ids: 0,
            last_check: clock::Instant::ZERO,
        }
    }

    /// Updates the writers from a new view of the hosts.
    pub fn update(&mut self, view: &view::View) {
        self.table.update(view);
    }

    /// Number of claims and releases that wait.
    pub fn waiting(&self) -> usize {
        self.claims.len() + self.releases.len()
    }

    /// When [`Requests::tick`] is due.
    pub fn wake(&self) -> Option<clock::Instant> {
        (self.waiting() > 0).then(|| self.last_check + CHECK_INTERVAL)
    }

    /// Claims the key of `entry` for the call `token`.
    pub fn claim(
        &mut self,
        token: Token,
        entry: Entry,
        deadline: clock::Instant,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let partition = self.partition(&entry);
        let refusal = self.refusal(partition, deadline, now);
        let writer = self.table.candidate(partition, 0);
        let (None, Some(host)) = (refusal, writer) else {
            let error = refusal.unwrap_or(claim::Error::Unavailable { retry_after: RETRY_DELAY });
            return actions.push(Action::Reply(token, Err(error)));
        };
        self.ids += 1;
        let asked = vec![host];
        let outstanding = asked.clone();
        let claim = Claim { token, entry, deadline, asked, outstanding, asked_at: now };
        self.claims.insert(self.ids, claim);
        actions.push(Action::Send { host, id: self.ids, entry, deadline });
    }

    /// Releases the key of `entry`, whose operation is ignored.
    pub fn release(&mut self, entry: Entry, now: clock::Instant, actions: &mut Vec<Action>) {
        let entry = Entry { op: Op::Release, ..entry };
        if self.releases.contains_key(&entry) || self.releases.len() >= self.limits.max_waiting {
            return;
        }
        self.ids += 1;
        let expires = now + self.limits.window;
        let release = Release { id: self.ids, attempts: 0, due: now, expires };
        self.release_ids.insert(self.ids, entry);
        self.releases.insert(entry, release);
        self.repeat(entry, now, actions);
    }

    /// Handles the answer of a writer to the request `id`.
    pub fn answer(
        &mut self,
        id: u64,
        answer: Answer,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        if let Some(entry) = self.release_ids.get(&id).copied() {
            if answer == Answer::Released {
                self.release_ids.remove(&id);
                self.releases.remove(&entry);
                self.log_succeeded(&entry);
            }
            return;
        }
        let Some(claim) = self.claims.remove(&id) else { return };
        let result = match answer {
            Answer::Claimed(verdict) => Ok(verdict),
            Answer::Released => Err(claim::Error::Late),
            Answer::Failed { error, .. } => Err(error),
        };
        match result {
            Ok(_) => self.log_succeeded(&claim.entry),
            Err(claim::Error::Unavailable { .. }) => self.log_failed(&claim.entry, now),
            Err(_) => {}
        }
        let written = !matches!(answer, Answer::Failed { written: false, .. });
        // Another writer that was asked as well may still write the claim.
        let several = claim.asked.len() > 1;
        if result != Ok(Verdict::First) && (several || (result.is_err() && written)) {
            self.release(claim.entry, now, actions);
        }
        actions.push(Action::Reply(claim.token, result));
    }

    /// Handles a failed connection to `host`: claims that wait for its writer go to the next one.
    pub fn disconnected(
        &mut self,
        host: host::HostId,
        now: clock::Instant,
        actions: &mut Vec<Action>,
    ) {
        let ids = self.matching(|claim| claim.outstanding.contains(&host));
        for id in ids {
            let Some(claim) = self.claims.get_mut(&id) else { continue };
            claim.outstanding.retain(|&asked| asked != host);
            if !claim.outstanding.is_empty() || self.ask_next(id, now, actions) {
                continue;
            }
            let Some(claim) = self.claims.remove(&id) else { continue };
            self.release(claim.entry, now, actions);
            let error = claim::Error::Unavailable { retry_after: RETRY_DELAY };
            actions.push(Action::Reply(claim.token, Err(error)));
        }
    }

    /// Ends claims past their deadline, asks further writers and repeats releases that are due.
    pub fn tick(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        if now.since(self.last_check) < CHECK_INTERVAL {
            return;
        }
        self.last_check = now;
        let late: Vec<u64> = self.matching(|claim| claim.deadline <= now);
        for id in late {
            let Some(claim) = self.claims.remove(&id) else { continue };
            self.release(claim.entry, now, actions);
            actions.push(Action::Reply(claim.token, Err(claim::Error::Late)));
        }
        let hedge = self.limits.hedge;
        for id in self.matching(|claim| now.since(claim.asked_at) >= hedge) {
            self.ask_next(id, now, actions);
        }
        let due = self.releases.iter().filter(|(_, r)| r.due <= now);
        let due: Vec<Entry> = due.map(|(&entry, _)| entry).collect();
        for entry in due {
            self.repeat(entry, now, actions);
        }
    }

    fn matching(&self, predicate: impl Fn(&Claim) -> bool) -> Vec<u64> {
        self.claims.iter().filter(|(_, claim)| predicate(claim)).map(|(&id, _)| id).collect()
    }

    fn partition(&self, entry: &Entry) -> u16 {
        writers::partition(entry.key, self.limits.partitions)
    }

    fn refusal(
        &self,
        partition: u16,
        deadline: clock::Instant,
        now: clock::Instant,
    ) -> Option<claim::Error> {
        if deadline <= now {
            return Some(claim::Error::Late);
        }
        if self.claims.len() >= self.limits.max_waiting {
            return Some(claim::Error::Busy { retry_after: RETRY_DELAY });
        }
        let circuit = self.circuits.get(usize::from(partition))?;
        circuit.open_for(now).map(|retry_after| claim::Error::Unavailable { retry_after })
    }

    /// Asks the next writer for the claim `id`; returns whether one was left to ask.
    fn ask_next(&mut self, id: u64, now: clock::Instant, actions: &mut Vec<Action>) -> bool {
        let Some(claim) = self.claims.get_mut(&id) else { return false };
        let partition = writers::partition(claim.entry.key, self.limits.partitions);
        let candidate = self.table.candidate(partition, claim.asked.len());
        claim.asked_at = now;
        if let Some(host) = candidate.filter(|host| !claim.asked.contains(host)) {
            claim.asked.push(host);
            claim.outstanding.push(host);
            let Claim { entry, deadline, .. } = *claim;
            actions.push(Action::Send { host, id, entry, deadline });
            return true;
        }
        false
    }

    /// Requests a release again, from the next candidate writer each time.
    fn repeat(&mut self, entry: Entry, now: clock::Instant, actions: &mut Vec<Action>) {
        let partition = self.partition(&entry);
        let Some(release) = self.releases.get_mut(&entry) else { return };
        if release.expires <= now {
            self.release_ids.remove(&release.id);
            self.releases.remove(&entry);
            return;
        }
        let candidate = self.table.candidate(partition, release.attempts);
        release.attempts += 1;
        release.due = now + RETRY_DELAY;
        if let Some(host) = candidate {
            let (id, deadline) = (release.id, now + RETRY_DELAY);
            actions.push(Action::Send { host, id, entry, deadline });
        }
    }

    fn log_succeeded(&mut self, entry: &Entry) {
        let partition = usize::from(self.partition(entry));
        self.circuits.get_mut(partition).into_iter().for_each(circuit::Circuit::succeed);
    }

    fn log_failed(&mut self, entry: &Entry, now: clock::Instant) {
        let partition = usize::from(self.partition(entry));
        if let Some(circuit) = self.circuits.get_mut(partition)
            && circuit.open_for(now).is_none()
        {
            circuit.fail(now);
        }
    }
}
