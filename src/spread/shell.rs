//! The distribution duty: connects the state machine of `decision` to sockets, the log, the clock
//! and the rings of other duties.

use std::collections;
use std::future;
use std::sync::Arc;
use std::time;

use prometheus_client::metrics::gauge;
use tokio::net;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task;

use crate::clock;
use crate::configs;
use crate::context;
use crate::host;
use crate::logs;
use crate::member;
use crate::mesh;
use crate::node;
use crate::ring;
use crate::spread;
use crate::spread::decision;
use crate::spread::message;
use crate::spread::read_schedule;
use crate::spread::transfer;
use crate::spread::wire;
use crate::traffic;
use crate::view;

/// Largest number of queued events from the duty's own tasks; when the queue is full, tasks wait.
const MAX_PENDING_EVENTS: usize = 64;

/// Largest number of open connections to this node; further ones are closed.
const MAX_CONNECTIONS: usize = 64;

/// Largest number of records in one read of the log.
const MAX_READ_RECORDS: u32 = 64;

/// Largest datagram received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Channels between the distribution duty and the other duties.
#[derive(Debug)]
pub struct Wiring<L> {
    /// Receives the complete configuration that this node runs.
    pub applied: watch::Sender<Arc<mesh::Applied>>,
    /// The known hosts.
    pub view: watch::Receiver<Arc<view::View>>,
    /// From the membership duty: peers that run another version.
    pub mismatches: ring::Receiver<member::VersionMismatch>,
    /// The platform's log.
    pub log: L,
    /// 1 while the newest version that the log has accepted can't be applied.
    pub unusable: gauge::Gauge,
    /// Stage of the process; the duty ends at [`node::Stage::End`].
    pub stage: watch::Receiver<node::Stage>,
    /// Counters of control traffic.
    pub traffic: Arc<traffic::Traffic>,
}

/// What the duty's tasks send to its loop.
#[derive(Debug)]
enum TaskEvent {
    Event(decision::Event),
    Fetch { fetch: message::Fetch, reply: oneshot::Sender<message::FetchReply> },
}

/// Runs the duty until the stage is [`node::Stage::End`]. It spawns local tasks, so it must run in
/// a `tokio::task::LocalSet`, as [`node::duty::Duty`] provides.
///
/// # Errors
///
/// Fails when the sockets can't be bound.
pub async fn run<L: logs::Service>(
    ctx: context::Context,
    settings: Arc<configs::Node>,
    wiring: Wiring<L>,
) -> Result<(), spread::Error> {
    let host = settings.host();
    let address = settings.bound().spread_addr();
    let fault = |source| spread::Error::Bind { address, source };
    let socket = net::UdpSocket::bind(address).await.map_err(fault)?;
    let listener = net::TcpListener::bind(address).await.map_err(fault)?;
    let (events, inbox) = mpsc::channel(MAX_PENDING_EVENTS);
    let transport = transfer::Transport {
        seal: wire::seal(&settings.mesh, &settings.key),
        traffic: Arc::clone(&wiring.traffic),
        timeout: time::Duration::from_millis(settings.spread.transfer_ms),
    };
    let mut tasks = task::JoinSet::new();
    tasks.spawn_local(listen(listener, transport.clone(), events.clone()));
    let identity = decision::Identity {
        host,
        zone: settings.zone.clone(),
        join: !settings.join.is_empty(),
        wait: time::Duration::from_millis(settings.log.wait_ms),
        retention: time::Duration::from_secs(settings.log.retention_s),
    };
    let seed = ctx.seed_for("spread");
    let core = decision::Spread::new(identity, settings.spread.clone(), seed, ctx.now());
    let shell = Shell {
        ctx,
        settings,
        transport,
        socket,
        events,
        tasks,
        replies: collections::HashMap::new(),
        last_transfer: 0,
        core,
        unusable: wiring.unusable,
        applied: wiring.applied,
        log: wiring.log,
    };
    shell.run(inbox, wiring.view, wiring.mismatches, wiring.stage).await;
    Ok(())
}

