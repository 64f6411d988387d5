//! The thread of the distribution duty: sockets, time and rings around the decisions.

use std::collections;
use std::future;
use std::sync::Arc;
use std::time;

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
use crate::spread::tail;
use crate::spread::transfer;
use crate::spread::wire;
use crate::traffic;
use crate::view;

/// Notes from the duty's own tasks that may wait; a full ring makes the tasks wait.
const NOTES: usize = 64;

/// Connections open to this node at once, whoever opened them; more are closed.
const CONNECTIONS: usize = 64;

/// Most records asked of the log in one read.
const RECORDS: u32 = 64;

/// Largest datagram received, in bytes.
const DATAGRAM_BYTES: usize = 2048;

/// What joins the distribution duty to the others.
#[derive(Debug)]
pub struct Wiring<L> {
    /// Where the configuration this node runs is put, whole.
    pub applied: watch::Sender<Arc<mesh::Applied>>,
    /// The known hosts.
    pub view: watch::Receiver<Arc<view::View>>,
    /// From the membership duty: peers that run something else.
    pub mismatches: ring::Receiver<member::VersionMismatch>,
    /// The platform's log.
    pub log: L,
    /// Stage of the process; the duty ends at [`node::Stage::End`].
    pub stage: watch::Receiver<node::Stage>,
    /// Counters of control traffic.
    pub traffic: Arc<traffic::Traffic>,
}

/// What the duty's tasks tell its loop.
#[derive(Debug)]
enum Note {
    Event(decision::Event),
    Fetch { fetch: message::Fetch, reply: oneshot::Sender<message::Served> },
}

/// Runs the duty until the stage is [`node::Stage::End`]; spawns local tasks, so that it needs a
/// `tokio::task::LocalSet` such as [`node::duty::Duty`] gives.
///
/// # Errors
///
/// Fails when the sockets can't be made.
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
    let (notes, inbox) = mpsc::channel(NOTES);
    let link = transfer::Link {
        seal: wire::seal(&settings.mesh, &settings.key),
        traffic: Arc::clone(&wiring.traffic),
        limit: time::Duration::from_millis(settings.spread.transfer_ms),
    };
    let mut tasks = task::JoinSet::new();
    tasks.spawn_local(listen(listener, link.clone(), notes.clone()));
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
        link,
        socket,
        notes,
        tasks,
        replies: collections::HashMap::new(),
        transfers: 0,
        core,
        applied: wiring.applied,
        log: wiring.log,
    };
    shell.turn(inbox, wiring.view, wiring.mismatches, wiring.stage).await;
    Ok(())
}

struct Shell<L> {
    ctx: context::Context,
    settings: Arc<configs::Node>,
    link: transfer::Link,
    socket: net::UdpSocket,
    notes: mpsc::Sender<Note>,
    tasks: task::JoinSet<()>,
    replies: collections::HashMap<decision::Transfer, oneshot::Sender<message::Served>>,
    transfers: decision::Transfer,
    core: decision::Spread,
    applied: watch::Sender<Arc<mesh::Applied>>,
    log: L,
}

