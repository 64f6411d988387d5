//! The ways to hold a limit that are compared, as nodes of the model.

use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::clock;
use crate::host;
use crate::quota;
use crate::quota::borrower;
use crate::quota::holder;
use crate::quota::roster;
use crate::quota::wire;
use crate::seal;
use crate::token_bucket;
use crate::view;

/// What all nodes of a run have in common.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The hosts, by index.
    pub hosts: Vec<host::HostId>,
    /// What is tolerated.
    pub tolerance: quota::Tolerance,
}

/// Messages to send, each with the index of its recipient.
pub type Outbox<M> = Vec<(usize, M)>;

/// One node.
pub trait Node {
    /// What nodes send each other.
    type Message: Copy;

    /// The node of index `me`, which has just started.
    fn start(me: usize, setup: &Setup, limit: quota::Limit, now: clock::Instant, seed: u64)
    -> Self;

    /// Applies a view of the mesh.
    fn see(&mut self, view: &view::View, now: clock::Instant);

    /// Sets the limit.
    fn set_limit(&mut self, limit: quota::Limit, now: clock::Instant);

    /// Decides on a call, again if it had to wait.
    fn take(
        &mut self,
        again: bool,
        now: clock::Instant,
        out: &mut Outbox<Self::Message>,
    ) -> borrower::Take;

    /// Receives a message; `true` if calls that wait can be decided again.
    fn receive(
        &mut self,
        from: usize,
        message: Self::Message,
        now: clock::Instant,
        out: &mut Outbox<Self::Message>,
    ) -> bool;

    /// Called every [`TICK`].
    fn tick(&mut self, now: clock::Instant, out: &mut Outbox<Self::Message>);

    /// Size of a message, in bytes.
    fn size(message: &Self::Message) -> usize;
}

/// Time between two calls of [`Node::tick`].
pub const TICK: time::Duration = time::Duration::from_millis(100);

/// Each node has an equal share of the limit.
pub struct Fixed {
    bucket: token_bucket::Bucket,
    share: f64,
}

impl Node for Fixed {
    type Message = ();

    fn start(
        _me: usize,
        setup: &Setup,
        limit: quota::Limit,
        now: clock::Instant,
        seed: u64,
    ) -> Self {
        let share = 1.0 / setup.hosts.len() as f64;
        let start = rngs::SmallRng::seed_from_u64(seed).random_range(0.0..1.0);
        Self { bucket: token_bucket::Bucket::new(limit, share, start, now), share }
    }

    fn see(&mut self, _view: &view::View, _now: clock::Instant) {}

    fn set_limit(&mut self, limit: quota::Limit, now: clock::Instant) {
        self.bucket.set_limit(limit, self.share, now);
    }

    fn take(&mut self, _again: bool, now: clock::Instant, _out: &mut Outbox<()>) -> borrower::Take {
        decide(&mut self.bucket, now)
    }

    fn receive(
        &mut self,
        _from: usize,
        (): (),
        _now: clock::Instant,
        _out: &mut Outbox<()>,
    ) -> bool {
        false
    }

    fn tick(&mut self, _now: clock::Instant, _out: &mut Outbox<()>) {}

    fn size(_message: &()) -> usize {
        0
    }
}

/// Decides on a call by a bucket of this node alone.
fn decide(bucket: &mut token_bucket::Bucket, now: clock::Instant) -> borrower::Take {
    if bucket.take(1, now) == 1 {
        borrower::Take::Allowed(borrower::Credit::OWN)
    } else {
        borrower::Take::Refused { retry_after: bucket.book(1, now) }
    }
}

/// A count that a node sends to others.
#[derive(Clone, Copy, Debug)]
pub struct Count {
    node: usize,
    /// Calls allowed since the node started.
    total: u64,
    /// Hops that the count may still take.
    hops: u8,
}

/// Every node sends its count to a few others, which pass it on; each takes the calls of the others
/// out of its bucket when it learns of them.
pub struct Gossip {
    me: usize,
    bucket: token_bucket::Bucket,
    own: u64,
    sent: u64,
    totals: Vec<u64>,
    rng: rngs::SmallRng,
}

impl Gossip {
    /// Nodes to which each count is sent and passed on.
    const FANOUT: usize = 4;

    /// Hops of a count: it reaches most of a thousand nodes.
    const HOPS: u8 = 5;

    /// Bytes of a count with its organisation, beside others in one datagram.
    const BYTES: usize = 14;

    fn spread(&mut self, count: Count, out: &mut Outbox<Count>) {
        for _ in 0..Self::FANOUT {
            out.push((self.rng.random_range(0..self.totals.len()), count));
        }
    }
}

impl Node for Gossip {
    type Message = Count;

    fn start(
        me: usize,
        setup: &Setup,
        limit: quota::Limit,
        now: clock::Instant,
        seed: u64,
    ) -> Self {
        Self {
            me,
            bucket: token_bucket::Bucket::new(limit, 1.0, limit.burst, now),
            own: 0,
            sent: 0,
            totals: vec![0; setup.hosts.len()],
            rng: rngs::SmallRng::seed_from_u64(seed),
        }
    }

