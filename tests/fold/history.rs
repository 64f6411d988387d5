//! Random histories of the `config` stream, with the verdicts of a reader who saw all of it.

use std::fmt;
use std::ops::Range;

use bytes::Bytes;
use dandelionspool::fold::{self, Verdict, id, record, rules};
use dandelionspool::logs;
use dandelionspool::mesh;
use dandelionspool::version::Version;
use proptest::prelude::*;

/// Newest format of the current build in these tests.
pub const NEWEST: u16 = 2;

/// Newest format of the older build.
pub const OLDER: u16 = 1;

/// First byte of a file that breaks the rules.
pub const BROKEN: u8 = b'!';

/// Rules that refuse files which start with [`BROKEN`].
#[derive(Clone, Copy, Debug)]
pub struct Toy(pub u16);

impl rules::Rules for Toy {
    type Faults = ();

    fn newest(&self) -> u16 {
        self.0
    }

    fn check(&self, _format: u16, file: &[u8]) -> Result<mesh::Mesh, ()> {
        if file.first() == Some(&BROKEN) { Err(()) } else { Ok(mesh::Mesh::default()) }
    }
}

/// A log with its meaning.
pub struct History {
    pub records: Vec<logs::Record>,
    /// Verdict on each record.
    pub verdicts: Vec<Verdict<()>>,
    /// State before each record, and after the last one.
    pub folds: Vec<fold::Fold<Toy>>,
}

impl fmt::Debug for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let decode = |r: &logs::Record| format!("{:?}", record::decode(&r.body, NEWEST));
        let kinds = self.records.iter().map(|r| decode(r).chars().take(90).collect::<String>());
        f.debug_list().entries(kinds.zip(&self.verdicts)).finish()
    }
}

impl History {
    /// Offset of the next append.
    pub fn end(&self) -> u64 {
        self.records.len() as u64
    }

    /// What a read gives while records before `first` have expired.
    pub fn batch(&self, from: u64, first: u64, most: usize) -> logs::Batch {
        let from = from.max(first) as usize;
        let records = self.records.iter().skip(from).take(most).cloned().collect();
        logs::Batch { epoch: 0, first, next: self.end(), records }
    }

    /// Whether a reader who starts at `first` finds a snapshot that covers what it missed.
    pub fn covered(&self, first: u64) -> bool {
        self.records.iter().skip(first as usize).any(|r| {
            let decoded = record::decode(&r.body, NEWEST);
            matches!(decoded, Ok(record::Record::Snapshot(s)) if s.next_offset >= first)
        })
    }
}

/// Builds a history record by record.
pub struct Builder {
    history: History,
}

impl Builder {
    pub fn new() -> Self {
        let folds = vec![fold::Fold::starting_at(Toy(NEWEST), 0)];
        Self { history: History { records: Vec::new(), verdicts: Vec::new(), folds } }
    }

    pub fn state(&self) -> &fold::Fold<Toy> {
        self.history.folds.last().unwrap()
    }

    pub fn append(&mut self, body: Bytes) {
        let offset = self.history.end();
        let unix_millis = offset * 1000;
        let mut fold = self.state().clone();
        self.history.verdicts.push(fold.apply(offset, unix_millis, &body));
        self.history.folds.push(fold);
        self.history.records.push(logs::Record { offset, unix_millis, body });
    }

    pub fn publish(&mut self, format: u16, base: Version, id: [u8; 16], file: &[u8]) {
        self.append(publish(format, base, id, file));
    }

    /// A snapshot by a node that has not read the last `lag` records; empty when it knows nothing.
    pub fn snapshot(&self, lag: usize) -> Bytes {
        let at = self.history.folds.len().saturating_sub(lag + 1);
        self.history.folds[at].encode().unwrap().unwrap_or_default()
    }

    pub fn finish(self) -> History {
        self.history
    }
}

/// A publish record.
pub fn publish(format: u16, base: Version, id: [u8; 16], file: &[u8]) -> Bytes {
    let id = id::PublishId::new(id);
    let body = Bytes::copy_from_slice(file);
    record::encode(&record::Record::Publish(record::Publish { format, base, id, body })).unwrap()
}

/// One thing that happens to the log.
#[derive(Clone, Debug)]
enum Event {
    /// An operator publishes from a base that lies `behind` the current version.
    Publish { behind: u64, id: u8, valid: bool, newer: bool },
    /// A base that has never been.
    Ahead { id: u8 },
    /// A node that lags appends a snapshot.
    Snapshot { lag: usize },
    /// Somebody else's bytes.
    Junk(Vec<u8>),
}

fn event() -> impl Strategy<Value = Event> {
    let publish = (prop_oneof![3 => Just(0), 1 => 0u64..4], any::<u8>(), any::<u8>(), any::<u8>());
    let publish = publish.prop_map(|(behind, id, valid, newer)| Event::Publish {
        behind,
        id: id % 64,
        valid: valid % 5 > 0,
        newer: newer % 8 == 0,
    });
    prop_oneof![
        6 => publish,
        1 => any::<u8>().prop_map(|id| Event::Ahead { id: id % 64 }),
        2 => prop_oneof![2 => Just(0), 1 => 0usize..6].prop_map(|lag| Event::Snapshot { lag }),
        1 => proptest::collection::vec(any::<u8>(), 0..20).prop_map(Event::Junk),
    ]
}

/// Histories whose length lies in `length`.
pub fn histories(length: Range<usize>) -> impl Strategy<Value = History> {
    proptest::collection::vec(event(), length).prop_map(|events| {
        let mut builder = Builder::new();
        for (n, event) in events.into_iter().enumerate() {
            let current = builder.state().version().number();
            match event {
                Event::Publish { behind, id, valid, newer } => {
                    let base = Version::new(current.saturating_sub(behind));
                    let file = [if valid { b'v' } else { BROKEN }, n as u8];
                    builder.publish(1 + u16::from(newer), base, [id; 16], &file);
                }
                Event::Ahead { id } => {
                    builder.publish(1, Version::new(current + 3), [id; 16], b"ahead");
                }
                Event::Snapshot { lag } => builder.append(builder.snapshot(lag)),
                Event::Junk(bytes) => builder.append(bytes.into()),
            }
        }
        builder.finish()
    })
}
