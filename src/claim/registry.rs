//! Registry of the claim writers that run on this node, and the origins of their requests.

use std::collections;
use std::time;

use tokio::sync::mpsc;
use tokio::task;

use crate::claim::event::{Action, Answer, AppendId, AppendOutcome, Event, Limits, Token};
use crate::claim::follow;
use crate::claim::record::Entry;
use crate::claim::shell::Input;
use crate::claim::writer;
use crate::clock;
use crate::logs::{self, Failure as _};

/// How long an unused writer is kept whose partition is assigned to another host by the view.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// How long a read of a stream waits for a record.
const READ_WAIT: time::Duration = time::Duration::from_secs(2);

/// Where a request came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// This node's own request handler, under this request number.
    Own(u64),
    /// Another node.
    Peer {
        /// Number of its connection.
        connection: u64,
        /// Number of the request on that connection.
        id: u64,
    },
}

/// A running writer with the tasks that read and append for it.
#[derive(Debug)]
struct Slot {
    writer: writer::Writer,
    /// Tells this writer from earlier ones of its partition, whose results may still arrive.
    generation: u64,
    last_used: clock::Instant,
    tasks: task::JoinSet<()>,
}

/// All writers of this node.
#[derive(Debug)]
pub struct Registry<L> {
    limits: Limits,
    log: L,
    inputs: mpsc::Sender<Input>,
    slots: collections::BTreeMap<u16, Slot>,
    origins: collections::HashMap<Token, Origin>,
    tokens: u64,
    generations: u64,
}

impl<L: logs::Service> Registry<L> {
    /// A registry without writers.
    pub fn new(limits: Limits, log: L, inputs: mpsc::Sender<Input>) -> Self {
        Self {
            limits,
            log,
            inputs,
            slots: collections::BTreeMap::new(),
            origins: collections::HashMap::new(),
            tokens: 0,
            generations: 0,
        }
    }

    /// Hands a request to the writer of `partition`, which is started if it does not run yet.
    pub fn request(
        &mut self,
        partition: u16,
        origin: Origin,
        entry: Entry,
        deadline: clock::Instant,
        now: clock::Instant,
    ) -> Vec<(Origin, Answer)> {
        self.start(partition, now);
        self.tokens += 1;
        let token = Token(self.tokens);
        self.origins.insert(token, origin);
        if let Some(slot) = self.slots.get_mut(&partition) {
            slot.last_used = now;
        }
        self.handle(partition, Event::Request { token, entry, deadline }, now)
    }

    /// Starts the writer of `partition` unless it already runs.
    pub fn start(&mut self, partition: u16, now: clock::Instant) {
        if self.slots.contains_key(&partition) {
            return;
        }
        self.generations += 1;
        let writer = writer::Writer::new(self.limits);
        let tasks = task::JoinSet::new();
        self.slots.insert(
            partition,
            Slot { writer, generation: self.generations, last_used: now, tasks },
        );
        // The first event makes it read; no request can be answered yet.
        self.handle(partition, Event::Tick, now);
    }

    /// Stops idle writers that have not been used lately, except those of partitions for which
    /// `own` is true.
    pub fn prune(&mut self, now: clock::Instant, own: impl Fn(u16) -> bool) {
        self.slots.retain(|&partition, slot| {
            let fresh = now.since(slot.last_used) < IDLE_TIMEOUT;
            own(partition) || fresh || !slot.writer.idle()
        });
    }

    /// Passes the outcome of an append to its writer.
    pub fn appended(
        &mut self,
        (partition, generation): (u16, u64),
        id: AppendId,
        outcome: AppendOutcome,
        now: clock::Instant,
    ) -> Vec<(Origin, Answer)> {
        self.deliver((partition, generation), Event::Appended { id, outcome }, now)
    }

    /// Passes the result of a read to its writer.
    pub fn read(
        &mut self,
        (partition, generation): (u16, u64),
        batch: Option<logs::Batch>,
        now: clock::Instant,
    ) -> Vec<(Origin, Answer)> {
        self.deliver((partition, generation), Event::Read(batch), now)
    }

    /// Runs the timers of writers that are due.
    pub fn tick(&mut self, now: clock::Instant) -> Vec<(Origin, Answer)> {
        let due = |(&partition, slot): (&u16, &Slot)| {
            slot.writer.wake().is_some_and(|wake| wake <= now).then_some(partition)
        };
        let due: Vec<u16> = self.slots.iter().filter_map(due).collect();
        due.into_iter().flat_map(|p| self.handle(p, Event::Tick, now)).collect()
    }

    /// When [`Registry::tick`] is due.
    pub fn wake(&self) -> Option<clock::Instant> {
        self.slots.values().filter_map(|slot| slot.writer.wake()).min()
    }

    /// Number of running writers, of those that have read their stream to its end, and of the keys
    /// they hold.
    pub fn counts(&self) -> [usize; 3] {
        let writers = self.slots.values().map(|slot| &slot.writer);
        let current = writers.clone().filter(|writer| writer.current()).count();
        let held = writers.map(writer::Writer::held).sum();
        [self.slots.len(), current, held]
    }

    fn deliver(
        &mut self,
        (partition, generation): (u16, u64),
        event: Event,
        now: clock::Instant,
    ) -> Vec<(Origin, Answer)> {
        if self.slots.get(&partition).is_none_or(|slot| slot.generation != generation) {
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
        let writer = (partition, slot.generation);
        for action in slot.writer.handle(event, now) {
            match action {
                Action::Answer(token, answer) => {
                    answers.extend(self.origins.remove(&token).map(|origin| (origin, answer)));
                }
                Action::Append(id, body) => {
                    let (log, inputs) = (self.log.clone(), self.inputs.clone());
                    slot.tasks.spawn_local(append(log, inputs, stream.clone(), writer, id, body));
                }
                Action::Read(read) => {
                    let (log, inputs) = (self.log.clone(), self.inputs.clone());
                    slot.tasks.spawn_local(read_batch(log, inputs, stream.clone(), writer, read));
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
    writer: (u16, u64),
    id: AppendId,
    body: bytes::Bytes,
) {
    let outcome = match log.append(&stream, body).await {
        Ok(_) => AppendOutcome::Appended,
        Err(error) => {
            log::debug!(error:% = error, stream = stream; "an append of claims failed");
            if error.uncertain() { AppendOutcome::Unknown } else { AppendOutcome::NotAppended }
        }
    };
    // A closed channel means that the duty has ended.
    let _ = inputs.send(Input::Appended { writer, id, outcome }).await;
}

async fn read_batch<L: logs::Service>(
    log: L,
    inputs: mpsc::Sender<Input>,
    stream: String,
    writer: (u16, u64),
    read: follow::Read,
) {
    let wait = if read.wait { READ_WAIT } else { time::Duration::ZERO };
    let batch = log.read(&stream, read.from, read.max, wait).await;
    let batch = batch.inspect_err(|error| {
        log::debug!(error:% = error, stream = stream; "a read of claims failed");
    });
    // A closed channel means that the duty has ended.
    let _ = inputs.send(Input::Read { writer, batch: batch.ok() }).await;
}
