//! Records of the `config` stream.
//!
//! A record is a mark of 4 bytes, the format (2 bytes, little-endian) and the content as postcard.
//! Bytes without the mark are not ours. The format numbers the layout of the content and the rules
//! for files alike, so that a build knows from the first 6 bytes whether it can judge the rest.

use std::io;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::delta::{self, frame};
use crate::fold::id;
use crate::fold::outcomes;
use crate::logs;
use crate::version;

/// First bytes of every record.
const MARK: [u8; 4] = *b"dspc";

/// Bytes before the content.
const HEAD_BYTES: usize = MARK.len() + 2;

/// A file that is to become the next version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Publish {
    /// Format of the file.
    pub format: u16,
    /// Version it was made from.
    pub base: version::Version,
    /// Its name.
    pub id: id::PublishId,
    /// The file.
    pub body: Bytes,
}

/// A file that the log service itself has accepted.
///
/// It is the version that the service has given it whatever came before it, so that a reader that missed
/// records needs no other one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// Its version.
    pub version: version::Version,
    /// Format of the file.
    pub format: u16,
    /// The file.
    pub body: Bytes,
}

/// The state after the records before `next_offset`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Format of the file.
    pub format: u16,
    /// The current version.
    pub version_id: version::VersionId,
    /// Offset of the first record that is not part of the state.
    pub next_offset: logs::Offset,
    /// Recent publishes.
    pub outcomes: outcomes::Outcomes,
    /// The current version's file.
    pub body: Bytes,
}

/// A decoded record; bodies are not compressed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Record {
    /// A file to be judged.
    Publish(Publish),
    /// State kept for those who can't read the records it came from.
    Snapshot(Snapshot),
    /// An accepted file.
    Accepted(Accepted),
}

/// Why bytes are not a record that this build can judge, or a record can't be encoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The mark is missing.
    #[error("not a record of the system")]
    Foreign,
    /// The format is newer than this build.
    #[error("format {0} is not known")]
    Format(u16),
    /// The content is not what its format says.
    #[error("the content of the record is malformed")]
    Content(#[from] postcard::Error),
    /// The body does not decompress within its limit.
    #[error("the body of the record does not decompress")]
    Body(#[from] io::Error),
}

/// Content of formats from 1 on, with compressed bodies.
#[derive(Deserialize, Serialize)]
enum Content {
    Publish {
        base: version::Version,
        id: id::PublishId,
        frame: Bytes,
    },
    Snapshot {
        version_id: version::VersionId,
        next_offset: logs::Offset,
        outcomes: outcomes::Outcomes,
        frame: Bytes,
    },
    Accepted {
        version: version::Version,
        frame: Bytes,
    },
}

/// Encodes `record`, whose body has at most [`delta::MAX_FILE_BYTES`].
pub fn encode(record: &Record) -> Result<Bytes, Error> {
    if record.body().len() > delta::MAX_FILE_BYTES {
        return Err(Error::Body(io::ErrorKind::FileTooLarge.into()));
    }
    let (format, content) = match record {
        Record::Publish(p) => {
            let frame = frame::compress(&p.body)?;
            (p.format, Content::Publish { base: p.base, id: p.id, frame })
        }
        Record::Snapshot(s) => {
            let (outcomes, frame) = (s.outcomes.clone(), frame::compress(&s.body)?);
            let (stamp, next_offset) = (s.version_id, s.next_offset);
            (s.format, Content::Snapshot { version_id: stamp, next_offset, outcomes, frame })
        }
        // Made of what the log service holds by the node that reads it, and never sent.
        Record::Accepted(s) => {
            let frame = frame::compress_passing(&s.body)?;
            (s.format, Content::Accepted { version: s.version, frame })
        }
    };
    let mut out = Vec::from(MARK);
    out.extend_from_slice(&format.to_le_bytes());
    Ok(postcard::to_extend(&content, out)?.into())
}

/// Decodes a record of a format up to `newest`.
pub fn decode(bytes: &[u8], newest: u16) -> Result<Record, Error> {
    let (head, rest) = bytes.split_at_checked(HEAD_BYTES).ok_or(Error::Foreign)?;
    let Some(&[low, high]) = head.strip_prefix(&MARK) else {
        return Err(Error::Foreign);
    };
    let format = u16::from_le_bytes([low, high]);
    match format {
        0 => return Err(Error::Foreign),
        format if format > newest => return Err(Error::Format(format)),
        _ => {}
    }
    Ok(match postcard::from_bytes(rest)? {
        Content::Publish { base, id, frame } => {
            Record::Publish(Publish { format, base, id, body: frame::decompress(&frame)? })
        }
        Content::Snapshot { version_id, next_offset, outcomes, frame } => {
            let body = frame::decompress(&frame)?;
            Record::Snapshot(Snapshot { format, version_id, next_offset, outcomes, body })
        }
        Content::Accepted { version, frame } => {
            Record::Accepted(Accepted { version, format, body: frame::decompress(&frame)? })
        }
    })
}

impl Record {
    const fn body(&self) -> &Bytes {
        match self {
            Record::Publish(publish) => &publish.body,
            Record::Snapshot(snapshot) => &snapshot.body,
            Record::Accepted(settled) => &settled.body,
        }
    }
}

impl Snapshot {
    /// Whether the snapshot, found at `offset`, can be true: it covers no record after itself, its
    /// version is one that it covers, and its file is the version's.
    pub fn consistent(&self, offset: logs::Offset) -> bool {
        self.next_offset <= offset
            && self.version_id.version.number() <= self.next_offset
            && self.version_id.version > version::Version::NONE
            && self.version_id.digest == version::Digest::of(&self.body)
    }
}
