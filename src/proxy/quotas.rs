//! The limits of organisations on the call path: calls take credits, and a socket carries the
//! requests for them between entry nodes and holders.

use std::cell::RefCell;
use std::collections;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time;

use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::futures::OwnedNotified;

use crate::configs;
use crate::context;
use crate::host;
use crate::mesh;
use crate::proxy::error;
use crate::proxy::refuse;
use crate::quota;
use crate::quota::borrower;
use crate::quota::holder;
use crate::quota::roster;
use crate::quota::wire;
use crate::retry;
use crate::seal;
use crate::version;
use crate::view;

/// Delay after a failed receive, so that a socket that keeps failing does not occupy the thread.
const RECEIVE_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);

/// Credits and accounts of this node.
#[derive(Debug)]
struct Accounts {
    borrower: borrower::Borrower,
    holder: holder::Holder,
    roster: roster::Roster,
    tolerance: quota::Tolerance,
    /// Limits of the organisations in the configuration `version_id`; those without one are missing.
    limits: collections::HashMap<quota::OrganisationId, quota::Limit>,
    version_id: version::VersionId,
}

/// The limits of organisations, as far as this node enforces them.
pub struct Quotas {
    ctx: context::Context,
    seal: seal::Seal,
    accounts: RefCell<Accounts>,
    /// Notified when calls that wait for credits of an organisation can be decided again.
    waiters: RefCell<collections::HashMap<quota::OrganisationId, Arc<Notify>>>,
    counts: quota::Counts,
    /// `None` until the node has begun to serve.
    socket: RefCell<Option<Rc<UdpSocket>>>,
}

/// A credit that a call has used. It counts as spent unless it is given back.
#[derive(Debug)]
pub struct Spent {
    organisation: quota::OrganisationId,
    credit: borrower::Credit,
}

/// The decision on a call.
struct Decision {
    take: borrower::Take,
    /// Whether this host is the holder, so that a request for credits has been answered.
    holds: bool,
    /// Completes when the call can be decided again; `None` if it does not have to wait.
    answered: Option<OwnedNotified>,
}

/// A call that waits for a credit; dropped, it no longer waits.
struct Waiting<'a> {
    quotas: &'a Quotas,
    organisation: quota::OrganisationId,
    active: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.active {
            self.quotas.accounts.borrow_mut().borrower.leave(self.organisation);
        }
    }
}

impl Accounts {
    /// Applies the limits of a configuration.
    fn apply(&mut self, applied: &mesh::Applied) {
        let organisations = applied.mesh.organisations.iter();
        self.version_id = applied.version_id;
        self.limits = organisations.filter_map(|o| Some((o.id, o.limit?))).collect();
        let limits = &self.limits;
        self.borrower.retain(|id| limits.contains_key(&id));
        self.holder.retain(|id| limits.contains_key(&id));
    }
}

impl Quotas {
    /// The limits at the node on the host `me`, which knows no other host yet.
    pub fn new(
        ctx: context::Context,
        me: host::HostId,
        seal: seal::Seal,
        settings: &configs::quota::Quota,
        counts: quota::Counts,
    ) -> Self {
        let tolerance = quota::Tolerance::new(settings);
        let accounts = Accounts {
            borrower: borrower::Borrower::new(tolerance, ctx.seed_for("quota")),
            holder: holder::Holder::default(),
            roster: roster::Roster::new(me, ctx.now()),
            tolerance,
            limits: collections::HashMap::new(),
            version_id: version::VersionId::default(),
        };
        Self {
            ctx,
            seal,
            accounts: RefCell::new(accounts),
            waiters: RefCell::default(),
            counts,
            socket: RefCell::default(),
        }
    }

    /// Applies a configuration and a view of the mesh.
    pub fn update(&self, applied: &mesh::Applied, view: &view::View) {
        let mut accounts = self.accounts.borrow_mut();
        if accounts.version_id != applied.version_id {
            accounts.apply(applied);
            let limits = &accounts.limits;
            self.waiters.borrow_mut().retain(|id, _| limits.contains_key(id));
        }
        let Accounts { borrower, holder, roster, .. } = &mut *accounts;
        if roster.update(view, self.ctx.now()) {
            holder.update(roster);
            borrower.update();
            self.waiters.borrow().values().for_each(|waiter| waiter.notify_waiters());
        }
    }

    /// Takes a credit for a call of `organisation`; `None` if it has no limit.
    ///
    /// # Errors
    ///
    /// [`retry::Reason::OverLimit`] if the limit is reached.
    pub async fn take(
        &self,
        organisation: &mesh::Organisation,
    ) -> Result<Option<Spent>, refuse::Cause> {
        let Some(limit) = organisation.limit else { return Ok(None) };
        let id = organisation.id;
        let mut waiting = Waiting { quotas: self, organisation: id, active: false };
        loop {
            let Decision { take, holds, answered } = self.decide(id, limit, waiting.active);
            waiting.active = matches!(take, borrower::Take::Wait { .. });
            if waiting.active && holds {
                continue;
            }
            match take {
                borrower::Take::Allowed(credit) => {
                    self.counts.allowed.inc();
                    return Ok(Some(Spent { organisation: id, credit }));
                }
                borrower::Take::Unready => {
                    return Err(refuse::Cause::new(retry::Reason::NotReady));
                }
                borrower::Take::Refused { retry_after } => {
                    self.counts.refused.inc();
                    let cause = refuse::Cause::new(retry::Reason::OverLimit);
                    return Err(cause.retry_in(retry_after));
                }
                borrower::Take::Wait { until } => {
                    let end = tokio::time::Instant::now() + until.since(self.ctx.now());
                    if let Some(answered) = answered {
                        let _ = tokio::time::timeout_at(end, answered).await;
                    }
                }
            }
        }
    }

