//! The writers that run on this node, and who asked them what.

use std::collections;
use std::time;

use tokio::sync::mpsc;
use tokio::task;

use crate::claim::event::{Action, Answer, End, Event, Limits, Ticket, Token};
use crate::claim::follow;
use crate::claim::record::Entry;
use crate::claim::shell::Input;
use crate::claim::writer;
use crate::clock;
use crate::logs::{self, Failure as _};

/// How long a writer is kept that nobody asks and that is not this node's by the view.
const LINGER: time::Duration = time::Duration::from_secs(30);

/// Longest a read of a stream waits for a record.
const WAIT: time::Duration = time::Duration::from_secs(2);

/// Who asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// This node's own calls; the number of the question.
    Own(u64),
    /// Another node's connection; the number of the question there.
    Peer {
        /// Number of the connection.
        connection: u64,
        /// Number of the question.
        id: u64,
    },
}

/// A writer with the tasks that read and append for it.
#[derive(Debug)]
struct Slot {
    writer: writer::Writer,
    life: u64,
    used: clock::Instant,
    tasks: task::JoinSet<()>,
}

/// All writers of this node.
#[derive(Debug)]
pub struct Keep<L> {
    limits: Limits,
    log: L,
    inputs: mpsc::Sender<Input>,
    slots: collections::BTreeMap<u16, Slot>,
    origins: collections::HashMap<Token, Origin>,
    tokens: u64,
    lives: u64,
}

impl<L: logs::Service> Keep<L> {
    /// No writers yet.
    pub fn new(limits: Limits, log: L, inputs: mpsc::Sender<Input>) -> Self {
        Self {
            limits,
            log,
            inputs,
            slots: collections::BTreeMap::new(),
            origins: collections::HashMap::new(),
            tokens: 0,
            lives: 0,
        }
    }

    /// Asks the writer of `partition`, which begins to run if it doesn't yet.
    pub fn ask(
        &mut self,
        partition: u16,
        origin: Origin,
        entry: Entry,
        deadline: clock::Instant,
        now: clock::Instant,
    ) -> Vec<(Origin, Answer)> {
        self.open(partition, now);
        self.tokens += 1;
        let token = Token(self.tokens);
        self.origins.insert(token, origin);
        if let Some(slot) = self.slots.get_mut(&partition) {
            slot.used = now;
        }
        self.handle(partition, Event::Ask { token, entry, deadline }, now)
    }

    /// Lets the writer of `partition` run.
    pub fn open(&mut self, partition: u16, now: clock::Instant) {
        if self.slots.contains_key(&partition) {
            return;
        }
        self.lives += 1;
        let writer = writer::Writer::new(self.limits);
        let tasks = task::JoinSet::new();
        self.slots.insert(partition, Slot { writer, life: self.lives, used: now, tasks });
        // The first event makes it read; nobody waits for an answer yet.
        self.handle(partition, Event::Tick, now);
    }

    /// Ends the writers that nobody needs; those for which `own` holds stay.
    pub fn prune(&mut self, now: clock::Instant, own: impl Fn(u16) -> bool) {
        self.slots.retain(|&partition, slot| {
            let fresh = now.since(slot.used) < LINGER;
            own(partition) || fresh || !slot.writer.idle()
        });
    }

    /// Takes the end of an append.
    pub fn appended(
        &mut self,
        (partition, life): (u16, u64),
        ticket: Ticket,
        end: End,
        now: clock::Instant,
    ) -> Vec<(Origin, Answer)> {
        self.deliver((partition, life), Event::Appended { ticket, end }, now)
    }

    /// Takes the end of a read.
    pub fn read(
        &mut self,
        (partition, life): (u16, u64),
        batch: Option<logs::Batch>,
        now: clock::Instant,
    ) -> Vec<(Origin, Answer)> {
        self.deliver((partition, life), Event::Read(batch), now)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: clock::Instant) -> Vec<(Origin, Answer)> {
        let due = |(&partition, slot): (&u16, &Slot)| {
            slot.writer.wake().is_some_and(|wake| wake <= now).then_some(partition)
        };
        let due: Vec<u16> = self.slots.iter().filter_map(due).collect();
        due.into_iter().flat_map(|p| self.handle(p, Event::Tick, now)).collect()
    }

    /// When [`Keep::tick`] is due.
    pub fn wake(&self) -> Option<clock::Instant> {
        self.slots.values().filter_map(|slot| slot.writer.wake()).min()
    }

    /// How many writers run, how many of them have read their stream to its end, and how many keys
    /// they hold.
    pub fn counts(&self) -> [usize; 3] {
        let writers = self.slots.values().map(|slot| &slot.writer);
        let current = writers.clone().filter(|writer| writer.current()).count();
        let held = writers.map(writer::Writer::held).sum();
        [self.slots.len(), current, held]
    }

    fn deliver(
        &mut self,
        (partition, life): (u16, u64),
        event: Event,
        now: clock::Instant,
    ) -> Vec<(Origin, Answer)> {
        if self.slots.get(&partition).is_none_or(|slot| slot.life != life) {
            return Vec::new();
        }
        self.handle(partition, event, now)
    }

    fn handle(
        &mut self,
        partition: u16,
        event: Event,
        now: clock::Instant,
    ) -> Vec<(Origin, Answer)> {
        let Some(slot) = self.slots.get_mut(&partition) else { return Vec::new() };
        while slot.tasks.try_join_next().is_some() {}
        let mut answers = Vec::new();
        let stream = format!("{}-{partition}", logs::streams::CLAIMS);
        let place = (partition, slot.life);
        for action in slot.writer.handle(event, now) {
            match action {
                Action::Answer(token, answer) => {
                    answers.extend(self.origins.remove(&token).map(|origin| (origin, answer)));
                }
                Action::Append(ticket, body) => {
                    let (log, inputs) = (self.log.clone(), self.inputs.clone());
                    slot.tasks.spawn_local(append(
                        log,
                        inputs,
                        stream.clone(),
                        place,
                        ticket,
                        body,
                    ));
                }
                Action::Read(read) => {
                    let (log, inputs) = (self.log.clone(), self.inputs.clone());
                    slot.tasks.spawn_local(follow(log, inputs, stream.clone(), place, read));
                }
            }
        }
        answers
    }
}

async fn append<L: logs::Service>(
    log: L,
    inputs: mpsc::Sender<Input>,
    stream: String,
    place: (u16, u64),
    ticket: Ticket,
    body: bytes::Bytes,
) {
    let end = match log.append(&stream, body).await {
        Ok(_) => End::Done,
        Err(error) => {
            log::debug!(error:% = error, stream = stream; "an append of claims failed");
            if error.uncertain() { End::Unknown } else { End::Refused }
        }
    };
    // A closed channel means that the duty has ended.
    let _ = inputs.send(Input::Appended { place, ticket, end }).await;
}

async fn follow<L: logs::Service>(
    log: L,
    inputs: mpsc::Sender<Input>,
    stream: String,
    place: (u16, u64),
    read: follow::Read,
) {
    let wait = if read.wait { WAIT } else { time::Duration::ZERO };
    let batch = log.read(&stream, read.from, read.most, wait).await;
    let batch = batch.inspect_err(|error| {
        log::debug!(error:% = error, stream = stream; "a read of claims failed");
    });
    // A closed channel means that the duty has ended.
    let _ = inputs.send(Input::Read { place, batch: batch.ok() }).await;
}