impl<L: logs::Service> Shell<L> {
    async fn turn(
        mut self,
        mut inbox: mpsc::Receiver<Note>,
        mut view: watch::Receiver<Arc<view::View>>,
        mut heard: ring::Receiver<member::VersionMismatch>,
        mut stage: watch::Receiver<node::Stage>,
    ) {
        let mut buffer = [0; DATAGRAM_BYTES];
        view.mark_changed();
        loop {
            let wake = self.wake();
            let event = tokio::select! {
                // A dropped sender means that the process ends, too.
                _ = stage.wait_for(|&s| s == node::Stage::End) => return,
                Some(note) = inbox.recv() => self.noted(note),
                Ok(()) = view.changed() => {
                    let view = Arc::clone(&view.borrow_and_update());
                    Some(decision::Event::View(view))
                }
                Some(heard) = heard.recv() => {
                    let (host, version) = (heard.host, heard.version);
                    Some(decision::Event::Heard { host, version })
                }
                Ok((size, from)) = self.socket.recv_from(&mut buffer) => {
                    self.datagram(&buffer[..size], from)
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
        self.core.wake(now).map(|due: clock::Instant| due.since(now))
    }

    fn noted(&mut self, note: Note) -> Option<decision::Event> {
        match note {
            Note::Event(event) => Some(event),
            Note::Fetch { fetch, reply } => {
                self.transfers += 1;
                self.replies.insert(self.transfers, reply);
                Some(decision::Event::Fetch { transfer: self.transfers, fetch })
            }
        }
    }

    fn datagram(&self, bytes: &[u8], from: std::net::SocketAddr) -> Option<decision::Event> {
        let counts = self.link.traffic.of(traffic::Purpose::Spread);
        counts.received(bytes.len());
        match wire::decode(&self.link.seal, bytes) {
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
            decision::Action::Answer { transfer, served } => self.answer(transfer, served),
            decision::Action::Append(snapshot) => self.append(snapshot),
            decision::Action::Fetch { host, have } => self.fetch(host, have),
            decision::Action::Read(read) => self.read(read),
            decision::Action::Run(applied) => {
                let version = applied.version_id.version.number();
                let unix_millis = clock::Clock::unix_millis(&self.ctx.clock);
                log::info!(version, unix_millis; "runs a new configuration");
                self.applied.send_replace(applied);
            }
            decision::Action::Send { host, datagram } => self.send(host, datagram),
        }
    }

    fn send(&self, host: host::HostId, datagram: message::Datagram) {
        let plain = self.settings.bind.is_none();
        let push = matches!(datagram, message::Datagram::Push { .. });
        let sender = (!plain || !push).then(|| self.settings.host());
        let envelope = message::Envelope { host: sender, datagram };
        let Ok(bytes) = wire::encode(&self.link.seal, &envelope) else { return };
        // A datagram that can't be sent now is lost like any other and repaired like any other.
        if self.socket.try_send_to(&bytes, host.spread_addr()).is_ok() {
            self.link.traffic.of(traffic::Purpose::Spread).sent(bytes.len());
        }
    }

    fn answer(&mut self, transfer: decision::Transfer, served: message::Served) {
        let ends = matches!(served, message::Served::Parcel(_));
        let Some(reply) = self.replies.remove(&transfer) else { return };
        if reply.send(served).is_err() && ends {
            self.step(decision::Event::Ended);
        }
    }

    fn fetch(&mut self, host: host::HostId, have: crate::version::Version) {
        let (link, notes) = (self.link.clone(), self.notes.clone());
        let fetch = message::Fetch { host: self.settings.host(), have };
        self.tasks.spawn_local(async move {
            let result = transfer::fetch(&link, host.spread_addr(), &fetch).await;
            let served =
                result.map_err(|error| log::info!(error:% = error; "no transfer from {host}"));
            let event = decision::Event::Fetched { host, served: served.ok() };
            let _ = notes.send(Note::Event(event)).await;
        });
    }

    fn append(&mut self, snapshot: bytes::Bytes) {
        let log = self.log.clone();
        let limit = time::Duration::from_millis(self.settings.log.append_ms);
        self.tasks.spawn_local(async move {
            // Whether it took effect shows when it is read; the policy tries again if not.
            let append = log.append(logs::streams::CONFIG, snapshot);
            match tokio::time::timeout(limit, append).await {
                Ok(Ok(offset)) => log::info!(offset; "appended a snapshot"),
                Ok(Err(error)) => log::warn!(error:% = error; "could not append a snapshot"),
                Err(_) => log::warn!("the log did not answer in time to a snapshot"),
            }
        });
    }

    fn read(&mut self, read: tail::Read) {
        let (log, notes) = (self.log.clone(), self.notes.clone());
        let limit = read.wait + time::Duration::from_millis(self.settings.log.append_ms);
        let clock = self.ctx.clock;
        self.tasks.spawn_local(async move {
            let batch = log.read(logs::streams::CONFIG, read.from, RECORDS, read.wait);
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
            let _ = notes.send(Note::Event(event)).await;
        });
    }
}

async fn sleep(wait: Option<time::Duration>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait).await,
        None => future::pending().await,
    }
}

async fn listen(listener: net::TcpListener, link: transfer::Link, notes: mpsc::Sender<Note>) {
    let mut tasks = task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if tasks.len() < CONNECTIONS => {
                    tasks.spawn_local(serve(stream, link.clone(), notes.clone()));
                }
                Ok(_) => {}
                // Out of file descriptors, most likely: let others end first.
                Err(_) => tokio::time::sleep(time::Duration::from_millis(100)).await,
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}

async fn serve(stream: net::TcpStream, link: transfer::Link, notes: mpsc::Sender<Note>) {
    let Ok((fetch, frames)) = transfer::request(&link, stream).await else { return };
    let (reply, answer) = oneshot::channel();
    if notes.send(Note::Fetch { fetch, reply }).await.is_err() {
        return;
    }
    let Ok(served) = answer.await else { return };
    let ends = matches!(served, message::Served::Parcel(_));
    let sent = transfer::answer(&link, frames, &served).await;
    if let Err(error) = sent {
        log::info!(error:% = error; "a transfer was cut short");
    }
    if ends {
        let _ = notes.send(Note::Event(decision::Event::Ended)).await;
    }
}