    /// Counts a call without a valid API key.
    pub fn record_unauthenticated(&self) {
        self.counts.unauthenticated.inc();
    }

    /// Takes back the credit of a call that certainly did not run.
    pub fn give_back(&self, spent: &Spent) {
        self.accounts.borrow_mut().borrower.give_back(spent.organisation, spent.credit);
    }

    /// Decides on a call, and sends the requests for credits that this causes.
    fn decide(&self, id: quota::OrganisationId, limit: quota::Limit, again: bool) -> Decision {
        let now = self.ctx.now();
        let mut out = Vec::new();
        let take = {
            let mut accounts = self.accounts.borrow_mut();
            let Accounts { borrower, roster, .. } = &mut *accounts;
            if again {
                borrower.again(id, roster, now, &mut out)
            } else {
                borrower.take(id, limit, roster, now, &mut out)
            }
        };
        // Registered before the request is sent, so that its answer is not missed.
        let answered = matches!(take, borrower::Take::Wait { .. }).then(|| {
            let mut waiters = self.waiters.borrow_mut();
            Arc::clone(waiters.entry(id).or_default()).notified_owned()
        });
        let mut holds = false;
        for outgoing in &out {
            holds |= self.send_ask(outgoing);
        }
        Decision { take, holds, answered }
    }

    /// Sends a request to a holder, or answers it if this host is the holder, and returns whether it
    /// is.
    fn send_ask(&self, outgoing: &borrower::Outgoing) -> bool {
        let (to, ask) = (outgoing.to, outgoing.ask);
        let me = self.accounts.borrow().roster.me();
        if to != me {
            self.counts.asked.inc();
            self.send(to, wire::Message::Ask(ask));
            return false;
        }
        if let Some(reply) = self.answer(me, &ask) {
            self.handle_reply(&reply);
        }
        true
    }

    /// Answers the request of the node on `from`.
    fn answer(&self, from: host::HostId, ask: &wire::Ask) -> Option<wire::Reply> {
        let now = self.ctx.now();
        let mut accounts = self.accounts.borrow_mut();
        let Accounts { holder, roster, tolerance, limits, .. } = &mut *accounts;
        let limit = limits.get(&ask.organisation).copied();
        let verdict = holder.ask(from, ask, limit, (roster, tolerance), now)?;
        let wire::Ask { session, number, organisation, .. } = *ask;
        Some(wire::Reply { session, number, organisation, verdict })
    }

    fn handle_reply(&self, reply: &wire::Reply) {
        let now = self.ctx.now();
        if !self.accounts.borrow_mut().borrower.reply(reply, now) {
            return;
        }
        if let Some(waiter) = self.waiters.borrow().get(&reply.organisation) {
            waiter.notify_waiters();
        }
    }

    /// Sends a message without waiting; a lost one is sent again by the entry node.
    fn send(&self, to: host::HostId, message: wire::Message) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let sent = message
            .encode(&self.seal)
            .map_err(io::Error::other)
            .and_then(|datagram| socket.try_send_to(&datagram, to.inner_addr()));
        if let Err(error) = sent {
            log::debug!("can't send a quota message to {to}: {error}");
        }
    }

    /// Opens the socket for quota messages on the host `bound`.
    ///
    /// # Errors
    ///
    /// The address is in use or does not belong to this host.
    pub async fn open(&self, bound: host::HostId) -> Result<(), error::Error> {
        let address = bound.inner_addr();
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|source| error::Error::Listen { address, source })?;
        self.socket.replace(Some(Rc::new(socket)));
        Ok(())
    }

    /// Handles the messages of other nodes.
    pub async fn run(self: Rc<Self>) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let mut buffer = [0; wire::MAX_BYTES];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, from)) => {
                    let from = host::HostId::from_inner_addr(from);
                    self.receive(&buffer[..length], from);
                }
                Err(error) => {
                    log::debug!("can't receive a quota message: {error}");
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }

    fn receive(&self, datagram: &[u8], from: host::HostId) {
        match wire::Message::decode(datagram, &self.seal) {
            Ok(wire::Message::Ask(ask)) => {
                if let Some(reply) = self.answer(from, &ask) {
                    self.counts.answered.inc();
                    self.send(from, wire::Message::Reply(reply));
                }
            }
            Ok(wire::Message::Reply(reply)) => self.handle_reply(&reply),
            Err(error) => log::debug!("ignored a datagram of {from}: {error}"),
        }
    }
}
