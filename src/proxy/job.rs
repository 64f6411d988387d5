//! A caller's call at its entry, and its attempts.

use std::rc::Rc;
use std::sync::Arc;
use std::time;

use http::header;
use hyper::body::Body as _;

use crate::claim;
use crate::clock;
use crate::host;
use crate::mesh;
use crate::pick;
use crate::proxy::ask;
use crate::proxy::body;
use crate::proxy::guard;
use crate::proxy::headers;
use crate::proxy::inflow;
use crate::proxy::inner;
use crate::proxy::order;
use crate::proxy::owner;
use crate::proxy::refuse;
use crate::proxy::state;
use crate::proxy::trace;
use crate::proxy::upload;
use crate::proxy::wire;
use crate::quarantine;
use crate::retry;
use crate::rollout;

/// Time an owner's last word may come after the deadline: it knows whether the call ran.
const LAST_WORD: time::Duration = time::Duration::from_millis(5);

/// A call at its entry.
#[derive(Debug)]
pub struct Job {
    /// What the caller asked.
    pub ask: ask::Ask,
    /// Its body.
    pub intake: upload::Intake,
    /// Configuration in force when it came.
    pub applied: Arc<mesh::Applied>,
    /// Its route in that configuration.
    pub route: mesh::RouteKey,
    /// The service that serves it, one of those the route allows.
    pub service: mesh::ServiceKey,
    /// Whether a call that runs at the upstream beside this node makes it.
    pub inner: bool,
    /// Until when an answer has its full worth.
    pub target: clock::Instant,
    /// When the caller gives up.
    pub deadline: clock::Instant,
}

/// An attempt that failed.
struct Failed {
    refusal: refuse::Refusal,
    /// `None` when no host was picked.
    host: Option<host::HostId>,
}

impl Job {
    fn route(&self) -> &mesh::Route {
        self.applied.mesh.route(self.route)
    }

    /// Kind of the call.
    pub fn kind(&self) -> &mesh::Kind {
        self.applied.mesh.kind(self.route().kind)
    }

    /// Service of the call.
    pub fn service(&self) -> &mesh::Service {
        self.applied.mesh.service(self.service)
    }

    fn class(&self) -> Option<&mesh::Class> {
        let class = self.route().class.filter(|_| self.route().split.is_empty());
        class.map(|c| self.applied.mesh.class(c))
    }

    /// What to pick for `side`, in the keys of the configuration that the picker's table was built
    /// from. `None` when a newer configuration no longer has it.
    fn target(
        &self,
        current: &Arc<mesh::Applied>,
        side: rollout::VersionGroup,
    ) -> Option<pick::Target> {
        if Arc::ptr_eq(&self.applied, current) {
            let class = self.class().and(self.route().class);
            return Some(pick::Target { service: self.service, class, group: side });
        }
        let mesh = &current.mesh;
        let service = mesh.services.iter().position(|s| s.name == self.service().name)?;
        let class = match self.class() {
            None => None,
            Some(class) => Some(mesh.classes.iter().position(|c| c.name == class.name)?),
        };
        let key = |index: usize| u16::try_from(index).ok();
        Some(pick::Target {
            service: mesh::ServiceKey(key(service)?),
            class: class.and_then(key).map(mesh::ClassKey),
            group: side,
        })
    }

    fn order(&self) -> order::Order<'_> {
        order::Order {
            service: &self.service().name,
            class: self.class().map(|c| c.name.as_str()),
            kind: &self.kind().name,
            weight: rank(self.kind()),
            inner: self.inner,
            target: self.target,
            deadline: self.deadline,
        }
    }

    /// The fingerprint of the call's request, as its upstream's node makes it.
    fn print(&self, printer: &quarantine::Fingerprinter) -> quarantine::Fingerprint {
        let ask = &self.ask;
        let host = ask.host.as_ref().map_or("", http::uri::Authority::as_str);
        let body = self.intake.attempt();
        printer.fingerprint(ask.method.as_str(), host, ask.path.as_str(), body.print())
    }

    /// The request of attempt number `attempt`.
    fn request(&self, attempt: u8, verbose: bool) -> http::Request<upload::Upload> {
        let mut request = http::Request::new(self.intake.attempt());
        *request.method_mut() = self.ask.method.clone();
        *request.uri_mut() = http::Uri::from(self.ask.path.clone());
        let mut map = self.ask.headers.clone();
        if verbose {
            let attempt = u16::from(attempt.max(self.ask.outer));
            map.insert(headers::ATTEMPT, header::HeaderValue::from(attempt));
            let depth = u16::from(self.ask.depth.saturating_add(1));
            map.insert(headers::DEPTH, header::HeaderValue::from(depth));
        }
        *request.headers_mut() = map;
        request
    }
}

