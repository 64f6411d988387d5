//! Everything the ledger's thread holds: this node's own claims, the writers that run here, the
//! connections, and usage.

use std::collections;
use std::sync::Arc;
use std::time;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{self, Histogram};
use tokio::sync::mpsc;

use crate::admin::metrics;
use crate::claim::event::{Answer, Limits, Token};
use crate::claim::keep::{self, Origin};
use crate::claim::record::Entry;
use crate::claim::shell::Input;
use crate::claim::{self, desk, dial, handle, serve, wire, writers};
use crate::clock::{self, Clock as _};
use crate::configs;
use crate::context;
use crate::host;
use crate::logs;
use crate::usage;
use crate::usage::post;
use crate::view;

/// Longest the loop rests.
const REST: time::Duration = time::Duration::from_secs(1);

/// The ledger's metrics.
#[derive(Clone, Debug)]
pub struct Metrics {
    claims: Family<[(&'static str, &'static str); 1], Counter>,
    seconds: Histogram,
    waiting: Gauge,
    writers: Gauge,
    current: Gauge,
    held: Gauge,
}

impl Metrics {
    /// Registers the metrics.
    pub fn new(on: &metrics::Metrics) -> Self {
        let seconds = Histogram::new(histogram::exponential_buckets(0.001, 2.0, 13));
        Self {
            claims: on.register("claims", "Claims of this entry by verdict", Family::default()),
            seconds: on.register("claim_seconds", "Time from claim to verdict", seconds),
            waiting: on.register(
                "claims_waiting",
                "Claims and releases of this entry that wait",
                Gauge::default(),
            ),
            writers: on.register("claim_writers", "Partitions written here", Gauge::default()),
            current: on.register(
                "claim_writers_current",
                "Partitions written here whose stream was read to its end",
                Gauge::default(),
            ),
            held: on.register("claim_keys_held", "Keys remembered here", Gauge::default()),
        }
    }

    fn told(&self, result: &Result<claim::Verdict, claim::Error>, took: time::Duration) {
        let verdict = match result {
            Ok(claim::Verdict::First) => "first",
            Ok(claim::Verdict::Taken(_)) => "taken",
            Err(claim::Error::Unavailable { .. }) => "unavailable",
            Err(claim::Error::Busy { .. }) => "busy",
            Err(claim::Error::Late) => "late",
        };
        self.claims.get_or_create(&[("verdict", verdict)]).inc();
        if result.is_ok() {
            self.seconds.observe(took.as_secs_f64());
        }
    }
}

/// A call that waits for its verdict.
#[derive(Debug)]
struct Call {
    verdict: tokio::sync::oneshot::Sender<Result<claim::Verdict, claim::Error>>,
    since: clock::Instant,
}

/// The whole state of the thread.
pub struct Ledger<L> {
    ctx: context::Context,
    partitions: u16,
    /// Whether partitions are read before the first claim.
    ahead: bool,
    desk: desk::Desk,
    /// The writers due by the view, also used for the writers that run here.
    table: writers::Table,
    keep: keep::Keep<L>,
    links: dial::Links,
    shared: serve::Shared,
    post: post::Post<L>,
    metrics: Metrics,
    calls: collections::HashMap<Token, Call>,
    tokens: u64,
    connections: collections::HashMap<u64, mpsc::Sender<bytes::Bytes>>,
    questions: collections::HashMap<host::HostId, Vec<wire::Question>>,
    replies: collections::HashMap<u64, Vec<(u64, wire::Reply)>>,
    pruned: clock::Instant,
}

impl<L: logs::Service> Ledger<L> {
    /// The state of a process that begins.
    pub fn new(
        ctx: context::Context,
        settings: &configs::Node,
        log: L,
        shared: serve::Shared,
        metrics: Metrics,
    ) -> Self {
        let claim = &settings.claim;
        let window = time::Duration::from_secs(claim.window_s);
        let waiting = usize::try_from(claim.waiting).unwrap_or(usize::MAX);
        let keep = Limits {
            append_interval: time::Duration::from_millis(claim.group_ms),
            window,
            append_timeout: time::Duration::from_millis(claim.patience_ms),
            max_waiting: waiting,
        };
        let desk = desk::Limits {
            partitions: claim.partitions,
            hedge: time::Duration::from_millis(claim.hedge_ms),
            waiting,
            window,
        };
        let inputs = shared.inputs.clone();
        Self {
            ctx,
            partitions: claim.partitions,
            ahead: claim.ahead,
            desk: desk::Desk::new(desk),
            table: writers::Table::new(claim.partitions),
            keep: keep::Keep::new(keep, log.clone(), inputs.clone()),
            links: dial::Links::default(),
            post: post::Post::new(ctx, settings, log, inputs),
            shared,
            metrics,
            calls: collections::HashMap::new(),
            tokens: 0,
            connections: collections::HashMap::new(),
            questions: collections::HashMap::new(),
            replies: collections::HashMap::new(),
            pruned: clock::Instant::ZERO,
        }
    }

