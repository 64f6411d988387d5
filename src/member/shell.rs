//! The membership duty: runs the state machine with its socket, the clock and its channels.

use std::future;
use std::io;
use std::sync::Arc;

use tokio::net;
use tokio::sync::{oneshot, watch};
use tokio::time;

use crate::clock;
use crate::clock::Clock as _;
use crate::configs;
use crate::context;
use crate::host;
use crate::leave;
use crate::member;
use crate::member::directory;
use crate::member::directory::search;
use crate::member::wire;
use crate::mesh;
use crate::node;
use crate::quarantine;
use crate::ring;
use crate::seal;
use crate::traffic;
use crate::version;
use crate::view;

/// Shortest time between two published views; changes in between are published together. A change
/// of this host's standing is published at once.
const PUBLISH_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);

/// Channels between the membership duty and the other duties.
#[derive(Debug)]
pub struct Wiring {
    /// Configuration this node runs; every ping and ack carries its version.
    pub applied: watch::Receiver<Arc<mesh::Applied>>,
    /// The published view of the hosts.
    pub view: watch::Sender<Arc<view::View>>,
    /// To the distribution duty: peers that run another configuration. When the ring is full, a
    /// mismatch is dropped, since the next ping reports it again.
    pub mismatches: ring::Sender<member::VersionMismatch>,
    /// The upstream beside this node.
    pub local: watch::Receiver<Option<Arc<node::LocalUpstream>>>,
    /// Reports of crashes and answers, and the published quarantine entries.
    pub quarantine: quarantine::MemberSide,
    /// Leavings that the operators' port acknowledges, and what is known of them.
    pub leaves: leave::MemberSide,
    /// Stage of the process; at [`node::Stage::End`] the duty leaves the mesh and ends.
    pub stage: watch::Receiver<node::Stage>,
    /// Counters of control traffic.
    pub traffic: Arc<traffic::Traffic>,
}

/// Runs the duty until the stage is [`node::Stage::End`].
///
/// # Errors
///
/// Fails when the socket can't be bound.
pub async fn run<D: directory::Directory>(
    ctx: context::Context,
    settings: Arc<configs::Node>,
    directory: D,
    mut wiring: Wiring,
) -> Result<(), member::Error> {
    let address = settings.bound().member_addr();
    let bound = net::UdpSocket::bind(address).await;
    let socket = bound.map_err(|source| member::Error::Bind { address, source })?;
    let incarnation = ctx.clock.unix_millis();
    let seed = ctx.seed_for("member");
    let host = settings.host();
    let mut member = member::Member::new(&settings, seed, incarnation, ctx.now());
    if directory.is_shared() {
        member.await_directory();
    }
    let own = search::LocalHost {
        host,
        incarnation,
        locality: view::Locality { region: settings.region.clone(), zone: settings.zone.clone() },
        local: wiring.local.clone(),
        applied: wiring.applied.clone(),
        leaves: wiring.leaves.known.subscribe(),
        listed_leaves: Vec::new(),
        kept_leaves: std::mem::take(&mut wiring.leaves.kept),
    };
    let local = wiring.local.clone();
    let duty = Duty {
        seal: seal::Seal::new(&settings.mesh, &settings.key),
        member,
        search: search::Search::start(directory.clone(), own, &settings.member),
        published: clock::Instant::ZERO,
        buffer: vec![0; wire::MAX_BYTES + 1],
        told: None,
        ctx,
        socket,
        wiring,
    };
    duty.run().await;
    if !is_serving(&local) {
        search::deregister(&directory, host).await;
    }
    Ok(())
}

/// Whether the upstream is not draining, so that its node is about to restart. Such a node stays
/// registered, which saves two requests for each node when all nodes are restarted in turn.
fn is_serving(local: &watch::Receiver<Option<Arc<node::LocalUpstream>>>) -> bool {
    let local = local.borrow();
    local.as_ref().is_some_and(|local| local.upstream.phase != view::Phase::Draining)
}

/// The running duty.
struct Duty {
    ctx: context::Context,
    seal: seal::Seal,
    socket: net::UdpSocket,
    wiring: Wiring,
    member: member::Member,
    search: search::Search,
    /// When the view was last published.
    published: clock::Instant,
    buffer: Vec<u8>,
    /// Whom to tell that the first hosts were told of the leaving that is being handled.
    told: Option<oneshot::Sender<()>>,
}

impl Duty {
    async fn run(mut self) {
        self.publish();
        let (version_id, upstream) = (self.version_id(), self.upstream());
        self.handle(member::Event::Applied(version_id)).await;
        self.handle(member::Event::Local(upstream)).await;
        while *self.wiring.stage.borrow() != node::Stage::End {
            let event = self.next().await;
            self.handle(event).await;
        }
        self.handle(member::Event::Stage(node::Stage::End)).await;
    }

