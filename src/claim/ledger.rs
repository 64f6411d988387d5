//! State of the ledger duty: this node's own claims, the writers that run here, the connections,
//! and usage.

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
use crate::claim::record::Entry;
use crate::claim::registry::{self, Origin};
use crate::claim::shell::Input;
use crate::claim::{self, connector, handle, requests, serve, wire, writers};
use crate::clock::{self, Clock as _};
use crate::configs;
use crate::context;
use crate::host;
use crate::logs;
use crate::usage;
use crate::usage::delivery;
use crate::view;

/// Upper bound of the time between two polls, and the interval of pruning and of setting gauges.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

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
    /// Registers the metrics with `on`.
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

    fn record(&self, result: &Result<claim::Verdict, claim::Error>, took: time::Duration) {
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

/// The state of the duty.
pub struct Ledger<L> {
    ctx: context::Context,
    partitions: u16,
    /// Whether the partitions assigned to this host are read before their first claim.
    read_ahead: bool,
    requests: requests::Requests,
    /// Assignment of partitions to hosts, which decides which writers run here.
    table: writers::Table,
    registry: registry::Registry<L>,
    connector: connector::Connector,
    shared: serve::Shared,
    delivery: delivery::Delivery<L>,
    metrics: Metrics,
    calls: collections::HashMap<Token, Call>,
    tokens: u64,
    connections: collections::HashMap<u64, mpsc::Sender<bytes::Bytes>>,
    /// Requests to writers on other hosts, sent at the end of a poll.
    outgoing: collections::HashMap<host::HostId, Vec<wire::ClaimRequest>>,
    /// Replies by connection, sent at the end of a poll.
    replies: collections::HashMap<u64, Vec<(u64, wire::Reply)>>,
    pruned: clock::Instant,
}

impl<L: logs::Service> Ledger<L> {
    /// The state at the start of the process.
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
        let registry = Limits {
            append_interval: time::Duration::from_millis(claim.group_ms),
            window,
            append_timeout: time::Duration::from_millis(claim.patience_ms),
            max_waiting: waiting,
        };
        let requests = requests::Limits {
            partitions: claim.partitions,
            hedge: time::Duration::from_millis(claim.hedge_ms),
            max_waiting: waiting,
            window,
        };
        let inputs = shared.inputs.clone();
        Self {
            ctx,
            partitions: claim.partitions,
            read_ahead: claim.ahead,
            requests: requests::Requests::new(requests),
            table: writers::Table::new(claim.partitions),
            registry: registry::Registry::new(registry, log.clone(), inputs.clone()),
            connector: connector::Connector::default(),
            delivery: delivery::Delivery::new(ctx, settings, log, inputs),
            shared,
            metrics,
            calls: collections::HashMap::new(),
            tokens: 0,
            connections: collections::HashMap::new(),
            outgoing: collections::HashMap::new(),
            replies: collections::HashMap::new(),
            pruned: clock::Instant::ZERO,
        }
    }

    /// When [`Ledger::poll`] is due.
    pub fn wake(&self) -> clock::Instant {
        let latest = self.ctx.now() + MAX_PAUSE;
        let wakes = [self.requests.wake(), self.registry.wake(), self.delivery.wake()];
        wakes.into_iter().flatten().min().unwrap_or(latest).min(latest)
    }

    /// Whether all counted usage is in the log.
    pub fn flushed(&self) -> bool {
        self.delivery.is_empty()
    }

    /// Handles a log that was restored from an older copy.
    pub fn restored(&mut self, now: clock::Instant) {
        self.delivery.restored(now);
    }

    /// Applies a new view; starts the writers of partitions assigned to this host if these are to
    /// be read ahead.
    pub fn update(&mut self, view: Arc<view::View>, now: clock::Instant) {
        self.requests.update(&view);
        self.table.update(&view);
        self.delivery.update(&view);
        if view.standing != view::Standing::Member || !self.read_ahead {
            return;
        }
        for partition in 0..self.partitions {
            if self.table.candidate(partition, 0) == Some(self.shared.host) {
                self.registry.start(partition, now);
            }
        }
    }

    /// Handles a claim of the call path.
    pub fn claim(&mut self, claim: handle::Claim, now: clock::Instant) {
        self.tokens += 1;
        let token = Token(self.tokens);
        self.calls.insert(token, Call { verdict: claim.verdict, since: now });
        let mut actions = Vec::new();
        self.requests.claim(token, claim.entry, claim.deadline, now, &mut actions);
        self.perform(actions, now);
    }

    /// Handles a release of the call path.
    pub fn release(&mut self, entry: Entry, now: clock::Instant) {
        let mut actions = Vec::new();
        self.requests.release(entry, now, &mut actions);
        self.perform(actions, now);
    }

    /// Adds counted usage.
    pub fn count(&mut self, delta: &usage::Delta) {
        self.delivery.count(delta);
    }

    /// Handles an input.
    pub fn handle(&mut self, input: Input, now: clock::Instant) {
        match input {
            Input::Appended { writer, id, outcome } => {
                let answers = self.registry.appended(writer, id, outcome, now);
                self.deliver(answers, now);
            }
            Input::Read { writer, batch } => {
                let answers = self.registry.read(writer, batch, now);
                self.deliver(answers, now);
            }
            Input::PeerConnected { number, frames } => {
                drop(self.connections.insert(number, frames))
            }
            Input::PeerDisconnected { number } => drop(self.connections.remove(&number)),
            Input::Request { number, request } => self.handle_request(number, request, now),
            Input::Response { response } => self.handle_response(response, now),
            Input::Disconnected { host, generation } => {
                if self.connector.disconnected(host, generation) {
                    self.disconnected(host, now);
                }
            }
            Input::UsageAppended { success } => {
                let confirmed = self.delivery.appended(success, now);
                confirmed.into_iter().for_each(|(number, id)| self.confirm_usage(number, id));
            }
        }
    }

    /// Runs timers that are due and sends all gathered requests and replies. With `last`, counted
    /// usage is sent without delay.
    pub fn poll(&mut self, now: clock::Instant, last: bool) {
        let mut actions = Vec::new();
        self.requests.tick(now, &mut actions);
        self.perform(actions, now);
        let answers = self.registry.tick(now);
        self.deliver(answers, now);
        if let Some((host, id, total)) = self.delivery.poll(now, self.ctx.clock.unix_millis(), last)
        {
            let frame = wire::encode(&wire::Request::Usage { id, total });
            if !self.connector.send(host, frame, &self.shared) {
                self.delivery.disconnected(now);
            }
        }
        self.flush(now);
        self.observe(now);
    }

    /// Stops unneeded writers and sets the gauges, at intervals.
    fn observe(&mut self, now: clock::Instant) {
        if now.since(self.pruned) < MAX_PAUSE {
            return;
        }
        self.pruned = now;
        let (table, own) = (&mut self.table, self.shared.host);
        let due: Vec<u16> =
            (0..self.partitions).filter(|&p| table.candidate(p, 0) == Some(own)).collect();
        self.registry.prune(now, |partition| due.binary_search(&partition).is_ok());
        let gauge = |gauge: &Gauge, n: usize| gauge.set(i64::try_from(n).unwrap_or(i64::MAX));
        let [writers, current, held] = self.registry.counts();
        gauge(&self.metrics.writers, writers);
        gauge(&self.metrics.current, current);
        gauge(&self.metrics.held, held);
        gauge(&self.metrics.waiting, self.requests.waiting());
    }

    fn handle_request(&mut self, number: u64, request: wire::Request, now: clock::Instant) {
        match request {
            wire::Request::Claims(claims) => {
                for request in claims {
                    let origin = Origin::Peer { connection: number, id: request.id };
                    let remaining = time::Duration::from_millis(u64::from(request.remaining_ms));
                    self.request(origin, request.entry, now + remaining, now);
                }
            }
            wire::Request::Usage { id, total } => self.delivery.add(Some((number, id)), total),
        }
    }

    fn request(
        &mut self,
        origin: Origin,
        entry: Entry,
        deadline: clock::Instant,
        now: clock::Instant,
    ) {
        let partition = writers::partition(entry.key, self.partitions);
        let answers = self.registry.request(partition, origin, entry, deadline, now);
        self.deliver(answers, now);
    }

    fn handle_response(&mut self, response: wire::Response, now: clock::Instant) {
        match response {
            wire::Response::Claims(replies) => {
                let mut actions = Vec::new();
                for (id, reply) in replies {
                    self.requests.answer(id, reply.into(), now, &mut actions);
                }
                self.perform(actions, now);
            }
            wire::Response::Usage { id } => self.delivery.confirm(id, now),
        }
    }

    /// Passes answers of local writers to the origins of their requests.
    fn deliver(&mut self, answers: Vec<(Origin, Answer)>, now: clock::Instant) {
        let mut actions = Vec::new();
        for (origin, answer) in answers {
            match origin {
                Origin::Own(id) => self.requests.answer(id, answer, now, &mut actions),
                Origin::Peer { connection, id } => {
                    self.replies.entry(connection).or_default().push((id, answer.into()));
                }
            }
        }
        if !actions.is_empty() {
            self.perform(actions, now);
        }
    }

    fn perform(&mut self, actions: Vec<requests::Action>, now: clock::Instant) {
        for action in actions {
            match action {
                requests::Action::Send { host, id, entry, deadline }
                    if host == self.shared.host =>
                {
                    self.request(Origin::Own(id), entry, deadline, now);
                }
                requests::Action::Send { host, id, entry, deadline } => {
                    let remaining = deadline.since(now).as_millis();
                    let remaining_ms = u32::try_from(remaining).unwrap_or(u32::MAX);
                    let request = wire::ClaimRequest { id, entry, remaining_ms };
                    self.outgoing.entry(host).or_default().push(request);
                }
                requests::Action::Reply(token, result) => {
                    let Some(call) = self.calls.remove(&token) else { continue };
                    self.metrics.record(&result, now.since(call.since));
                    // If the call has ended meanwhile, it releases its claim itself.
                    let _ = call.verdict.send(result);
                }
            }
        }
    }

    fn disconnected(&mut self, host: host::HostId, now: clock::Instant) {
        self.delivery.disconnected(now);
        let mut actions = Vec::new();
        self.requests.disconnected(host, now, &mut actions);
        self.perform(actions, now);
    }

    fn confirm_usage(&mut self, number: u64, id: u64) {
        if let Some(frames) = self.connections.get(&number) {
            // A connection whose queue is full is about to be closed; its node sends the total
            // again.
            let _ = frames.try_send(wire::encode(&wire::Response::Usage { id }));
        }
    }

    /// Sends the gathered replies and requests of each connection.
    fn flush(&mut self, now: clock::Instant) {
        for (number, replies) in std::mem::take(&mut self.replies) {
            let Some(frames) = self.connections.get(&number) else { continue };
            let sent = replies.chunks(wire::MAX_PER_FRAME).all(|chunk| {
                frames.try_send(wire::encode(&wire::Response::Claims(chunk.to_vec()))).is_ok()
            });
            if !sent {
                self.connections.remove(&number);
            }
        }
        for (host, outgoing) in std::mem::take(&mut self.outgoing) {
            let sent = outgoing.chunks(wire::MAX_PER_FRAME).all(|chunk| {
                let frame = wire::encode(&wire::Request::Claims(chunk.to_vec()));
                self.connector.send(host, frame, &self.shared)
            });
            if !sent {
                self.disconnected(host, now);
            }
        }
    }
}