    /// When [`Ledger::turn`] is due.
    pub fn wake(&self) -> clock::Instant {
        let rest = self.ctx.now() + REST;
        let wakes = [self.desk.wake(), self.keep.wake(), self.post.wake()];
        wakes.into_iter().flatten().min().unwrap_or(rest).min(rest)
    }

    /// Whether everything counted is in the log.
    pub fn flushed(&self) -> bool {
        self.post.is_empty()
    }

    /// Notes that the log came back from an older copy.
    pub fn restored(&mut self, now: clock::Instant) {
        self.post.restored(now);
    }

    /// Takes a new view; begins to read for the partitions that are due here.
    pub fn update(&mut self, view: Arc<view::View>, now: clock::Instant) {
        self.desk.update(&view);
        self.table.update(&view);
        self.post.update(&view);
        if view.standing != view::Standing::Member || !self.ahead {
            return;
        }
        for partition in 0..self.partitions {
            if self.table.choice(partition, 0) == Some(self.shared.host) {
                self.keep.open(partition, now);
            }
        }
    }

    /// Takes a claim of the call path.
    pub fn claim(&mut self, claim: handle::Claim, now: clock::Instant) {
        self.tokens += 1;
        let token = Token(self.tokens);
        self.calls.insert(token, Call { verdict: claim.verdict, since: now });
        let mut actions = Vec::new();
        self.desk.claim(token, claim.entry, claim.deadline, now, &mut actions);
        self.act(actions, now);
    }

    /// Takes a release of the call path.
    pub fn release(&mut self, entry: Entry, now: clock::Instant) {
        let mut actions = Vec::new();
        self.desk.release(entry, now, &mut actions);
        self.act(actions, now);
    }

    /// Takes what was counted.
    pub fn count(&mut self, delta: &usage::Delta) {
        self.post.count(delta);
    }

    /// Takes an input.
    pub fn take(&mut self, input: Input, now: clock::Instant) {
        match input {
            Input::Appended { place, ticket, end } => {
                let answers = self.keep.appended(place, ticket, end, now);
                self.answer(answers, now);
            }
            Input::Read { place, batch } => {
                let answers = self.keep.read(place, batch, now);
                self.answer(answers, now);
            }
            Input::Joined { number, frames } => drop(self.connections.insert(number, frames)),
            Input::Left { number } => drop(self.connections.remove(&number)),
            Input::Asked { number, ask } => self.asked(number, ask, now),
            Input::Told { tell } => self.told(tell, now),
            Input::Ended { host, life } => {
                if self.links.ended(host, life) {
                    self.lost(host, now);
                }
            }
            Input::UsageAppended { success } => {
                let stand = self.post.appended(success, now);
                stand.into_iter().for_each(|(number, id)| self.stands(number, id));
            }
        }
    }

    /// Lets time pass and sends what has gathered.
    pub fn turn(&mut self, now: clock::Instant, last: bool) {
        let mut actions = Vec::new();
        self.desk.tick(now, &mut actions);
        self.act(actions, now);
        let answers = self.keep.tick(now);
        self.answer(answers, now);
        if let Some((host, id, record)) = self.post.poll(now, self.ctx.clock.unix_millis(), last) {
            let frame = wire::encode(&wire::Ask::Usage { id, record });
            if !self.links.send(host, frame, &self.shared) {
                self.post.lost(now);
            }
        }
        self.flush(now);
        self.observe(now);
    }

