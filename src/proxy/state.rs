//! The state shared by all calls of a node. It is used on the thread of the call path only.

use std::cell::{Cell, RefCell};
use std::collections;
use std::rc::Rc;
use std::sync::Arc;
use std::time;

use http::header;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::admit;
use crate::claim;
use crate::clock;
use crate::configs;
use crate::context;
use crate::host;
use crate::mesh;
use crate::node;
use crate::node::stop;
use crate::pick;
use crate::proxy::answer;
use crate::proxy::attempt;
use crate::proxy::body;
use crate::proxy::body_memory;
use crate::proxy::call_spec;
use crate::proxy::caller_retries;
use crate::proxy::crash_detector;
use crate::proxy::dialect;
use crate::proxy::heard;
use crate::proxy::held_answers;
use crate::proxy::inbound_link;
use crate::proxy::links;
use crate::proxy::notices;
use crate::proxy::overload;
use crate::proxy::pool;
use crate::proxy::quarantine_filter;
use crate::proxy::quotas;
use crate::proxy::refuse;
use crate::proxy::resources;
use crate::proxy::rollouts;
use crate::proxy::run_times;
use crate::proxy::running_calls;
use crate::proxy::sizes;
use crate::proxy::slots;
use crate::proxy::trace;
use crate::proxy::traffic_split;
use crate::proxy::upload;
use crate::proxy::wiring;
use crate::quarantine;
use crate::retry;
use crate::rollout;
use crate::seal;
use crate::usage;
use crate::view;

/// Mean deviations that are added to the mean run time of a kind for the time that nearly all of
/// its calls take.
const RUN_DEVIATIONS: u32 = 2;

/// The state shared by all calls of a node.
pub struct State<C> {
    /// The clock and the seed of random numbers.
    pub ctx: context::Context,
    /// Settings of the node.
    pub settings: Arc<configs::Node>,
    /// The host of this node.
    pub me: host::HostId,
    /// Claims idempotency keys.
    pub claims: C,
    /// The local upstream, the one beside this node.
    pub local: watch::Receiver<Option<Arc<node::LocalUpstream>>>,
    /// The hosts of the mesh.
    pub view: watch::Receiver<Arc<view::View>>,
    /// The stage of the process, from running to its end.
    pub stage: watch::Receiver<node::Stage>,
    /// The configuration in force. Swapped together with the picker's table.
    pub applied: RefCell<Arc<mesh::Applied>>,
    /// Picks the upstream of each attempt.
    pub picker: Rc<RefCell<pick::Picker>>,
    /// Retry budgets, by service.
    pub budgets: RefCell<collections::HashMap<SmolStr, retry::Budget>>,
    /// Admission to the local upstream.
    pub slots: Rc<slots::Slots>,
    /// Connections to the local upstream.
    pub pool: Rc<pool::Pool>,
    /// Connections to other nodes.
    pub links: links::Links,
    /// Answers to calls with an idempotency key, held for duplicates.
    pub held_answers: Rc<held_answers::HeldAnswers>,
    /// Counts the calls in flight.
    pub in_flight: Rc<resources::CallCounter>,
    /// Usage counts that have not been flushed yet.
    pub tally: Rc<RefCell<usage::Tally>>,
    /// Authenticates messages between the nodes of the mesh.
    pub seal: seal::Seal,
    /// Header names that callers and upstreams use.
    pub dialect: dialect::Dialect,
    /// Mean size of answers, by kind of call.
    pub sizes: RefCell<sizes::Sizes>,
    /// Mean run times, by kind of call.
    pub run_times: RefCell<run_times::RunTimes>,
    /// Writes the log lines of single calls.
    pub trace: trace::Trace,
    /// What the local upstream says of itself in its answers.
    pub notices: notices::Notices,
    /// Counts of the answers of the local upstream that were not believed.
    pub answers: answer::Counts,
    /// What upstreams beside other nodes have said.
    pub heard: RefCell<heard::Heard>,
    /// Instance and incarnation of the local upstream that was applied last.
    pub(super) last_upstream: RefCell<Option<(SmolStr, u32)>>,
    /// Calls that run at the local upstream.
    pub running: Rc<running_calls::RunningCalls>,
    /// Detects crashes of the local upstream.
    pub crashes: Rc<crash_detector::CrashDetector>,
    /// Computes the fingerprints of requests.
    pub fingerprinter: quarantine::Fingerprinter,
    /// Refuses requests that crash upstreams, and reports crashes.
    pub quarantine: Rc<quarantine_filter::QuarantineFilter>,
    /// Limits of organisations.
    pub quotas: Rc<quotas::Quotas>,
    /// Failed calls whose callers may retry.
    pub caller_retries: RefCell<caller_retries::CallerRetries>,
    /// State of the roll-outs.
    pub rollouts: rollouts::Rollouts,
    /// Divides the calls of split routes between services.
    pub traffic_split: RefCell<traffic_split::TrafficSplit>,
    /// Memory for buffered bodies of requests.
    pub body_memory: Rc<body_memory::BodyMemory>,
    /// Schedules long bodies from other nodes on this host's link.
    pub inbound_link: inbound_link::InboundLink,
    /// Overload protection.
    pub overload: overload::Overload,
    /// When the last answers must be sent; `None` until a planned stop begins.
    pub answer_deadline: Cell<Option<clock::Instant>>,
    /// The first number given out by [`State::next_number`].
    first_number: u64,
    /// How many numbers have been given out.
    next: Cell<u64>,
}

