//! One run in virtual time: entry nodes with pickers and retry budgets, upstreams with gates.

use std::cmp;
use std::collections;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

use crate::admit;
use crate::bench::policies::case;
use crate::bench::policies::setup;
use crate::bench::policies::tally;
use crate::bench::policies::upstream;
use crate::clock;
use crate::configs;
use crate::notice;
use crate::pick;
use crate::retry;

/// Number of tickets per call: the ticket of an attempt is its call's index times this, plus the
/// attempt's number.
const TICKETS_PER_CALL: u64 = 16;

/// Maximum number of attempts of a call where retries are allowed.
const MAX_ATTEMPTS: u8 = 3;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A call arrives at an entry node.
    Arrive { entry: usize },
    /// An attempt reaches the upstream's owner node.
    Reach { call: usize, attempt: u8, at: usize },
    /// A call has run.
    Finish { ticket: u64, at: usize },
    /// The time has come at which the gate asked for a tick.
    Wake { at: usize },
    /// The response to an attempt reaches the entry node.
    Receive { answer: usize },
    /// The caller's deadline has passed.
    Expire { call: usize },
    /// An upstream names a limit.
    NameLimit { at: usize },
    /// The cancellation of an attempt reaches the owner node.
    Cancel { ticket: u64, at: usize },
}

/// The response to an attempt.
#[derive(Clone, Copy, Debug)]
struct Answer {
    call: usize,
    attempt: u8,
    outcome: retry::Outcome,
    load: Option<admit::Load>,
    notice: Option<notice::Relayed>,
    retry_after: Option<time::Duration>,
}

struct Entry<P> {
    picker: pick::Picker<P>,
    budget: retry::Budget,
}

struct Call {
    entry: usize,
    kind: setup::Kind,
    since: clock::Instant,
    attempt: u8,
    /// Attempts that were refused at the limit of an upstream.
    limited: u8,
    /// The choice and start of the attempt in flight.
    choice: Option<(pick::Choice, clock::Instant)>,
    counted: bool,
}

struct Model<P> {
    now: clock::Instant,
    end: clock::Instant,
    case: case::Case,
    /// Mean time between two calls at all entries, in microseconds.
    gap: f64,
    rng: rngs::SmallRng,
    queue: collections::BinaryHeap<cmp::Reverse<(clock::Instant, u64, Event)>>,
    order: u64,
    entries: Vec<Entry<P>>,
    upstreams: Vec<upstream::Upstream>,
    calls: Vec<Call>,
    answers: Vec<Answer>,
    tally: tally::Tally,
    actions: Vec<admit::Action>,
}

/// Runs `case` with `policy`.
pub(super) fn run<P: Copy + pick::Policy>(
    policy: P,
    case: case::Case,
    seconds: u64,
    seed: u64,
) -> tally::Figures {
    let Ok(tally) = tally::Tally::new() else { unreachable!("constant bounds") };
    let mut model = Model::new(policy, case, seconds, seed, tally);
    model.push(0, Event::Arrive { entry: 0 });
    if case.fault == case::Fault::Limited {
        model.push(setup::LIMITED_AT_US, Event::NameLimit { at: 0 });
    }
    while let Some(cmp::Reverse((at, _, event))) = model.queue.pop() {
        model.now = at;
        model.handle(event);
    }
    model.tally.figures(model.capacity(seconds), &model.upstreams[0].limited_starts)
}

impl<P: Copy + pick::Policy> Model<P> {
    fn new(policy: P, case: case::Case, seconds: u64, seed: u64, tally: tally::Tally) -> Self {
        let full = setup::HOSTS as f64 * f64::from(setup::SLOTS) / setup::MEAN_SERVICE_US;
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let entries = (0..setup::entries(case.fault))
            .map(|i| new_entry(policy, case, i, rng.random()))
            .collect();
        Self {
            now: clock::Instant::ZERO,
            end: clock::Instant::from_micros(setup::UNCOUNTED_US + seconds * 1_000_000),
            case,
            gap: 100.0 / (full * f64::from(case.percent)),
            rng,
            queue: collections::BinaryHeap::new(),
            order: 0,
            entries,
            upstreams: (0..setup::HOSTS).map(|i| upstream::Upstream::new(i, case.fault)).collect(),
            calls: Vec::new(),
            answers: Vec::new(),
            tally,
            actions: Vec::new(),
        }
    }

    /// Number of calls that the upstreams could have run in `seconds`.
    fn capacity(&self, seconds: u64) -> f64 {
        let steps = seconds * 100;
        let step = |s| clock::Instant::from_micros(setup::UNCOUNTED_US + s * 10_000);
        let rate = |u: &upstream::Upstream, s| {
            if u.dead { 0.0 } else { f64::from(u.slots) * 10_000.0 / u.mean(step(s)) }
        };
        (0..steps).map(|s| self.upstreams.iter().map(|u| rate(u, s)).sum::<f64>()).sum()
    }

