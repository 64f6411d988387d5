//! Writers, entries and a log in virtual time, with every fault the log and the hosts can have.

use std::collections;
use std::time;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{attempt, key};
use crate::claim::Verdict;
use crate::claim::event::{Action, Answer, End, Event, Limits, Ticket, Token};
use crate::claim::follow::Read;
use crate::claim::record::{Entry, Op};
use crate::claim::writer::Writer;
use crate::clock;
use crate::logs;

const WRITERS: usize = 3;
const KEYS: u8 = 3;
/// How long an entry waits for an answer, in milliseconds.
const PATIENCE: u64 = 400;

/// Chances of faults, in percent.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Of an append whose answer is lost.
    pub lost: u32,
    /// Of an append that does not happen.
    pub refused: u32,
    /// Of an append that lands long after its answer was given up.
    pub late: u32,
    /// Of a read that fails.
    pub unread: u32,
    /// Of a writer to be paused, each 50 ms.
    pub pause: u32,
    /// Of a writer to be replaced by one without memory, each 50 ms.
    pub restart: u32,
}

/// How far a call is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Asking,
    /// Told that it is first; may run.
    Granted,
    /// Told that another is.
    Taken,
    /// Gives its claim up and repeats it until that is confirmed.
    Releasing,
    Released,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    claim: Entry,
    state: State,
    /// Whether its entry means to release after the verdict.
    gives: bool,
    /// How many writers its entry asked.
    asked: usize,
}

#[derive(Debug)]
struct Host {
    writer: Writer,
    life: u32,
    awake: u64,
}

#[derive(Clone, Debug)]
enum Step {
    Begin,
    Weather,
    Ask { host: usize, call: usize, op: Op },
    Land(Bytes),
    Deliver { host: usize, life: u32, event: Event },
    Reading { host: usize, life: u32, read: Read, until: u64 },
    GiveUp(usize),
    Release(usize),
}

/// The whole.
pub struct Sim {
    rng: StdRng,
    faults: Faults,
    now: u64,
    steps: collections::BTreeMap<(u64, u64), Step>,
    serial: u64,
    log: Vec<logs::Record>,
    hosts: Vec<Host>,
    calls: Vec<Call>,
    asked: Vec<(usize, Op)>,
    /// Grants beside another that had not been given up: must stay empty.
    pub doubled: Vec<(Entry, Entry)>,
}

fn fresh() -> Writer {
    Writer::new(Limits {
        append_interval: time::Duration::from_millis(5),
        window: time::Duration::from_secs(3600),
        append_timeout: time::Duration::from_millis(300),
        max_waiting: 1000,
    })
}