impl<C: claim::Claims> State<C> {
    /// The state of a node that has served no call yet.
    pub fn new(
        ctx: context::Context,
        settings: Arc<configs::Node>,
        wiring: &wiring::Wiring<C>,
    ) -> Self {
        let me = host::HostId::new(settings.listen);
        let locality =
            view::Locality { region: settings.region.clone(), zone: settings.zone.clone() };
        let mut picker = pick::Picker::new(locality, &settings.call, ctx.seed_for("pick"))
            .with_counts(wiring.picks.clone())
            .with_connect_timeout(time::Duration::from_millis(settings.proxy.connect_ms));
        if settings.proxy.link_mbps > 0.0 {
            picker = picker.with_host(me);
        }
        let seal = seal::Seal::new(&settings.mesh, &settings.key);
        let crashes = Rc::<crash_detector::CrashDetector>::default();
        let quarantine =
            Rc::new(quarantine_filter::QuarantineFilter::new(ctx, me, wiring.quarantine.clone()));
        let proxy = &settings.proxy;
        let limits = held_answers::Limits {
            time: time::Duration::from_millis(proxy.held_ms),
            count: proxy.held_count,
            bytes: proxy.held_bytes,
        };
        let idle = time::Duration::from_millis(proxy.idle_ms);
        Self {
            ctx,
            me,
            claims: wiring.claims.clone(),
            local: wiring.local.clone(),
            view: wiring.view.clone(),
            stage: wiring.stage.clone(),
            applied: RefCell::default(),
            picker: Rc::new(RefCell::new(picker)),
            budgets: RefCell::default(),
            slots: Rc::new(slots::Slots::new(ctx).with_counts(wiring.slots.clone())),
            pool: Rc::new(pool::Pool::new(idle)),
            links: links::Links::new(me, seal.clone(), Arc::clone(&settings)),
            held_answers: Rc::new(held_answers::HeldAnswers::new(limits)),
            in_flight: Rc::default(),
            tally: Rc::default(),
            dialect: wiring.dialect.clone(),
            sizes: RefCell::default(),
            run_times: RefCell::default(),
            trace: trace::Trace::default(),
            notices: notices::Notices::new(wiring.notices.clone()),
            answers: wiring.answers.clone(),
            heard: RefCell::default(),
            last_upstream: RefCell::default(),
            caller_retries: RefCell::default(),
            running: Rc::new(
                running_calls::RunningCalls::new(Rc::clone(&crashes), Rc::clone(&quarantine))
                    .with_counts(wiring.retries.clone()),
            ),
            quarantine,
            crashes,
            quotas: Rc::new(quotas::Quotas::new(
                ctx,
                me,
                seal.clone(),
                &settings.quota,
                wiring.quotas.clone(),
            )),
            fingerprinter: quarantine::Fingerprinter::new(&seal),
            seal,
            rollouts: rollouts::Rollouts::default(),
            traffic_split: RefCell::default(),
            body_memory: Rc::new(body_memory::BodyMemory::new(proxy.kept_bytes)),
            inbound_link: inbound_link::InboundLink::new(inbound_link::Plan::new(proxy)),
            overload: overload::Overload::new(&settings.overload, wiring.overload.clone()),
            answer_deadline: Cell::new(None),
            first_number: ctx.seed_for("call"),
            next: Cell::new(0),
            settings,
        }
    }

