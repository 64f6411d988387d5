//! Simulates writers, entry nodes and a log in virtual time, with faults of the log and of hosts.

use std::collections;
use std::time;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{attempt, key};
use crate::claim::Verdict;
use crate::claim::event::{Action, Answer, AppendId, AppendOutcome, Event, Limits, Token};
use crate::claim::follow::Read;
use crate::claim::record::{Entry, Op};
use crate::claim::writer::Writer;
use crate::clock;
use crate::logs;

const WRITERS: usize = 3;
const KEYS: u8 = 3;
/// How long an entry node waits for an answer.
const ANSWER_TIMEOUT_MS: u64 = 400;

/// Probabilities of faults, in percent.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// An append succeeds and its answer is lost.
    pub lost: u32,
    /// An append is refused.
    pub refused: u32,
    /// An append reaches the log long after its answer counts as lost.
    pub late: u32,
    /// A read fails.
    pub read_failed: u32,
    /// A writer is paused, drawn every 50 ms.
    pub pause: u32,
    /// A writer is restarted with empty memory, drawn every 50 ms.
    pub restart: u32,
}

/// Progress of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Asking,
    /// Answered that its claim is the first; it may run.
    Granted,
    /// Answered that another attempt holds the key.
    Taken,
    /// Releases its claim, repeatedly until that is confirmed.
    Releasing,
    Released,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    claim: Entry,
    state: State,
    /// Whether its entry node releases the key some time after the grant.
    releases: bool,
    /// Number of writers that its entry node asked.
    asked: usize,
}

#[derive(Debug)]
struct Host {
    writer: Writer,
    generation: u32,
    paused_until: u64,
}

#[derive(Clone, Debug)]
enum Step {
    Begin,
    Disturb,
    Request { host: usize, call: usize, op: Op },
    Appended(Bytes),
    Deliver { host: usize, generation: u32, event: Event },
    Reading { host: usize, generation: u32, read: Read, until: u64 },
    TimeOut(usize),
    Release(usize),
}

/// The simulation.
pub struct Sim {
    rng: StdRng,
    faults: Faults,
    now: u64,
    steps: collections::BTreeMap<(u64, u64), Step>,
    serial: u64,
    log: Vec<logs::Record>,
    hosts: Vec<Host>,
    calls: Vec<Call>,
    /// Call and operation of each request, by its token.
    asked: Vec<(usize, Op)>,
    /// Pairs of claims on one key that were granted at the same time; must stay empty.
    pub concurrent: Vec<(Entry, Entry)>,
}

fn new_writer() -> Writer {
    Writer::new(Limits {
        append_interval: time::Duration::from_millis(5),
        window: time::Duration::from_secs(3600),
        append_timeout: time::Duration::from_millis(300),
        max_waiting: 1000,
    })
}

impl Sim {
    /// A simulation whose random choices follow from `seed`.
    pub fn new(seed: u64, faults: Faults) -> Self {
        let host = || Host { writer: new_writer(), generation: 0, paused_until: 0 };
        Self {
            rng: StdRng::seed_from_u64(seed),
            faults,
            now: 1000,
            steps: collections::BTreeMap::new(),
            serial: 0,
            log: Vec::new(),
            hosts: (0..WRITERS).map(|_| host()).collect(),
            calls: Vec::new(),
            asked: Vec::new(),
            concurrent: Vec::new(),
        }
    }

    /// Starts `calls` calls over time and runs until some seconds after the last one.
    pub fn run(&mut self, calls: u64) {
        for n in 0..calls {
            self.after(n * 7, Step::Begin);
        }
        for n in 0..calls * 7 / 50 {
            self.after(n * 50, Step::Disturb);
        }
        self.advance(calls * 7 + 4000);
    }

    /// Ends all faults, claims every key once more and returns the verdicts that are wrong.
    pub fn check(&mut self) -> Vec<String> {
        self.faults = Faults { lost: 0, refused: 0, late: 0, read_failed: 0, pause: 0, restart: 0 };
        self.advance(30_000);
        let mut wrong = Vec::new();
        for n in 0..KEYS {
            let held = |c: &&Call| c.state == State::Granted && c.claim.key == key(n);
            let holder = self.calls.iter().find(held).copied();
            let last = self.begin(n, false);
            self.advance(2000);
            let state = self.calls[last].state;
            if (state == State::Granted) == holder.is_some() {
                wrong.push(format!("key {n}: {state:?} beside {holder:?}"));
            }
        }
        wrong
    }

    /// Number of calls whose claim is granted and not released.
    pub fn granted(&self) -> usize {
        self.calls.iter().filter(|c| c.state == State::Granted).count()
    }

    fn advance(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(first) = self.steps.first_entry().filter(|s| s.key().0 <= end) {
            let ((at, _), step) = first.remove_entry();
            self.now = at;
            self.step(step);
        }
        self.now = end;
    }