/// Weight of a call of `kind` in the owner's queue: the more urgent kinds first, and among kinds of
/// one priority the heavier ones.
fn rank(kind: &mesh::Kind) -> u32 {
    /// Bits for the weight within one priority; the largest weight of a configuration fits.
    const WEIGHT_BITS: u32 = 20;
    let urgency = u32::from(u8::MAX - kind.priority);
    (urgency << WEIGHT_BITS) | kind.weight.min((1 << WEIGHT_BITS) - 1)
}

/// Makes attempts until one is answered or nothing else may be tried.
///
/// # Errors
///
/// The last attempt's refusal.
pub async fn run<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    job: &Job,
    mut hold: guard::Hold,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let mut avoid = Vec::new();
    let mut attempt = 1;
    let mut before = None;
    let mut doubt = None;
    loop {
        let mut failed = match once(state, job, attempt, &avoid, &mut hold).await {
            Ok(answer) => {
                // What is allowed at a service is a share of callers' calls; those of running calls may be
                // three times as many and would let it be called again beyond that.
                if !job.inner {
                    state.budget(job.service(), retry::Budget::record_served);
                }
                return Ok(answer);
            }
            Err(failed) => failed,
        };
        if failed.host.is_none() {
            // That nobody else is left tells less than why the attempt before failed.
            failed.refusal = before.unwrap_or(failed.refusal);
        }
        doubt = doubt.or(uncertain(failed.refusal.outcome));
        let decision = decide(state, job, attempt, &failed);
        tell(state, job, attempt, &failed, &decision);
        match decision {
            retry::Decision::Again { avoid: host } => avoid.extend(host),
            retry::Decision::Final { outcome, retry_after } => {
                // A last attempt that did not run says nothing of one before it that may have.
                let outcome = doubt.map_or(outcome, retry::Outcome::Unknown);
                if let Some(count) = hold.count.take() {
                    count.ended(outcome);
                }
                return Err(refuse::Refusal::new(outcome, retry_after));
            }
        }
        before = Some(failed.refusal);
        attempt += 1;
    }
}

/// Why nobody can say whether an attempt ran, if that is so.
const fn uncertain(outcome: retry::Outcome) -> Option<retry::Reason> {
    match outcome {
        retry::Outcome::Unknown(reason) => Some(reason),
        retry::Outcome::NotRun(_) | retry::Outcome::Ran => None,
    }
}

fn decide<C: claim::Claims>(
    state: &state::State<C>,
    job: &Job,
    attempt: u8,
    failed: &Failed,
) -> retry::Decision {
    let call = retry::Call {
        idempotent: job.kind().idempotent,
        attempt,
        max_attempts: job.kind().attempts.unwrap_or(state.settings.call.attempts),
        depth: job.ask.depth.max(u8::from(job.inner)),
        outer_attempt: job.ask.outer,
        deadline: job.deadline,
        answered_bytes: 0,
        buffered: job.intake.repeats(),
        host: failed.host,
        retry_after: failed.refusal.retry_after,
    };
    let now = state.ctx.now();
    state.budget(job.service(), |budget| retry::decide(&call, failed.refusal.outcome, budget, now))
}

/// Logs an attempt that failed and what follows from it.
fn tell<C: claim::Claims>(
    state: &state::State<C>,
    job: &Job,
    number: u8,
    failed: &Failed,
    decision: &retry::Decision,
) {
    let now = state.ctx.now();
    let attempt = trace::Attempt {
        id: &job.ask.id,
        route: &job.route().name,
        service: &job.service().name,
        host: failed.host,
        number,
        outcome: failed.refusal.outcome,
        again: matches!(decision, retry::Decision::Again { .. }),
        inner: job.inner,
        left: job.deadline.since(now),
    };
    state.trace.attempt(&attempt, now);
}

