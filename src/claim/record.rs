//! Records of a `claims` stream: many claims and releases in one append.

use std::collections;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::claim;
use crate::host;

/// First byte of every record; a reader skips records of other formats.
const FORMAT: u8 = 1;

/// Most entries in one record.
pub const MOST: usize = 8192;

/// What an entry asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Op {
    /// The attempt wants the key.
    Claim,
    /// The attempt gives the key up, for good.
    Release,
}

/// One claim or release.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Entry {
    /// The key.
    pub key: claim::Key,
    /// Who asks.
    pub attempt: claim::Attempt,
    /// What for.
    pub op: Op,
}

/// Why a record can't be read. Such a record claims nothing, for every reader alike.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// It begins with another format number.
    #[error("a record of another format")]
    Format,
    /// It does not decode, or an entry names a life that the record lacks.
    #[error("a malformed record")]
    Malformed,
}

/// A life of a host's process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Life {
    /// The host.
    pub host: host::HostId,
    /// Which life.
    pub incarnation: u64,
}

/// An entry as written: the life of its attempt by its place in the record's table.
#[derive(Deserialize, Serialize)]
struct Packed {
    key: claim::Key,
    life: u32,
    number: u64,
    release: bool,
}

#[derive(Deserialize, Serialize)]
struct Body {
    lives: Vec<Life>,
    entries: Vec<Packed>,
}

/// The record of `entries`.
pub fn encode(entries: &[Entry]) -> Bytes {
    let mut lives = Vec::new();
    let mut places = collections::HashMap::new();
    let packed = entries.iter().map(|entry| {
        let attempt = entry.attempt;
        let life = Life { host: attempt.host, incarnation: attempt.incarnation };
        let place = *places.entry(life).or_insert_with(|| {
            lives.push(life);
            u32::try_from(lives.len() - 1).unwrap_or(u32::MAX)
        });
        let release = entry.op == Op::Release;
        Packed { key: entry.key, life: place, number: attempt.number, release }
    });
    let entries = packed.collect();
    let body = Body { lives, entries };
    // Writing to a vector can't fail; an empty record would claim nothing.
    postcard::to_extend(&body, vec![FORMAT]).map(Bytes::from).unwrap_or_default()
}

/// The entries of `record`.
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
        let life = *body.lives.get(packed.life as usize)?;
        let attempt = claim::Attempt {
            host: life.host,
            incarnation: life.incarnation,
            number: packed.number,
        };
        let op = if packed.release { Op::Release } else { Op::Claim };
        Some(Entry { key: packed.key, attempt, op })
    };
    let entries: Option<Vec<Entry>> = body.entries.iter().map(unpack).collect();
    entries.ok_or(Error::Malformed)
}
