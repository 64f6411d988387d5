//! What the calls of one node share. Everything here lives on the thread of the call path.

use std::cell::{Cell, RefCell};
use std::collections;
use std::net;
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
use crate::pick;
use crate::proxy::body;
use crate::proxy::dialect;
use crate::proxy::ends;
use crate::proxy::guard;
use crate::proxy::held;
use crate::proxy::inflow;
use crate::proxy::links;
use crate::proxy::order;
use crate::proxy::paces;
use crate::proxy::pool;
use crate::proxy::refuse;
use crate::proxy::returns;
use crate::proxy::room;
use crate::proxy::runs;
use crate::proxy::sizes;
use crate::proxy::slots;
use crate::proxy::split;
use crate::proxy::suspects;
use crate::proxy::trace;
use crate::proxy::trip;
use crate::proxy::upload;
use crate::proxy::versions;
use crate::proxy::wiring;
use crate::quarantine;
use crate::retry;
use crate::seal;
use crate::usage;
use crate::view;

/// Time before the end of a planned stop in which answers still reach their callers. A call that
/// may take longer than the process lives would end without an answer.
const LAST_ANSWERS: time::Duration = time::Duration::from_millis(200);

/// What the calls of one node share.
pub struct State<C> {
    /// Time and randomness.
    pub ctx: context::Context,
    /// Settings.
    pub settings: Arc<configs::Node>,
    /// This host.
    pub me: host::HostId,
    /// Claims of idempotency keys.
    pub claims: C,
    /// The upstream beside this node.
    pub local: watch::Receiver<Option<Arc<node::LocalUpstream>>>,
    /// The mesh's hosts.
    pub view: watch::Receiver<Arc<view::View>>,
    /// How far the process is in its life.
    pub stage: watch::Receiver<node::Stage>,
    /// The configuration in force. Swapped together with the picker's table.
    pub applied: RefCell<Arc<mesh::Applied>>,
    /// Picks upstreams.
    pub picker: Rc<RefCell<pick::Picker>>,
    /// Budgets of extra attempts by service.
    pub budgets: RefCell<collections::HashMap<SmolStr, retry::Budget>>,
    /// The gate in front of the upstream beside this node.
    pub slots: Rc<slots::Slots>,
    /// Connections to that upstream.
    pub pool: Rc<pool::Pool>,
    /// Connections to other nodes.
    pub links: links::Links,
    /// Answers held for duplicates.
    pub held: Rc<held::Held>,
    /// Calls in flight.
    pub flights: Rc<guard::Flights>,
    /// Calls counted.
    pub tally: Rc<RefCell<usage::Tally>>,
    /// Tags of the mesh.
    pub seal: seal::Seal,
    /// How callers and upstreams speak.
    pub dialect: dialect::Dialect,
    /// Sizes of the answers to each kind of call.
    pub sizes: RefCell<sizes::Sizes>,
    /// Run times of each kind of call.
    pub paces: RefCell<paces::Paces>,
    /// Log lines of single calls.
    pub trace: trace::Trace,
    /// The upstream beside this node that was seen last: its instance and life.
    seen: RefCell<Option<(SmolStr, u32)>>,
    /// Calls that run at the upstream beside this node.
    pub runs: Rc<runs::Runs>,
    /// Ends of the upstream beside this node.
    pub ends: Rc<ends::Ends>,
    /// Makes the fingerprints of requests.
    pub printer: quarantine::Fingerprinter,
    /// Requests under which upstreams end.
    pub suspects: Rc<suspects::Suspects>,
    /// Callers that were refused and may come back.
    pub returns: RefCell<returns::Returns>,
    /// Versions of upstreams in roll-outs.
    pub rollouts: versions::Versions,
    /// Turns of the split routes.
    pub splitter: RefCell<split::Splitter>,
    /// Memory for bodies of requests.
    pub room: Rc<room::Room>,
    /// Turns of long bodies from other nodes.
    pub inflow: inflow::Inflow,
    /// When the last answers have to be on their way; `None` until a planned stop begins.
    pub last: Cell<Option<clock::Instant>>,
    /// Start of the identities of calls made here.
    prefix: u64,
    /// Number of the next call that needs one.
    next: Cell<u64>,
}