/// Makes one attempt.
async fn once<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    job: &Job,
    attempt: u8,
    avoid: &[host::HostId],
    hold: &mut guard::Hold,
) -> Result<http::Response<body::Reply>, Failed> {
    // Before each attempt: a request that ends upstreams would be carried from one to the next.
    let check = state.suspects.check_entry(|| job.print(&state.printer));
    check.map_err(|refusal| Failed { refusal, host: None })?;
    let toll = toll(state, job);
    let Some(choice) = choose(state, job, toll, avoid) else {
        let refusal = refuse::Refusal::not_run(retry::Reason::NoUpstream);
        return Err(Failed { refusal, host: None });
    };
    hold.start(state.ctx, &state.picker, choice);
    let mut request = job.request(attempt, state.dialect.verbose);
    let result = if choice.host == state.me {
        inner::name_host(&mut request, job.ask.host.as_ref());
        owner::run(state, &job.order(), request, hold).await
    } else {
        remote(state, job, choice.host, request, hold).await
    };
    note(state, job, choice.target.group, &result);
    if let Ok(answer) = &result {
        let bytes = answer.body().size_hint();
        let bytes = bytes.exact().unwrap_or(bytes.lower());
        state.sizes.borrow_mut().note(&job.kind().name, bytes);
    }
    result.map_err(|mut refusal| {
        refusal.outcome = truth(hold.failed(refusal.outcome), job.intake.fault());
        Failed { refusal, host: Some(choice.host) }
    })
}

/// The upstream for an attempt, of the versions whose turn it is.
fn choose<C: claim::Claims>(
    state: &state::State<C>,
    job: &Job,
    toll: pick::TransferCost,
    avoid: &[host::HostId],
) -> Option<pick::Choice> {
    let (now, service) = (state.ctx.now(), &job.service().name);
    let current = state.applied();
    let pick = |side| {
        let target = job.target(&current, side)?;
        state.picker.borrow_mut().pick_with_cost(target, toll, now, avoid)
    };
    let side = state.rollouts.next(service, now);
    pick(side).or_else(|| pick(state.rollouts.instead(service, side)?))
}

/// Notes what the old version of a service answered while the service is moved to a new one.
fn note<C: claim::Claims>(
    state: &state::State<C>,
    job: &Job,
    side: rollout::VersionGroup,
    result: &Result<http::Response<body::Reply>, refuse::Refusal>,
) {
    if side != rollout::VersionGroup::Old {
        return;
    }
    if let Some(result) = state.evidence(&job.kind().name, result) {
        state.rollouts.note_old(&job.service().name, result);
    }
}

/// What the call costs on its way.
fn toll<C: claim::Claims>(state: &state::State<C>, job: &Job) -> pick::TransferCost {
    let cheap = u64::from(state.settings.call.cross_bytes);
    let bytes = job.intake.bytes() + state.sizes.borrow().expect(&job.kind().name);
    let cross = if cheap == 0 { 0.0 } else { bytes as f32 / cheap as f32 };
    let link = inflow::link_time(&state.settings.proxy, bytes);
    pick::TransferCost { cross_zone: cross, link_us: link, inner: job.inner }
}

/// A body that ended early is the reason for whatever followed from it.
fn truth(outcome: retry::Outcome, fault: Option<retry::Reason>) -> retry::Outcome {
    match (outcome, fault) {
        (retry::Outcome::Unknown(_), Some(fault)) => retry::Outcome::Unknown(fault),
        _ => outcome,
    }
}

/// Makes an attempt at the upstream of another node.
async fn remote<C: claim::Claims>(
    state: &state::State<C>,
    job: &Job,
    host: host::HostId,
    mut request: http::Request<upload::Upload>,
    hold: &mut guard::Hold,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    inner::address(&mut request, job.ask.host.as_ref(), &job.order(), state.ctx.now())?;
    let end = state.timer(job.deadline) + LAST_WORD;
    let answer = inner::call(&state.links, host, request, end).await;
    if let Some(trip) = hold.trip.as_mut() {
        trip.load(answer.load);
    }
    let (mut parts, incoming) = answer.result?.into_parts();
    if let Some(ran) = answer.ran {
        parts.extensions.insert(ran);
        state.compare(&job.kind().name, parts.status, ran, hold);
    }
    hold.head(parts.status, answer.load);
    let wire = wire::Wire::new(incoming, wire::Carrier::Inner);
    let reply = body::Reply::read(wire, state.settings.proxy.whole_bytes, end, hold).await?;
    Ok(http::Response::from_parts(parts, reply))
}