    /// Sets the header that names the service of this host, replacing any value the caller sent.
    pub fn add_caller_header(&self, map: &mut header::HeaderMap) {
        let Some(caller) = &self.dialect.caller else { return };
        map.remove(caller);
        if let Ok(service) = header::HeaderValue::from_str(&self.settings.service) {
            map.insert(caller, service);
        }
    }

    /// Begins a planned stop: calls are answered before the process ends. Returns when the last
    /// answers must be sent.
    pub fn begin_stop(&self) -> clock::Instant {
        let begun = self.answer_deadline.get();
        let answer_deadline =
            begun.unwrap_or_else(|| self.ctx.now() + stop::Plan::new(&self.settings.stop).answer);
        self.answer_deadline.set(Some(answer_deadline));
        answer_deadline
    }

    /// Waits until the last answers must be sent; forever while no stop begins.
    pub async fn wait_answer_deadline(&self) {
        let mut stage = self.stage.clone();
        // A closed channel means that the process ends.
        let _ = stage.wait_for(|stage| *stage >= node::Stage::Leave).await;
        tokio::time::sleep_until(self.timer(self.begin_stop())).await;
    }

    /// The deadline of a call whose caller waits until `caller_deadline`: earlier during a planned
    /// stop.
    pub fn deadline(&self, caller_deadline: clock::Instant) -> clock::Instant {
        self.answer_deadline.get().map_or(caller_deadline, |last| last.min(caller_deadline))
    }

    /// Whether a call of `kind` that begins now can be answered before a planned stop ends: its
    /// caller waits until `caller_deadline` at most, or it ends by then if it takes as long as
    /// others of its kind, or its `target` latency if there were none.
    pub fn can_answer(
        &self,
        kind: &str,
        target: Option<time::Duration>,
        caller_deadline: clock::Instant,
    ) -> bool {
        let Some(last) = self.answer_deadline.get().filter(|last| *last < caller_deadline) else {
            return true;
        };
        let known = self.run_times.borrow().spread(kind);
        let usual = known.map(|times| times.mean + times.deviation * RUN_DEVIATIONS);
        self.ctx.now() + usual.or(target).unwrap_or_default() <= last
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        *self.stage.borrow() >= node::Stage::Leave
    }

    /// Whether new calls are refused.
    pub fn is_draining(&self) -> bool {
        *self.stage.borrow() >= node::Stage::Drain
    }

    /// The configuration in force.
    pub fn applied(&self) -> Arc<mesh::Applied> {
        Arc::clone(&self.applied.borrow())
    }

    /// Converts `deadline` to an instant of the runtime.
    pub fn timer(&self, deadline: clock::Instant) -> tokio::time::Instant {
        tokio::time::Instant::now() + deadline.since(self.ctx.now())
    }

    /// The delay that a refused caller is told to wait before it retries.
    pub fn retry_delay(&self) -> time::Duration {
        time::Duration::from_millis(self.settings.proxy.retry_ms)
    }

