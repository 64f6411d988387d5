//! Claims of this node's own calls: whom to ask, when to ask another one, when to give up.

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

/// Pause before a release is asked for again.
const AGAIN: time::Duration = time::Duration::from_millis(500);

/// How often waiting claims are looked at.
const TICK: time::Duration = time::Duration::from_millis(10);

/// How the desk works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Streams that the keys are spread over.
    pub partitions: u16,
    /// Longest wait for a writer's answer before the next one is asked as well.
    pub hedge: time::Duration,
    /// Most claims that wait, and most releases.
    pub waiting: usize,
    /// How long a release is worth repeating: as long as claims are remembered.
    pub window: time::Duration,
}

/// What the shell has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask the writer on `host`, which may be this one.
    Ask {
        /// The writer.
        host: host::HostId,
        /// Names the question.
        id: u64,
        /// The question.
        entry: Entry,
        /// Until when an answer is of use.
        deadline: clock::Instant,
    },
    /// Tell the call its verdict.
    Tell(Token, Result<Verdict, claim::Error>),
}

/// A claim that waits for its verdict.
#[derive(Debug)]
struct Claim {
    token: Token,
    entry: Entry,
    deadline: clock::Instant,
    /// Writers asked so far.
    asked: Vec<host::HostId>,
    /// Those of them that may still answer.
    open: Vec<host::HostId>,
    /// When the last one was asked.
    since: clock::Instant,
}

/// A release that does not stand in the log yet.
#[derive(Debug)]
struct Release {
    id: u64,
    /// Tries made.
    tries: usize,
    /// When it is asked for again.
    due: clock::Instant,
    /// When it is of no use any more.
    until: clock::Instant,
}

/// The claims and releases of one node.
#[derive(Debug)]
pub struct Desk {
    limits: Limits,
    table: writers::Table,
    claims: collections::HashMap<u64, Claim>,
    releases: collections::HashMap<Entry, Release>,
    /// Entry of each release by the number of its question.
    asked: collections::HashMap<u64, Entry>,
    /// By partition: whether its writers said that the log fails.
    circuits: Vec<circuit::Circuit>,
    ids: u64,
    ticked: clock::Instant,
}