    /// Ends writers that are not needed, and sets the gauges, now and then.
    fn observe(&mut self, now: clock::Instant) {
        if now.since(self.pruned) < REST {
            return;
        }
        self.pruned = now;
        let (table, own) = (&mut self.table, self.shared.host);
        let due: Vec<u16> =
            (0..self.partitions).filter(|&p| table.choice(p, 0) == Some(own)).collect();
        self.keep.prune(now, |partition| due.binary_search(&partition).is_ok());
        let gauge = |gauge: &Gauge, n: usize| gauge.set(i64::try_from(n).unwrap_or(i64::MAX));
        let [writers, current, held] = self.keep.counts();
        gauge(&self.metrics.writers, writers);
        gauge(&self.metrics.current, current);
        gauge(&self.metrics.held, held);
        gauge(&self.metrics.waiting, self.desk.waiting());
    }

    fn asked(&mut self, number: u64, ask: wire::Ask, now: clock::Instant) {
        match ask {
            wire::Ask::Claims(questions) => {
                for question in questions {
                    let origin = Origin::Peer { connection: number, id: question.id };
                    let left = time::Duration::from_millis(u64::from(question.left_ms));
                    self.ask(origin, question.entry, now + left, now);
                }
            }
            wire::Ask::Usage { id, record } => self.post.add(Some((number, id)), record),
        }
    }

    fn ask(&mut self, origin: Origin, entry: Entry, deadline: clock::Instant, now: clock::Instant) {
        let partition = writers::partition(entry.key, self.partitions);
        let answers = self.keep.ask(partition, origin, entry, deadline, now);
        self.answer(answers, now);
    }

    fn told(&mut self, tell: wire::Tell, now: clock::Instant) {
        match tell {
            wire::Tell::Claims(replies) => {
                let mut actions = Vec::new();
                for (id, reply) in replies {
                    self.desk.answer(id, reply.into(), now, &mut actions);
                }
                self.act(actions, now);
            }
            wire::Tell::Usage { id } => self.post.stands(id, now),
        }
    }

    /// Brings answers of the writers here to those who asked.
    fn answer(&mut self, answers: Vec<(Origin, Answer)>, now: clock::Instant) {
        let mut actions = Vec::new();
        for (origin, answer) in answers {
            match origin {
                Origin::Own(id) => self.desk.answer(id, answer, now, &mut actions),
                Origin::Peer { connection, id } => {
                    self.replies.entry(connection).or_default().push((id, answer.into()));
                }
            }
        }
        if !actions.is_empty() {
            self.act(actions, now);
        }
    }

    fn act(&mut self, actions: Vec<desk::Action>, now: clock::Instant) {
        for action in actions {
            match action {
                desk::Action::Ask { host, id, entry, deadline } if host == self.shared.host => {
                    self.ask(Origin::Own(id), entry, deadline, now);
                }
                desk::Action::Ask { host, id, entry, deadline } => {
                    let left = deadline.since(now).as_millis();
                    let left_ms = u32::try_from(left).unwrap_or(u32::MAX);
                    let question = wire::Question { id, entry, left_ms };
                    self.questions.entry(host).or_default().push(question);
                }
                desk::Action::Tell(token, result) => {
                    let Some(call) = self.calls.remove(&token) else { continue };
                    self.metrics.told(&result, now.since(call.since));
                    // A call that has ended meanwhile releases its claim itself.
                    let _ = call.verdict.send(result);
                }
            }
        }
    }

    fn lost(&mut self, host: host::HostId, now: clock::Instant) {
        self.post.lost(now);
        let mut actions = Vec::new();
        self.desk.lost(host, now, &mut actions);
        self.act(actions, now);
    }

    fn stands(&mut self, number: u64, id: u64) {
        if let Some(frames) = self.connections.get(&number) {
            // A full connection is about to be closed; the node sends the total again.
            let _ = frames.try_send(wire::encode(&wire::Tell::Usage { id }));
        }
    }

    /// Sends what has gathered for each connection.
    fn flush(&mut self, now: clock::Instant) {
        for (number, replies) in std::mem::take(&mut self.replies) {
            let Some(frames) = self.connections.get(&number) else { continue };
            let sent = replies.chunks(wire::MOST).all(|chunk| {
                frames.try_send(wire::encode(&wire::Tell::Claims(chunk.to_vec()))).is_ok()
            });
            if !sent {
                self.connections.remove(&number);
            }
        }
        for (host, questions) in std::mem::take(&mut self.questions) {
            let sent = questions.chunks(wire::MOST).all(|chunk| {
                let frame = wire::encode(&wire::Ask::Claims(chunk.to_vec()));
                self.links.send(host, frame, &self.shared)
            });
            if !sent {
                self.lost(host, now);
            }
        }
    }
}