    fn after(&mut self, millis: u64, step: Step) {
        self.serial += 1;
        self.steps.insert((self.now + millis, self.serial), step);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Begin => {
                let (n, releases) = (self.rng.random_range(0..KEYS), self.chance(30));
                self.begin(n, releases);
            }
            Step::Disturb => self.disturb(),
            Step::Request { host, call, op } => {
                let entry = Entry { op, ..self.calls[call].claim };
                let token = Token(self.asked.len() as u64);
                self.asked.push((call, op));
                let deadline = clock::Instant::from_millis(self.now + ANSWER_TIMEOUT_MS);
                let generation = self.hosts[host].generation;
                self.deliver(host, generation, Event::Request { token, entry, deadline });
            }
            Step::Appended(body) => {
                let offset = self.log.len() as u64;
                self.log.push(logs::Record { offset, unix_millis: self.now, body });
            }
            Step::Deliver { host, generation, event } => self.deliver(host, generation, event),
            Step::Reading { host, generation, read, until } => {
                self.reading(host, generation, read, until)
            }
            Step::TimeOut(call) => {
                if self.calls[call].state == State::Asking {
                    self.release(call);
                }
            }
            Step::Release(call) => self.release(call),
        }
    }

    fn begin(&mut self, n: u8, releases: bool) -> usize {
        let call = self.calls.len();
        let claim = Entry { key: key(n), attempt: attempt(9, call as u64), op: Op::Claim };
        self.calls.push(Call { claim, state: State::Asking, releases, asked: 0 });
        // An entry node asks a second writer when its view changes or when the first one does not
        // answer.
        for _ in 0..self.rng.random_range(1..3) {
            self.calls[call].asked += 1;
            let (host, wait) = (self.rng.random_range(0..WRITERS), self.rng.random_range(0..60));
            self.after(wait, Step::Request { host, call, op: Op::Claim });
        }
        self.after(ANSWER_TIMEOUT_MS, Step::TimeOut(call));
        call
    }

    fn release(&mut self, call: usize) {
        if self.calls[call].state == State::Released {
            return;
        }
        self.calls[call].state = State::Releasing;
        let (host, wait) = (self.rng.random_range(0..WRITERS), self.rng.random_range(0..20));
        self.after(wait, Step::Request { host, call, op: Op::Release });
        self.after(ANSWER_TIMEOUT_MS, Step::Release(call));
    }

    fn disturb(&mut self) {
        let host = self.rng.random_range(0..WRITERS);
        if self.chance(self.faults.pause) {
            self.hosts[host].paused_until = self.now + self.rng.random_range(10..1500);
        }
        if self.chance(self.faults.restart) {
            let host = &mut self.hosts[host];
            host.writer = new_writer();
            host.generation += 1;
        }
    }

    /// Passes `event` to the writer of `host` once it is awake, unless it was restarted since.
    fn deliver(&mut self, host: usize, generation: u32, event: Event) {
        let late = self.hosts[host].paused_until.saturating_sub(self.now);
        if self.hosts[host].generation != generation {
            return;
        }
        if late > 0 {
            return self.after(late, Step::Deliver { host, generation, event });
        }
        let now = clock::Instant::from_millis(self.now);
        for action in self.hosts[host].writer.handle(event, now) {
            match action {
                Action::Answer(token, answer) => self.answered(token, answer),
                Action::Append(id, body) => self.appending(host, id, body),
                Action::Read(read) => {
                    let (wait, until) = (self.rng.random_range(1..5), self.now + 100);
                    self.after(wait, Step::Reading { host, generation, read, until });
                }
            }
        }
        if let Some(wake) = self.hosts[host].writer.wake() {
            let wait = (wake.as_micros() / 1000).saturating_sub(self.now).max(1);
            self.after(wait, Step::Deliver { host, generation, event: Event::Tick });
        }
    }

    fn appending(&mut self, host: usize, id: AppendId, body: Bytes) {
        let generation = self.hosts[host].generation;
        let ended =
            |outcome| Step::Deliver { host, generation, event: Event::Appended { id, outcome } };
        let append = self.rng.random_range(1..20);
        let answer = append + self.rng.random_range(1..10);
        if self.chance(self.faults.refused) {
            self.after(answer, ended(AppendOutcome::NotAppended));
        } else if self.chance(self.faults.late) {
            let append = append + self.rng.random_range(1..3000);
            self.after(append, Step::Appended(body));
            self.after(answer, ended(AppendOutcome::Unknown));
        } else {
            let lost = self.chance(self.faults.lost);
            self.after(append, Step::Appended(body));
            let outcome = if lost { AppendOutcome::Unknown } else { AppendOutcome::Appended };
            self.after(answer, ended(outcome));
        }
    }

    fn reading(&mut self, host: usize, generation: u32, read: Read, until: u64) {
        if self.chance(self.faults.read_failed) {
            return self.deliver(host, generation, Event::Read(None));
        }
        let from = usize::try_from(read.from).unwrap_or(usize::MAX).min(self.log.len());
        let records: Vec<_> = self.log[from..].iter().take(read.max as usize).cloned().collect();
        if records.is_empty() && read.wait && self.now < until {
            return self.after(2, Step::Reading { host, generation, read, until });
        }
        let batch = logs::Batch { epoch: 0, first: 0, next: self.log.len() as u64, records };
        self.deliver(host, generation, Event::Read(Some(batch)));
    }

    fn answered(&mut self, token: Token, answer: Answer) {
        let (call, op) = self.asked[token.0 as usize];
        let state = self.calls[call].state;
        match (op, answer, state) {
            (Op::Claim, Answer::Claimed(Verdict::First), State::Asking) => self.grant(call),
            (Op::Claim, Answer::Claimed(Verdict::Taken(_)), State::Asking) => {
                self.calls[call].state = State::Taken;
                // Another writer that was asked may still write the claim.
                if self.calls[call].asked > 1 {
                    self.release(call);
                }
            }
            (Op::Release, Answer::Released, State::Releasing) => {
                self.calls[call].state = State::Released;
            }
            _ => {}
        }
    }

    fn grant(&mut self, call: usize) {
        let mine = self.calls[call];
        let conflicts = |c: &&Call| c.state == State::Granted && c.claim.key == mine.claim.key;
        let conflict = self.calls.iter().find(conflicts).map(|c| (c.claim, mine.claim));
        self.concurrent.extend(conflict);
        self.calls[call].state = State::Granted;
        if mine.releases {
            let wait = self.rng.random_range(1..300);
            self.after(wait, Step::Release(call));
        }
    }
}