struct Shell<L> {
    ctx: context::Context,
    settings: Arc<configs::Node>,
    transport: transfer::Transport,
    socket: net::UdpSocket,
    events: mpsc::Sender<TaskEvent>,
    tasks: task::JoinSet<()>,
    replies: collections::HashMap<decision::TransferId, oneshot::Sender<message::FetchReply>>,
    last_transfer: decision::TransferId,
    unusable: gauge::Gauge,
    core: decision::Spread,
    applied: watch::Sender<Arc<mesh::Applied>>,
    log: L,
}

impl<L: logs::Service> Shell<L> {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<TaskEvent>,
        mut view: watch::Receiver<Arc<view::View>>,
        mut mismatches: ring::Receiver<member::VersionMismatch>,
        mut stage: watch::Receiver<node::Stage>,
    ) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        view.mark_changed();
        loop {
            let wake = self.wake();
            let event = tokio::select! {
                // A dropped sender also means that the process ends.
                _ = stage.wait_for(|&s| s == node::Stage::End) => return,
                Some(event) = inbox.recv() => self.task_event(event),
                Ok(()) = view.changed() => {
                    let view = Arc::clone(&view.borrow_and_update());
                    Some(decision::Event::View(view))
                }
                Some(mismatch) = mismatches.recv() => {
                    let (host, version) = (mismatch.host, mismatch.version);
                    Some(decision::Event::VersionReported { host, version })
                }
                Ok((size, from)) = self.socket.recv_from(&mut buffer) => {
                    self.receive(&buffer[..size], from)
                }
                () = sleep(wake) => Some(decision::Event::Tick),
                Some(_) = self.tasks.join_next() => None,
            };
            if let Some(event) = event {
                self.step(event);
            }
        }
    }

    fn wake(&self) -> Option<time::Duration> {
        let now = self.ctx.now();
        self.core.next_wake(now).map(|due: clock::Instant| due.since(now))
    }

    fn task_event(&mut self, event: TaskEvent) -> Option<decision::Event> {
        match event {
            TaskEvent::Event(event) => Some(event),
            TaskEvent::Fetch { fetch, reply } => {
                self.last_transfer += 1;
                self.replies.insert(self.last_transfer, reply);
                Some(decision::Event::Fetch { transfer: self.last_transfer, fetch })
            }
        }
    }

    fn receive(&self, bytes: &[u8], from: std::net::SocketAddr) -> Option<decision::Event> {
        let counts = self.transport.traffic.of(traffic::Purpose::Spread);
        counts.received(bytes.len());
        match wire::decode(&self.transport.seal, bytes) {
            Ok(message::Envelope { host, datagram }) => {
                let host = host.unwrap_or_else(|| host::HostId::from_spread_addr(from));
                Some(decision::Event::Datagram { host, datagram })
            }
            Err(error) => {
                counts.dropped();
                log::debug!(error:% = error; "dropped a datagram from {from}");
                None
            }
        }
    }

    fn step(&mut self, event: decision::Event) {
        for action in self.core.handle(event, self.ctx.now()) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: decision::Action) {
        match action {
            decision::Action::Reply { transfer, reply } => self.reply(transfer, reply),
            decision::Action::Append(snapshot) => self.append(snapshot),
            decision::Action::Fetch { host, have } => self.fetch(host, have),
            decision::Action::Read(read) => self.read(read),
            decision::Action::ReportUnusable(unusable) => {
                self.unusable.set(i64::from(unusable));
            }
            decision::Action::Run(applied) => {
                let version = applied.version_id.version.number();
                let unix_millis = clock::Clock::unix_millis(&self.ctx.clock);
                log::info!(version, unix_millis; "applied a new configuration");
                self.applied.send_replace(applied);
            }
            decision::Action::Send { host, datagram } => self.send(host, datagram),
        }
    }

    fn send(&self, host: host::HostId, datagram: message::Datagram) {
        // The source address identifies this host unless it is bound to another address.
        let source_is_host = self.settings.bind.is_none();
        let push = matches!(datagram, message::Datagram::Push { .. });
        let sender = (!source_is_host || !push).then(|| self.settings.host());
        let envelope = message::Envelope { host: sender, datagram };
        let Ok(bytes) = wire::encode(&self.transport.seal, &envelope) else { return };
        // A datagram that can't be sent now is treated like one lost in the network: resends and
        // pulls make up for it.
        if self.socket.try_send_to(&bytes, host.spread_addr()).is_ok() {
            self.transport.traffic.of(traffic::Purpose::Spread).sent(bytes.len());
        }
    }

    fn reply(&mut self, transfer: decision::TransferId, reply: message::FetchReply) {
        let counted = matches!(reply, message::FetchReply::Update(_));
        let Some(sender) = self.replies.remove(&transfer) else { return };
        if sender.send(reply).is_err() && counted {
            self.step(decision::Event::TransferSent);
        }
    }

    fn fetch(&mut self, host: host::HostId, have: crate::version::Version) {
        let (transport, events) = (self.transport.clone(), self.events.clone());
        let fetch = message::Fetch { host: self.settings.host(), have };
        self.tasks.spawn_local(async move {
            let result = transfer::fetch(&transport, host.spread_addr(), &fetch).await;
            let served =
                result.map_err(|error| log::info!(error:% = error; "transfer from {host} failed"));
            let event = decision::Event::Fetched { host, served: served.ok() };
            let _ = events.send(TaskEvent::Event(event)).await;
        });
    }

    fn append(&mut self, snapshot: bytes::Bytes) {
        let log = self.log.clone();
        let limit = time::Duration::from_millis(self.settings.log.append_ms);
        self.tasks.spawn_local(async move {
            // The read of the log shows whether the append took effect; if not, the snapshot policy
            // tries again.
            let append = log.append(logs::streams::CONFIG, snapshot);
            match tokio::time::timeout(limit, append).await {
                Ok(Ok(offset)) => log::info!(offset; "appended a snapshot"),
                Ok(Err(error)) => log::warn!(error:% = error; "could not append a snapshot"),
                Err(_) => log::warn!("timed out appending a snapshot to the log"),
            }
        });
    }

    fn read(&mut self, read: read_schedule::Read) {
        let (log, events) = (self.log.clone(), self.events.clone());
        let limit = read.wait + time::Duration::from_millis(self.settings.log.append_ms);
        let clock = self.ctx.clock;
        self.tasks.spawn_local(async move {
            let batch = log.read(logs::streams::CONFIG, read.from, MAX_READ_RECORDS, read.wait);
            let batch = match tokio::time::timeout(limit, batch).await {
                Ok(Ok(batch)) => Some(batch),
                Ok(Err(error)) => {
                    log::warn!(error:% = error; "could not read the log");
                    None
                }
                Err(_) => None,
            };
            let unix_millis = clock::Clock::unix_millis(&clock);
            let event = decision::Event::Read { batch, unix_millis };
            let _ = events.send(TaskEvent::Event(event)).await;
        });
    }
}