    fn see(&mut self, _view: &view::View, _now: clock::Instant) {}

    fn set_limit(&mut self, limit: quota::Limit, now: clock::Instant) {
        self.bucket.set_limit(limit, 1.0, now);
    }

    fn take(
        &mut self,
        _again: bool,
        now: clock::Instant,
        _out: &mut Outbox<Count>,
    ) -> borrower::Take {
        let take = decide(&mut self.bucket, now);
        self.own += u64::from(matches!(take, borrower::Take::Allowed(_)));
        take
    }

    fn receive(
        &mut self,
        _from: usize,
        count: Count,
        now: clock::Instant,
        out: &mut Outbox<Count>,
    ) -> bool {
        let known = self.totals[count.node];
        if count.node == self.me || count.total <= known {
            return false;
        }
        self.totals[count.node] = count.total;
        let more = u16::try_from(count.total - known).unwrap_or(u16::MAX);
        self.bucket.take(more, now);
        if count.hops > 0 {
            self.spread(Count { hops: count.hops - 1, ..count }, out);
        }
        false
    }

    fn tick(&mut self, _now: clock::Instant, out: &mut Outbox<Count>) {
        if self.own > self.sent {
            self.sent = self.own;
            self.spread(Count { node: self.me, total: self.own, hops: Self::HOPS }, out);
        }
    }

    fn size(_message: &Count) -> usize {
        Self::BYTES
    }
}

/// The product's own decisions.
pub struct Lent {
    hosts: Vec<host::HostId>,
    organisation: quota::OrganisationId,
    limit: quota::Limit,
    tolerance: quota::Tolerance,
    borrower: borrower::Borrower,
    holder: holder::Holder,
    roster: roster::Roster,
}

impl Lent {
    /// Sends the requests of `asks`, or answers them if this node is the holder.
    fn send(
        &mut self,
        asks: Vec<borrower::Outgoing>,
        now: clock::Instant,
        out: &mut Outbox<wire::Message>,
    ) -> bool {
        let mut answered = false;
        for borrower::Outgoing { to, ask } in asks {
            if to != self.roster.me() {
                out.push((self.index(to), wire::Message::Ask(ask)));
            } else if let Some(reply) = self.answer(to, &ask, now) {
                answered |= self.borrower.reply(&reply, now);
            }
        }
        answered
    }

    fn answer(
        &mut self,
        from: host::HostId,
        ask: &wire::Ask,
        now: clock::Instant,
    ) -> Option<wire::Reply> {
        let wire::Ask { session, number, organisation, .. } = *ask;
        let around = (&self.roster, &self.tolerance);
        let verdict = self.holder.ask(from, ask, Some(self.limit), around, now)?;
        Some(wire::Reply { session, number, organisation, verdict })
    }

    fn index(&self, host: host::HostId) -> usize {
        self.hosts.binary_search(&host).unwrap_or_default()
    }
}

impl Node for Lent {
    type Message = wire::Message;

    fn start(
        me: usize,
        setup: &Setup,
        limit: quota::Limit,
        now: clock::Instant,
        seed: u64,
    ) -> Self {
        Self {
            hosts: setup.hosts.clone(),
            organisation: quota::OrganisationId::of("organisation"),
            limit,
            tolerance: setup.tolerance,
            borrower: borrower::Borrower::new(setup.tolerance, seed),
            holder: holder::Holder::default(),
            roster: roster::Roster::new(setup.hosts[me], now),
        }
    }

    fn see(&mut self, view: &view::View, now: clock::Instant) {
        if self.roster.update(view, now) {
            self.holder.update(&self.roster);
            self.borrower.update();
        }
    }

    fn set_limit(&mut self, limit: quota::Limit, _now: clock::Instant) {
        self.limit = limit;
    }

    fn take(
        &mut self,
        again: bool,
        now: clock::Instant,
        out: &mut Outbox<wire::Message>,
    ) -> borrower::Take {
        let mut again = again;
        loop {
            let mut asks = Vec::new();
            let take = if again {
                self.borrower.again(self.organisation, &self.roster, now, &mut asks)
            } else {
                let (id, limit) = (self.organisation, self.limit);
                self.borrower.take(id, limit, &self.roster, now, &mut asks)
            };
            let answered = self.send(asks, now, out);
            if !(answered && matches!(take, borrower::Take::Wait { .. })) {
                return take;
            }
            again = true;
        }
    }

    fn receive(
        &mut self,
        from: usize,
        message: wire::Message,
        now: clock::Instant,
        out: &mut Outbox<wire::Message>,
    ) -> bool {
        match message {
            wire::Message::Ask(ask) => {
                let reply = self.answer(self.hosts[from], &ask, now);
                out.extend(reply.map(|reply| (from, wire::Message::Reply(reply))));
                false
            }
            wire::Message::Reply(reply) => self.borrower.reply(&reply, now),
        }
    }

    fn tick(&mut self, _now: clock::Instant, _out: &mut Outbox<wire::Message>) {}

    fn size(message: &wire::Message) -> usize {
        let bytes = postcard::to_allocvec(message).map_or(0, |bytes| bytes.len());
        bytes + seal::TAG_BYTES
    }
}