impl Desk {
    /// A desk that knows no hosts yet.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            table: writers::Table::new(limits.partitions),
            claims: collections::HashMap::new(),
            releases: collections::HashMap::new(),
            asked: collections::HashMap::new(),
            circuits: vec![circuit::Circuit::default(); usize::from(limits.partitions)],
            ids: 0,
            ticked: clock::Instant::ZERO,
        }
    }

    /// Takes a new view of the hosts.
    pub fn update(&mut self, view: &view::View) {
        self.table.update(view);
    }

    /// Claims and releases that wait.
    pub fn waiting(&self) -> usize {
        self.claims.len() + self.releases.len()
    }

    /// When [`Desk::tick`] is due.
    pub fn wake(&self) -> Option<clock::Instant> {
        (self.waiting() > 0).then(|| self.ticked + TICK)
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
        let writer = self.table.choice(partition, 0);
        let (None, Some(host)) = (refusal, writer) else {
            let error = refusal.unwrap_or(claim::Error::Unavailable { retry_after: AGAIN });
            return actions.push(Action::Tell(token, Err(error)));
        };
        self.ids += 1;
        let asked = vec![host];
        let open = asked.clone();
        let claim = Claim { token, entry, deadline, asked, open, since: now };
        self.claims.insert(self.ids, claim);
        actions.push(Action::Ask { host, id: self.ids, entry, deadline });
    }

    /// Gives up the claim of `entry`, whatever its operation.
    pub fn release(&mut self, entry: Entry, now: clock::Instant, actions: &mut Vec<Action>) {
        let entry = Entry { op: Op::Release, ..entry };
        if self.releases.contains_key(&entry) || self.releases.len() >= self.limits.waiting {
            return;
        }
        self.ids += 1;
        let until = now + self.limits.window;
        let release = Release { id: self.ids, tries: 0, due: now, until };
        self.asked.insert(self.ids, entry);
        self.releases.insert(entry, release);
        self.repeat(entry, now, actions);
    }

    /// Takes what the writer on `host` answered.
    pub fn answer(&mut self, id: u64, answer: Answer, now: clock::Instant, to: &mut Vec<Action>) {
        if let Some(entry) = self.asked.get(&id).copied() {
            if answer == Answer::Released {
                self.asked.remove(&id);
                self.releases.remove(&entry);
                self.closed(&entry);
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
            Ok(_) => self.closed(&claim.entry),
            Err(claim::Error::Unavailable { .. }) => self.opened(&claim.entry, now),
            Err(_) => {}
        }
        let written = !matches!(answer, Answer::Failed { written: false, .. });
        // Another writer that was asked may write the claim only later.
        let stray = claim.asked.len() > 1;
        if result != Ok(Verdict::First) && (stray || (result.is_err() && written)) {
            self.release(claim.entry, now, to);
        }
        to.push(Action::Tell(claim.token, result));
    }

    /// Notes that the connection to the writer on `host` failed: asks the next one.
    pub fn lost(&mut self, host: host::HostId, now: clock::Instant, actions: &mut Vec<Action>) {
        let ids = self.due(|claim| claim.open.contains(&host));
        for id in ids {
            let Some(claim) = self.claims.get_mut(&id) else { continue };
            claim.open.retain(|&open| open != host);
            if !claim.open.is_empty() || self.next(id, now, actions) {
                continue;
            }
            let Some(claim) = self.claims.remove(&id) else { continue };
            self.release(claim.entry, now, actions);
            let error = claim::Error::Unavailable { retry_after: AGAIN };
            actions.push(Action::Tell(claim.token, Err(error)));
        }
    }

    /// Looks at deadlines and at what has waited long.
    pub fn tick(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        if now.since(self.ticked) < TICK {
            return;
        }
        self.ticked = now;
        let late: Vec<u64> = self.due(|claim| claim.deadline <= now);
        for id in late {
            let Some(claim) = self.claims.remove(&id) else { continue };
            self.release(claim.entry, now, actions);
            actions.push(Action::Tell(claim.token, Err(claim::Error::Late)));
        }
        let hedge = self.limits.hedge;
        for id in self.due(|claim| now.since(claim.since) >= hedge) {
            self.next(id, now, actions);
        }
        let due = self.releases.iter().filter(|(_, r)| r.due <= now);
        let due: Vec<Entry> = due.map(|(&entry, _)| entry).collect();
        for entry in due {
            self.repeat(entry, now, actions);
        }
    }

    fn due(&self, is: impl Fn(&Claim) -> bool) -> Vec<u64> {
        self.claims.iter().filter(|(_, claim)| is(claim)).map(|(&id, _)| id).collect()
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
        if self.claims.len() >= self.limits.waiting {
            return Some(claim::Error::Busy { retry_after: AGAIN });
        }
        let circuit = self.circuits.get(usize::from(partition))?;
        circuit.open(now).map(|retry_after| claim::Error::Unavailable { retry_after })
    }

    /// Asks the next writer, while there is one not asked yet; tells whether there was.
    fn next(&mut self, id: u64, now: clock::Instant, actions: &mut Vec<Action>) -> bool {
        let Some(claim) = self.claims.get_mut(&id) else { return false };
        let partition = writers::partition(claim.entry.key, self.limits.partitions);
        let choice = self.table.choice(partition, claim.asked.len());
        claim.since = now;
        if let Some(host) = choice.filter(|host| !claim.asked.contains(host)) {
            claim.asked.push(host);
            claim.open.push(host);
            let Claim { entry, deadline, .. } = *claim;
            actions.push(Action::Ask { host, id, entry, deadline });
            return true;
        }
        false
    }

    /// Asks for a release again, of one writer after the other.
    fn repeat(&mut self, entry: Entry, now: clock::Instant, actions: &mut Vec<Action>) {
        let partition = self.partition(&entry);
        let Some(release) = self.releases.get_mut(&entry) else { return };
        if release.until <= now {
            self.asked.remove(&release.id);
            self.releases.remove(&entry);
            return;
        }
        let choice = self.table.choice(partition, release.tries);
        release.tries += 1;
        release.due = now + AGAIN;
        if let Some(host) = choice {
            let (id, deadline) = (release.id, now + AGAIN);
            actions.push(Action::Ask { host, id, entry, deadline });
        }
    }

    fn closed(&mut self, entry: &Entry) {
        let partition = usize::from(self.partition(entry));
        self.circuits.get_mut(partition).into_iter().for_each(circuit::Circuit::succeed);
    }

    fn opened(&mut self, entry: &Entry, now: clock::Instant) {
        let partition = usize::from(self.partition(entry));
        if let Some(circuit) = self.circuits.get_mut(partition)
            && circuit.open(now).is_none()
        {
            circuit.fail(now);
        }
    }
}
