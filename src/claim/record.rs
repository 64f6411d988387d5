//! Records of a `claims` stream; one record holds many claims and releases.

use std::collections;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::claim;
use crate::host;

/// First byte of every record; a reader skips records of other formats.
const FORMAT: u8 = 1;

/// Limit on the entries of one record.
pub const MAX_ENTRIES: usize = 8192;

/// Operation of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Op {
    /// The attempt claims the key.
    Claim,
    /// The attempt gives up the key and can never win it again.
    Release,
}

/// One claim or release.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Entry {
    /// The key.
    pub key: claim::Key,
    /// The attempt that claims or releases it.
    pub attempt: claim::Attempt,
    /// The operation.
    pub op: Op,
}

/// Why a record can't be read. Every reader ignores such a record, so all agree on the verdicts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Its first byte is another format number.
    #[error("the record has an unknown format")]
    Format,
    /// It does not decode, or an entry refers to a process that is not in its table.
    #[error("the record is malformed")]
    Malformed,
}

/// A process on a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Process {
    /// The host.
    pub host: host::HostId,
    /// Incarnation of the process, which tells it from others on that host.
    pub incarnation: u64,
}

/// An entry as written; `process` is an index into the table of processes of the record.
#[derive(Deserialize, Serialize)]
struct Packed {
    key: claim::Key,
    process: u32,
    number: u64,
    release: bool,
}

#[derive(Deserialize, Serialize)]
struct Body {
    processes: Vec<Process>,
    entries: Vec<Packed>,
}

/// Encodes `entries` as one record.
pub fn encode(entries: &[Entry]) -> Bytes {
    let mut processes = Vec::new();
    let mut indexes = collections::HashMap::new();
    let packed = entries.iter().map(|entry| {
        let attempt = entry.attempt;
        let process = Process { host: attempt.host, incarnation: attempt.incarnation };
        let index = *indexes.entry(process).or_insert_with(|| {
            processes.push(process);
            u32::try_from(processes.len() - 1).unwrap_or(u32::MAX)
        });
        let release = entry.op == Op::Release;
        Packed { key: entry.key, process: index, number: attempt.number, release }
    });
    let entries = packed.collect();
    let body = Body { processes, entries };
    // Writing to a vector can't fail; readers would ignore an empty record.
    postcard::to_extend(&body, vec![FORMAT]).map(Bytes::from).unwrap_or_default()
}

/// Decodes the entries of `record`.
///
/// # Errors
///
/// The record is of another format or malformed.
pub fn decode(record: &[u8]) -> Result<Vec<Entry>, Error> {
    let (format, body) = record.split_first().ok_or(Error::Malformed)?;
    if *format != FORMAT {
        return Err(Error::Format);
    }
    let (body, rest) = postcard::take_from_bytes::<Body>(body).map_err(|_| Error::Malformed)?;
    if !rest.is_empty() {
        return Err(Error::Malformed);
    }
    let unpack = |packed: &Packed| {
        let process = *body.processes.get(packed.process as usize)?;
        let attempt = claim::Attempt {
            host: process.host,
            incarnation: process.incarnation,
            number: packed.number,
        };
        let op = if packed.release { Op::Release } else { Op::Claim };
        Some(Entry { key: packed.key, attempt, op })
    };
    let entries: Option<Vec<Entry>> = body.entries.iter().map(unpack).collect();
    entries.ok_or(Error::Malformed)
}