    /// Waits for the next event.
    async fn next(&mut self) -> member::Event {
        let timer = time::sleep(self.wake().since(self.ctx.now()));
        let wiring = &mut self.wiring;
        tokio::select! {
            stage = wiring.stage.changed() => member::Event::Stage(match stage {
                Ok(()) => *wiring.stage.borrow_and_update(),
                // The sender is gone: the process ends.
                Err(_) => node::Stage::End,
            }),
            () = changed(&mut wiring.applied) => member::Event::Applied(self.version_id()),
            () = changed(&mut wiring.local) => member::Event::Local(self.upstream()),
            hosts = self.search.next() => member::Event::Listed(hosts),
            Some(report) = wiring.quarantine.reports.recv() => member::Event::Report(report),
            Some(report) = wiring.leaves.reports.recv() => {
                self.told = Some(report.told);
                member::Event::Left(report.leave)
            }
            received = self.socket.recv_from(&mut self.buffer) => self.read(received),
            () = timer => member::Event::Tick,
        }
    }

    /// The latest time at which the next tick is due.
    fn wake(&self) -> clock::Instant {
        let wake = self.member.wake();
        let due = self.published + PUBLISH_INTERVAL;
        if self.member.has_changed() { wake.min(due) } else { wake }
    }

    fn read(&self, received: io::Result<(usize, std::net::SocketAddr)>) -> member::Event {
        let counts = self.wiring.traffic.of(traffic::Purpose::Member);
        let message = match &received {
            Ok((bytes, _)) => self.buffer.get(..*bytes).unwrap_or_default(),
            Err(e) => {
                log::warn!(error:% = e; "can't receive a membership datagram");
                return member::Event::Tick;
            }
        };
        counts.received(message.len());
        match open(&self.seal, message) {
            Some(datagram) => member::Event::Datagram(Box::new(datagram)),
            None => {
                counts.dropped();
                member::Event::Tick
            }
        }
    }

    async fn handle(&mut self, event: member::Event) {
        let standing = self.member.standing();
        for action in self.member.handle(event, self.ctx.now()) {
            match action {
                // The ring counts what it drops when it is full; the next ping reports it again.
                member::Action::VersionMismatch(peer) => drop(self.wiring.mismatches.offer(peer)),
                member::Action::Send { to, datagram } => self.send(to, &datagram).await,
            }
        }
        if let Some(told) = self.told.take() {
            // The operators' port may have given up.
            let _ = told.send(());
        }
        if let Some(leaves) = self.member.take_own_leaves() {
            self.wiring.leaves.known.send_replace(leaves.into());
        }
        if self.member.quarantine_changed() {
            self.wiring
                .quarantine
                .snapshot
                .send_replace(Arc::new(self.member.quarantine_snapshot()));
        }
        let due = self.ctx.now().since(self.published) >= PUBLISH_INTERVAL;
        let standing_changed = self.member.standing() != standing;
        if standing_changed || (due && self.member.has_changed()) {
            self.publish();
        }
    }

    async fn send(&self, to: host::HostId, datagram: &wire::Datagram) {
        let counts = self.wiring.traffic.of(traffic::Purpose::Member);
        let Ok(body) = wire::encode(datagram) else { return };
        let message = self.seal.seal(&body);
        match self.socket.send_to(&message, to.member_addr()).await {
            Ok(bytes) => counts.sent(bytes),
            Err(e) => log::debug!(host:% = to, error:% = e; "can't send a membership datagram"),
        }
    }

    fn publish(&mut self) {
        self.published = self.ctx.now();
        self.wiring.view.send_replace(Arc::new(self.member.view()));
    }

    fn version_id(&mut self) -> version::VersionId {
        self.wiring.applied.borrow_and_update().version_id
    }

    fn upstream(&mut self) -> Option<Arc<view::Upstream>> {
        let local = self.wiring.local.borrow_and_update();
        local.as_ref().map(|local| Arc::new(local.upstream.clone()))
    }
}

/// Opens and decodes `message`; `None` when it is too long, is not of this mesh or is malformed.
fn open(seal: &seal::Seal, message: &[u8]) -> Option<wire::Datagram> {
    if message.len() > wire::MAX_BYTES {
        return None;
    }
    wire::decode(seal.open(message).ok()?).ok()
}

/// Waits for a new value; never returns once the sender is gone.
async fn changed<T>(receiver: &mut watch::Receiver<T>) {
    if receiver.changed().await.is_err() {
        future::pending().await
    }
}