impl<C: claim::Claims> State<C> {
    /// The state of a node that has served nothing yet.
    pub fn new(
        ctx: context::Context,
        settings: Arc<configs::Node>,
        wiring: &wiring::Wiring<C>,
    ) -> Self {
        let me = host::HostId::new(settings.listen);
        let place = view::Locality { region: settings.region.clone(), zone: settings.zone.clone() };
        let mut picker = pick::Picker::new(place, &settings.call, ctx.seed_for("pick"));
        if settings.proxy.link_mbps > 0.0 {
            picker = picker.with_host(me);
        }
        let seal = seal::Seal::new(&settings.mesh, &settings.key);
        let ends = Rc::<ends::Ends>::default();
        let suspects = Rc::new(suspects::Suspects::new(ctx, me, wiring.quarantine.clone()));
        let proxy = &settings.proxy;
        let limits = held::Limits {
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
            slots: Rc::new(slots::Slots::new(ctx)),
            pool: Rc::new(pool::Pool::new(idle)),
            links: links::Links::new(me, seal.clone(), Arc::clone(&settings)),
            held: Rc::new(held::Held::new(limits)),
            flights: Rc::default(),
            tally: Rc::default(),
            dialect: wiring.dialect.clone(),
            sizes: RefCell::default(),
            paces: RefCell::default(),
            trace: trace::Trace::default(),
            seen: RefCell::default(),
            returns: RefCell::default(),
            runs: Rc::new(runs::Runs::new(Rc::clone(&ends), Rc::clone(&suspects))),
            suspects,
            ends,
            printer: quarantine::Fingerprinter::new(&seal),
            seal,
            rollouts: versions::Versions::default(),
            splitter: RefCell::default(),
            room: Rc::new(room::Room::new(proxy.kept_bytes)),
            inflow: inflow::Inflow::new(inflow::Plan::new(proxy)),
            last: Cell::new(None),
            prefix: ctx.seed_for("call"),
            next: Cell::new(0),
            settings,
        }
    }

    /// Adds to the headers of a call what this node vouches for: the service it comes from.
    pub fn sign(&self, map: &mut header::HeaderMap) {
        let Some(caller) = &self.dialect.caller else { return };
        map.remove(caller);
        if let Ok(service) = header::HeaderValue::from_str(&self.settings.service) {
            map.insert(caller, service);
        }
    }

    /// A planned stop has begun: calls are answered before the process ends. Gives the moment when
    /// the last answers have to be on their way.
    pub fn leave(&self) -> clock::Instant {
        let stop = &self.settings.stop;
        let left = time::Duration::from_millis(stop.serve_ms + stop.drain_ms);
        let last = self.ctx.now() + left.saturating_sub(LAST_ANSWERS);
        let last = self.last.get().unwrap_or(last);
        self.last.set(Some(last));
        last
    }

    /// Waits until the last answers have to be on their way; for ever while no stop begins.
    pub async fn last_moment(&self) {
        let mut stage = self.stage.clone();
        // A closed channel means that the process ends.
        let _ = stage.wait_for(|stage| *stage >= node::Stage::Leave).await;
        tokio::time::sleep_until(self.timer(self.leave())).await;
    }

    /// The deadline of a call whose caller waits until `wish`.
    pub fn deadline(&self, wish: clock::Instant) -> clock::Instant {
        self.last.get().map_or(wish, |last| last.min(wish))
    }

    /// Whether a planned stop has begun.
    pub fn leaving(&self) -> bool {
        *self.stage.borrow() >= node::Stage::Leave
    }

    /// Whether new calls are refused.
    pub fn draining(&self) -> bool {
        *self.stage.borrow() >= node::Stage::Drain
    }

    /// The configuration in force.
    pub fn applied(&self) -> Arc<mesh::Applied> {
        Arc::clone(&self.applied.borrow())
    }

    /// The runtime's instant of `deadline`.
    pub fn timer(&self, deadline: clock::Instant) -> tokio::time::Instant {
        tokio::time::Instant::now() + deadline.since(self.ctx.now())
    }

    /// Wait suggested to a refused caller.
    pub fn pause(&self) -> time::Duration {
        time::Duration::from_millis(self.settings.proxy.retry_ms)
    }