    fn push(&mut self, after: u64, event: Event) {
        self.order += 1;
        let at = self.now + time::Duration::from_micros(after);
        self.queue.push(cmp::Reverse((at, self.order, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { entry } => self.arrive(entry),
            Event::Reach { call, attempt, at } => self.reach(call, attempt, at),
            Event::Finish { ticket, at } => self.finish(ticket, at),
            Event::Wake { at } => self.gate(at, admit::Event::Tick),
            Event::Receive { answer } => self.receive(self.answers[answer]),
            Event::Expire { call } => self.expire(call),
            Event::NameLimit { at } => {
                let named = self.upstreams[at].name_limit();
                self.gate(at, named);
            }
            Event::Cancel { ticket, at } => self.cancel(ticket, at),
        }
    }

    fn arrive(&mut self, entry: usize) {
        let next = self.next_entry();
        let gap = (self.gap * upstream::exponential(&mut self.rng)).max(1.0) as u64;
        if self.now < self.end {
            self.push(gap, Event::Arrive { entry: next });
        }
        let order = self.rng.random_bool(setup::ORDER_SHARE);
        let kind = if order { setup::Kind::Order } else { setup::Kind::Browse };
        let counted = self.now.as_micros() >= setup::UNCOUNTED_US;
        if counted {
            self.tally.arrived(kind);
        }
        let call =
            Call { entry, kind, since: self.now, attempt: 0, limited: 0, choice: None, counted };
        self.calls.push(call);
        self.entries[entry].budget.record_arrival();
        let call = self.calls.len() - 1;
        self.push(kind.timeout().as_micros() as u64, Event::Expire { call });
        self.attempt(call, &[]);
    }

    /// The entry node at which the next call arrives.
    fn next_entry(&mut self) -> usize {
        let skewed = self.case.fault == case::Fault::Skew && self.rng.random_bool(0.5);
        if skewed {
            return if self.rng.random_bool(0.5) { 1 } else { 5 };
        }
        self.rng.random_range(0..self.entries.len())
    }

    fn attempt(&mut self, call: usize, avoid: &[crate::host::HostId]) {
        let one = &mut self.calls[call];
        one.attempt += 1;
        let (attempt, entry) = (one.attempt, one.entry);
        if one.counted {
            self.tally.attempt();
        }
        let picker = &mut self.entries[entry].picker;
        let Some(choice) = picker.pick(setup::TARGET, self.now, avoid) else {
            return self.settle(call, retry::Outcome::NotRun(retry::Reason::NoUpstream), None);
        };
        picker.started(choice, self.now);
        self.calls[call].choice = Some((choice, self.now));
        let at = setup::index(choice.host);
        self.push(setup::delay_us(entry, at), Event::Reach { call, attempt, at });
    }

    fn reach(&mut self, call: usize, attempt: u8, at: usize) {
        if self.upstreams[at].dead {
            let outcome = retry::Outcome::NotRun(retry::Reason::Unreachable);
            let (load, notice, retry_after) = (None, None, None);
            let answer = Answer { call, attempt, outcome, load, notice, retry_after };
            return self.answer(at, answer);
        }
        let one = &self.calls[call];
        let ticket = admit::Ticket(call as u64 * TICKETS_PER_CALL + u64::from(attempt));
        let deadline = one.since + one.kind.timeout();
        let (kind, weight) = (one.kind.number(), one.kind.weight());
        let call = admit::Call {
            ticket,
            kind,
            weight,
            nested: false,
            returning: false,
            target: deadline,
            deadline,
        };
        self.gate(at, admit::Event::Arrive(call));
    }

    /// Passes an event to the gate of an upstream and carries out its actions.
    fn gate(&mut self, at: usize, event: admit::Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.upstreams[at].gate.handle(event, self.now, &mut actions);
        for action in actions.drain(..) {
            match action {
                admit::Action::Run { ticket } => self.run(ticket, at),
                admit::Action::Refuse { ticket, reason, retry_after } => {
                    let outcome = retry::Outcome::NotRun(reason);
                    self.reply(ticket, at, outcome, Some(retry_after));
                }
            }
        }
        self.actions = actions;
        if let Some(tick) = self.upstreams[at].gate.next_tick() {
            let wake = tick.max(self.now + time::Duration::from_millis(1));
            if self.upstreams[at].wake.is_none_or(|set| set <= self.now || wake < set) {
                self.upstreams[at].wake = Some(wake);
                self.push(wake.since(self.now).as_micros() as u64, Event::Wake { at });
            }
        }
    }

    fn run(&mut self, ticket: admit::Ticket, at: usize) {
        match self.upstreams[at].start(ticket, self.now, &mut self.rng) {
            Some(took) => self.push(took, Event::Finish { ticket: ticket.0, at }),
            None => {
                let outcome = retry::Outcome::NotRun(retry::Reason::UpstreamShed);
                self.gate(at, admit::Event::Shed { ticket });
                self.reply(ticket, at, outcome, None);
            }
        }
    }

    fn finish(&mut self, ticket: u64, at: usize) {
        let ticket = admit::Ticket(ticket);
        if self.upstreams[at].end(ticket) {
            self.gate(at, admit::Event::Ended { ticket });
            self.reply(ticket, at, retry::Outcome::Ran, None);
        }
    }

    fn cancel(&mut self, ticket: u64, at: usize) {
        let ticket = admit::Ticket(ticket);
        self.upstreams[at].end(ticket);
        self.gate(at, admit::Event::Cancelled { ticket });
    }

    fn reply(
        &mut self,
        ticket: admit::Ticket,
        at: usize,
        outcome: retry::Outcome,
        retry_after: Option<time::Duration>,
    ) {
        let (call, attempt) =
            ((ticket.0 / TICKETS_PER_CALL) as usize, (ticket.0 % TICKETS_PER_CALL) as u8);
        let load = Some(self.upstreams[at].gate.load());
        let notice = self.upstreams[at].notice;
        self.answer(at, Answer { call, attempt, outcome, load, notice, retry_after });
    }

    fn answer(&mut self, at: usize, answer: Answer) {
        self.answers.push(answer);
        let delay_us = setup::delay_us(at, self.calls[answer.call].entry);
        self.push(delay_us, Event::Receive { answer: self.answers.len() - 1 });
    }

    fn receive(&mut self, answer: Answer) {
        if self.calls[answer.call].attempt == answer.attempt {
            self.report_end(&answer);
            self.settle(answer.call, answer.outcome, answer.retry_after);
        }
    }

    /// Reports the end of the attempt in flight to the picker and returns its choice; `None` if the
    /// call has no attempt in flight.
    fn report_end(&mut self, answer: &Answer) -> Option<pick::Choice> {
        let one = &mut self.calls[answer.call];
        let (choice, since) = one.choice?;
        let report = pick::Report {
            outcome: answer.outcome,
            load: answer.load,
            relative_time: None,
            notice: answer.notice,
            retry_after: answer.retry_after,
            latency: self.now.since(since),
            node_delay: None,
            responded_at: None,
        };
        self.entries[one.entry].picker.ended(choice, &report, self.now);
        Some(choice)
    }

    fn settle(
        &mut self,
        call: usize,
        outcome: retry::Outcome,
        retry_after: Option<time::Duration>,
    ) {
        let limited = outcome.is_limited();
        let one = &mut self.calls[call];
        if limited && one.counted {
            self.tally.limited();
        }
        let state = retry::Call {
            idempotent: one.kind == setup::Kind::Browse,
            attempt: one.attempt - one.limited,
            limited: one.limited,
            max_attempts: if self.case.retry == case::Retry::None { 1 } else { MAX_ATTEMPTS },
            depth: 0,
            outer_attempt: 1,
            deadline: one.since + one.kind.timeout(),
            answered_bytes: 0,
            buffered: true,
            host: one.choice.take().map(|(choice, _)| choice.host),
            retry_after,
        };
        one.limited += u8::from(limited);
        let budget = &mut self.entries[one.entry].budget;
        match retry::decide(&state, outcome, budget, self.now) {
            retry::Decision::Again { avoid } => self.attempt(call, avoid.as_slice()),
            retry::Decision::Final { outcome, .. } => self.close(call, outcome),
        }
    }

    /// Counts the final outcome of a call. Later responses to it are ignored.
    fn close(&mut self, call: usize, outcome: retry::Outcome) {
        let one = &mut self.calls[call];
        one.attempt = u8::MAX;
        if one.counted {
            let micros = self.now.since(one.since).as_micros() as u64;
            self.tally.ended(one.kind, outcome, micros);
        }
    }

    fn expire(&mut self, call: usize) {
        let one = &self.calls[call];
        if one.attempt == u8::MAX {
            return;
        }
        let (attempt, entry) = (one.attempt, one.entry);
        let outcome = retry::Outcome::Unknown(retry::Reason::Timeout);
        let (load, notice, retry_after) = (None, None, None);
        let answer = Answer { call, attempt, outcome, load, notice, retry_after };
        if let Some(choice) = self.report_end(&answer) {
            let at = setup::index(choice.host);
            let ticket = call as u64 * TICKETS_PER_CALL + u64::from(attempt);
            self.push(setup::delay_us(entry, at), Event::Cancel { ticket, at });
        }
        self.close(call, outcome);
    }
}

fn new_entry<P: Copy + pick::Policy>(
    policy: P,
    case: case::Case,
    index: usize,
    seed: u64,
) -> Entry<P> {
    let settings = configs::call::Call::default();
    let mut picker = pick::Picker::with_policy(policy, setup::locality(index), &settings, seed);
    picker.rebuild(&setup::view(case.fault), &setup::mesh(), clock::Instant::ZERO);
    let budget = match case.retry {
        case::Retry::None | case::Retry::Free => {
            retry::Budget::earning(retry::Earn::Call, u8::MAX, u16::MAX)
        }
        case::Retry::Calls => retry::Budget::earning(retry::Earn::Call, 10, settings.retry_burst),
        case::Retry::Served => retry::Budget::new(10, settings.retry_burst),
    };
    Entry { picker, budget }
}