async fn sleep(wait: Option<time::Duration>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait).await,
        None => future::pending().await,
    }
}

async fn listen(
    listener: net::TcpListener,
    transport: transfer::Transport,
    events: mpsc::Sender<TaskEvent>,
) {
    let mut tasks = task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if tasks.len() < MAX_CONNECTIONS => {
                    tasks.spawn_local(serve(stream, transport.clone(), events.clone()));
                }
                Ok(_) => {}
                // Most likely out of file descriptors: wait until other connections close.
                Err(_) => tokio::time::sleep(time::Duration::from_millis(100)).await,
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}

async fn serve(
    stream: net::TcpStream,
    transport: transfer::Transport,
    events: mpsc::Sender<TaskEvent>,
) {
    let Ok((fetch, frames)) = transfer::request(&transport, stream).await else { return };
    let (reply, receiver) = oneshot::channel();
    if events.send(TaskEvent::Fetch { fetch, reply }).await.is_err() {
        return;
    }
    let Ok(served) = receiver.await else { return };
    let counted = matches!(served, message::FetchReply::Update(_));
    let sent = transfer::answer(&transport, frames, &served).await;
    if let Err(error) = sent {
        log::info!(error:% = error; "could not send the reply to a transfer");
    }
    if counted {
        let _ = events.send(TaskEvent::Event(decision::Event::TransferSent)).await;
    }
}