    /// Bounds for reading a body of up to `limit` bytes.
    pub fn bounds(&self, limit: u64) -> upload::Bounds<'_> {
        upload::Bounds {
            max_buffered: self.settings.proxy.keep_bytes,
            max_bytes: limit,
            memory: &self.body_memory,
        }
    }

    /// The load of the local upstream as reported to other nodes. It includes the wait for the
    /// host's link and the delay of this node's own work, converted to the number of waiting calls
    /// that would cause an equal wait.
    pub fn load(&self) -> admit::Load {
        let wait = inbound_link::link_time(&self.settings.proxy, self.inbound_link.pending_bytes());
        let delay = self.overload.extra_wait(self.ctx.now());
        self.slots.load().and_wait(wait + delay.as_micros() as f32)
    }

    /// Records a run time in the mean of its kind, and its ratio to that mean in the attempt of
    /// `resources`. Calls that the upstream failed are left out, as they may take any time.
    pub fn record_run_time(
        &self,
        kind: &str,
        status: http::StatusCode,
        ran: call_spec::RunTime,
        resources: &mut resources::Resources,
    ) {
        // A version under trial must not change the mean that it is compared with.
        let counts = |attempt: &&mut attempt::Attempt| status.is_success() && !attempt.is_trial();
        if let Some(attempt) = resources.attempt.as_mut().filter(counts) {
            attempt.set_relative_time(self.run_times.borrow_mut().record(kind, ran.0));
        }
    }

    /// What the result of an attempt shows of the version that it went to; `None` where the
    /// upstream had no part in it.
    pub fn observation(
        &self,
        kind: &str,
        result: &Result<http::Response<body::Reply>, refuse::Refusal>,
    ) -> Option<rollouts::Observation> {
        match result {
            Ok(answer) => {
                let ran = answer.extensions().get::<call_spec::RunTime>();
                let times = ran.map(|ran| ran.0).zip(self.run_times.borrow().mean(kind));
                let verdict = match answer.status() {
                    // What an upstream says at its deadline is a matter of time.
                    http::StatusCode::GATEWAY_TIMEOUT => rollout::Verdict::Poor,
                    status if status.is_server_error() => rollout::Verdict::Failed,
                    _ => rollout::Verdict::Good,
                };
                Some(rollouts::Observation { verdict, times })
            }
            Err(refusal) => match refusal.outcome() {
                retry::Outcome::Unknown(
                    retry::Reason::Cut | retry::Reason::Malformed | retry::Reason::Timeout,
                ) => Some(rollouts::Observation { verdict: rollout::Verdict::Poor, times: None }),
                _ => None,
            },
        }
    }

    /// Counts and logs that a request is sent again on another connection.
    pub fn record_resent(&self, resent: &trace::Resent<'_>) {
        self.running.counts().resent.get_or_create(&[("to", resent.to.as_str())]).inc();
        self.trace.resent(resent, self.ctx.now());
    }

    /// A number that no other call of this process has. The first one is random, so that a process
    /// whose incarnation is not known yet doesn't repeat the numbers of its predecessor.
    pub fn next_number(&self) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        self.first_number.wrapping_add(number)
    }

    /// A new request id.
    pub fn new_id(&self) -> header::HeaderValue {
        let text = format!("{:016x}", self.next_number());
        header::HeaderValue::from_str(&text)
            .unwrap_or_else(|_| header::HeaderValue::from_static("0"))
    }

    /// Runs `with` on the retry budget of `service`.
    pub fn budget<T>(
        &self,
        service: &mesh::Service,
        with: impl FnOnce(&mut retry::Budget) -> T,
    ) -> T {
        let burst = self.settings.call.retry_burst;
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(&service.name) {
            budgets.insert(service.name.clone(), retry::Budget::new(service.retries, burst));
        }
        match budgets.get_mut(&service.name) {
            Some(budget) => {
                budget.set_limits(service.retries, burst);
                with(budget)
            }
            None => with(&mut retry::Budget::new(0, 0)),
        }
    }

    /// Applies a configuration and a view of the mesh together.
    pub fn rebuild(&self, applied: Arc<mesh::Applied>, view: &view::View) {
        self.rebuild_picker(&applied.mesh, view);
        self.quotas.update(&applied, view);
        let exists = |name: &SmolStr| applied.mesh.services.iter().any(|s| s.name == *name);
        self.budgets.borrow_mut().retain(|name, _| exists(name));
        self.traffic_split.borrow_mut().retain(&applied.mesh);
        let kinds: collections::HashSet<&SmolStr> =
            applied.mesh.kinds.iter().map(|k| &k.name).collect();
        self.sizes.borrow_mut().retain(|kind| kinds.contains(kind));
        self.run_times.borrow_mut().retain(|kind| kinds.contains(kind));
        self.applied.replace(applied);
        self.apply_limits();
    }

    /// Updates the roll-outs, which change with time and with the answers that are observed.
    pub fn update_rollouts(&self, view: &view::View) {
        let applied = self.applied();
        self.rebuild_picker(&applied.mesh, view);
    }

    /// Rebuilds the picker's table from the upstreams of `view` and the roll-out orders of `mesh`.
    fn rebuild_picker(&self, mesh: &mesh::Mesh, view: &view::View) {
        let now = self.ctx.now();
        self.rollouts.update(mesh, view, now);
        self.rollouts.update_trial(self.local.borrow().as_ref().map(|local| &local.upstream));
        let mut picker = self.picker.borrow_mut();
        self.rollouts.with(|table| picker.rebuild_with(view, mesh, table, now));
    }
}