    /// How much of a body may be held that may have `limit` bytes.
    pub fn bounds(&self, limit: u64) -> upload::Bounds<'_> {
        upload::Bounds { keep: self.settings.proxy.keep_bytes, limit, room: &self.room }
    }

    /// The load of the upstream beside this node, as others are to see it: the wait for the host's
    /// link counts as calls that wait as long for a slot.
    pub fn load(&self) -> admit::Load {
        let wait = inflow::link_time(&self.settings.proxy, self.inflow.ahead());
        self.slots.load().and_wait(wait)
    }

    /// Tells the attempt that `hold` stands for how the upstream's time compares with that of others.
    /// What an upstream fails may take any time.
    pub fn compare(
        &self,
        kind: &str,
        status: http::StatusCode,
        ran: order::Ran,
        hold: &mut guard::Hold,
    ) {
        // What a version that is tried takes says nothing of what is usual.
        let usual = |trip: &&mut trip::Trip| status.is_success() && !trip.is_tried();
        if let Some(trip) = hold.trip.as_mut().filter(usual) {
            trip.pace(self.paces.borrow_mut().note(kind, ran.0));
        }
    }

    /// What the end of an attempt for `kind` says of the version that it went to; `None` where the
    /// upstream had no part in it.
    pub fn evidence(
        &self,
        kind: &str,
        result: &Result<http::Response<body::Reply>, refuse::Refusal>,
    ) -> Option<versions::Result> {
        match result {
            Ok(answer) => {
                let ran = answer.extensions().get::<order::Ran>();
                let times = ran.map(|ran| ran.0).zip(self.paces.borrow().usual(kind));
                Some(versions::Result { failed: answer.status().is_server_error(), times })
            }
            Err(refusal) => match refusal.outcome {
                retry::Outcome::Unknown(
                    retry::Reason::Cut | retry::Reason::Malformed | retry::Reason::Timeout,
                ) => Some(versions::Result { failed: true, times: None }),
                _ => None,
            },
        }
    }

    /// A number that no other call of this process has. Its start is random, so that a process
    /// whose incarnation is not known yet doesn't repeat the numbers of the one before.
    pub fn number(&self) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        self.prefix.wrapping_add(number)
    }

    /// A new identity of a call.
    pub fn id(&self) -> header::HeaderValue {
        let text = format!("{:016x}", self.number());
        header::HeaderValue::from_str(&text)
            .unwrap_or_else(|_| header::HeaderValue::from_static("0"))
    }

    /// Runs `with` on the budget of extra attempts of `service`.
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

    /// Takes a configuration and a view into use, both at once.
    pub fn rebuild(&self, applied: Arc<mesh::Applied>, view: &view::View) {
        self.arrange(&applied.mesh, view);
        let names = |name: &SmolStr| applied.mesh.services.iter().any(|s| s.name == *name);
        self.budgets.borrow_mut().retain(|name, _| names(name));
        self.splitter.borrow_mut().retain(&applied.mesh);
        let kinds: collections::HashSet<&SmolStr> =
            applied.mesh.kinds.iter().map(|k| &k.name).collect();
        self.sizes.borrow_mut().retain(|kind| kinds.contains(kind));
        self.paces.borrow_mut().retain(|kind| kinds.contains(kind));
        self.applied.replace(applied);
        self.limit();
    }

    /// Looks at the orders of roll-outs again, as time passes and evidence comes in.
    pub fn look(&self, view: &view::View) {
        let applied = self.applied();
        self.arrange(&applied.mesh, view);
    }

    /// Sorts the upstreams of `view` by what orders of `mesh` allow.
    fn arrange(&self, mesh: &mesh::Mesh, view: &view::View) {
        let now = self.ctx.now();
        self.rollouts.update(mesh, view, now);
        self.rollouts.judge(self.local.borrow().as_ref().map(|local| &local.upstream));
        let mut picker = self.picker.borrow_mut();
        self.rollouts.with(|table| picker.rebuild_with(view, mesh, table, now));
    }

    /// Takes the limits of the upstream beside this node into use.
    pub fn limit(&self) {
        let local = self.local.borrow().clone();
        if let Some(local) = &local {
            self.greet(local);
        }
        let address = local.as_ref().map(|l| l.address);
        self.pool.tidy(address);
        self.slots.limit(local.as_ref().map_or_else(
            || admit::Limits { slots: 0, connections: 0, queue: 0 },
            |local| self.limits(&local.upstream),
        ));
        self.let_in(local.as_deref());
    }

    /// Forgets what was learned of the upstream seen last when `local` is another one, or the same in
    /// another life. Calls that ran in a life which has ended would hold their slots until their
    /// deadline; those of another instance, which may be leaving, go on.
    fn greet(&self, local: &node::LocalUpstream) {
        let now = (local.instance.clone(), local.upstream.incarnation);
        let Some((instance, life)) = self.seen.replace(Some(now)) else { return };
        if life == local.upstream.incarnation {
            return;
        }
        if instance == local.instance {
            self.pool.sever();
        }
        self.slots.restart();
    }

    /// Sends those who wait for an upstream that is leaving elsewhere, and lets calls in again for
    /// the next one.
    fn let_in(&self, local: Option<&node::LocalUpstream>) {
        let leaving = local.is_some_and(|l| l.upstream.phase == view::Phase::Draining);
        if leaving || self.draining() {
            self.slots.drain();
        } else {
            self.slots.resume();
        }
    }

    /// Where the upstream beside this node takes calls; `None` while there is none, or it is leaving.
    pub fn serving(&self) -> Option<net::SocketAddr> {
        let local = self.local.borrow();
        let local = local.as_ref().filter(|l| l.upstream.phase != view::Phase::Draining);
        local.map(|local| local.address)
    }

    /// The upstream beside this node has ended while requests with these fingerprints ran.
    pub fn ended(&self, prints: &[quarantine::Fingerprint]) {
        let local = self.local.borrow();
        let Some(local) = local.as_ref() else { return };
        self.trace.upstream_ended(&local.instance, local.upstream.incarnation, prints);
        self.suspects.ended(prints);
    }

    fn limits(&self, upstream: &view::Upstream) -> admit::Limits {
        let applied = self.applied.borrow();
        let service = applied.mesh.services.iter().find(|s| s.name == upstream.service);
        admit::Limits {
            slots: upstream.slots,
            connections: upstream.connections,
            queue: service.map_or(0, |s| s.queue),
        }
    }
}