impl Sim {
    /// A world made from `seed`.
    pub fn new(seed: u64, faults: Faults) -> Self {
        let host = || Host { writer: fresh(), life: 0, awake: 0 };
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
            doubled: Vec::new(),
        }
    }

    /// Lets `calls` calls begin over time and runs until all is quiet.
    pub fn run(&mut self, calls: u64) {
        for n in 0..calls {
            self.after(n * 7, Step::Begin);
        }
        for n in 0..calls * 7 / 50 {
            self.after(n * 50, Step::Weather);
        }
        self.settle(calls * 7 + 4000);
    }

    /// Ends all faults, asks for every key once more and tells what is wrong with the verdicts.
    pub fn check(&mut self) -> Vec<String> {
        self.faults = Faults { lost: 0, refused: 0, late: 0, unread: 0, pause: 0, restart: 0 };
        self.settle(30_000);
        let mut wrong = Vec::new();
        for n in 0..KEYS {
            let held = |c: &&Call| c.state == State::Granted && c.claim.key == key(n);
            let holder = self.calls.iter().find(held).copied();
            let last = self.begin(n, false);
            self.settle(2000);
            let state = self.calls[last].state;
            if (state == State::Granted) == holder.is_some() {
                wrong.push(format!("key {n}: {state:?} beside {holder:?}"));
            }
        }
        wrong
    }

    /// Calls that were told to be first and did not give up.
    pub fn granted(&self) -> usize {
        self.calls.iter().filter(|c| c.state == State::Granted).count()
    }

    fn settle(&mut self, millis: u64) {
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
                let (n, gives) = (self.rng.random_range(0..KEYS), self.chance(30));
                self.begin(n, gives);
            }
            Step::Weather => self.weather(),
            Step::Ask { host, call, op } => {
                let entry = Entry { op, ..self.calls[call].claim };
                let token = Token(self.asked.len() as u64);
                self.asked.push((call, op));
                let deadline = clock::Instant::from_millis(self.now + PATIENCE);
                let life = self.hosts[host].life;
                self.deliver(host, life, Event::Ask { token, entry, deadline });
            }
            Step::Land(body) => {
                let offset = self.log.len() as u64;
                self.log.push(logs::Record { offset, unix_millis: self.now, body });
            }
            Step::Deliver { host, life, event } => self.deliver(host, life, event),
            Step::Reading { host, life, read, until } => self.reading(host, life, read, until),
            Step::GiveUp(call) => {
                if self.calls[call].state == State::Asking {
                    self.release(call);
                }
            }
            Step::Release(call) => self.release(call),
        }
    }

    fn begin(&mut self, n: u8, gives: bool) -> usize {
        let call = self.calls.len();
        let claim = Entry { key: key(n), attempt: attempt(9, call as u64), op: Op::Claim };
        self.calls.push(Call { claim, state: State::Asking, gives, asked: 0 });
        // Two entries whose views differ ask two writers, and one that hears nothing asks another.
        for _ in 0..self.rng.random_range(1..3) {
            self.calls[call].asked += 1;
            let (host, wait) = (self.rng.random_range(0..WRITERS), self.rng.random_range(0..60));
            self.after(wait, Step::Ask { host, call, op: Op::Claim });
        }
        self.after(PATIENCE, Step::GiveUp(call));
        call
    }

    fn release(&mut self, call: usize) {
        if self.calls[call].state == State::Released {
            return;
        }
        self.calls[call].state = State::Releasing;
        let (host, wait) = (self.rng.random_range(0..WRITERS), self.rng.random_range(0..20));
        self.after(wait, Step::Ask { host, call, op: Op::Release });
        self.after(PATIENCE, Step::Release(call));
    }

    fn weather(&mut self) {
        let host = self.rng.random_range(0..WRITERS);
        if self.chance(self.faults.pause) {
            self.hosts[host].awake = self.now + self.rng.random_range(10..1500);
        }
        if self.chance(self.faults.restart) {
            let host = &mut self.hosts[host];
            host.writer = fresh();
            host.life += 1;
        }
    }

    /// Gives `event` to the writer of `host`, once it is awake and if it still lives that life.
    fn deliver(&mut self, host: usize, life: u32, event: Event) {
        let late = self.hosts[host].awake.saturating_sub(self.now);
        if self.hosts[host].life != life {
            return;
        }
        if late > 0 {
            return self.after(late, Step::Deliver { host, life, event });
        }
        let now = clock::Instant::from_millis(self.now);
        for action in self.hosts[host].writer.handle(event, now) {
            match action {
                Action::Answer(token, answer) => self.answered(token, answer),
                Action::Append(ticket, body) => self.appending(host, ticket, body),
                Action::Read(read) => {
                    let (wait, until) = (self.rng.random_range(1..5), self.now + 100);
                    self.after(wait, Step::Reading { host, life, read, until });
                }
            }
        }
        if let Some(wake) = self.hosts[host].writer.wake() {
            let wait = (wake.as_micros() / 1000).saturating_sub(self.now).max(1);
            self.after(wait, Step::Deliver { host, life, event: Event::Tick });
        }
    }

    fn appending(&mut self, host: usize, ticket: Ticket, body: Bytes) {
        let life = self.hosts[host].life;
        let ended = |end| Step::Deliver { host, life, event: Event::Appended { ticket, end } };
        let land = self.rng.random_range(1..20);
        let answer = land + self.rng.random_range(1..10);
        if self.chance(self.faults.refused) {
            self.after(answer, ended(End::Refused));
        } else if self.chance(self.faults.late) {
            let land = land + self.rng.random_range(1..3000);
            self.after(land, Step::Land(body));
            self.after(answer, ended(End::Unknown));
        } else {
            let lost = self.chance(self.faults.lost);
            self.after(land, Step::Land(body));
            let end = if lost { End::Unknown } else { End::Done };
            self.after(answer, ended(end));
        }
    }

    fn reading(&mut self, host: usize, life: u32, read: Read, until: u64) {
        if self.chance(self.faults.unread) {
            return self.deliver(host, life, Event::Read(None));
        }
        let from = usize::try_from(read.from).unwrap_or(usize::MAX).min(self.log.len());
        let records: Vec<_> = self.log[from..].iter().take(read.most as usize).cloned().collect();
        if records.is_empty() && read.wait && self.now < until {
            return self.after(2, Step::Reading { host, life, read, until });
        }
        let batch = logs::Batch { epoch: 0, first: 0, next: self.log.len() as u64, records };
        self.deliver(host, life, Event::Read(Some(batch)));
    }

    fn answered(&mut self, token: Token, answer: Answer) {
        let (call, op) = self.asked[token.0 as usize];
        let state = self.calls[call].state;
        match (op, answer, state) {
            (Op::Claim, Answer::Claimed(Verdict::First), State::Asking) => self.grant(call),
            (Op::Claim, Answer::Claimed(Verdict::Taken(_)), State::Asking) => {
                self.calls[call].state = State::Taken;
                // The other writer may not have written the claim yet.
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
        let beside = |c: &&Call| c.state == State::Granted && c.claim.key == mine.claim.key;
        let beside = self.calls.iter().find(beside).map(|c| (c.claim, mine.claim));
        self.doubled.extend(beside);
        self.calls[call].state = State::Granted;
        if mine.gives {
            let wait = self.rng.random_range(1..300);
            self.after(wait, Step::Release(call));
        }
    }
}
