//! Records of the `usage` stream.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::host;
use crate::usage;

/// First byte of every record of the stream.
const FORMAT: u8 = 1;

/// Identifies a total; of all totals with the same id, one counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TotalId {
    /// The node that counted.
    pub host: host::HostId,
    /// Random number that the process chose when it started.
    pub incarnation: u64,
    /// Number of the total in that process, from 1.
    pub sequence: u64,
}

/// Number of served calls with one label.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Label of the calls.
    pub label: usage::Label,
    /// Number of calls that were answered completely.
    pub served: u64,
}

/// Usage that one node counted since its previous total.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Total {
    /// Its id.
    pub id: TotalId,
    /// End of the counted time, in milliseconds since the Unix epoch by the node's clock.
    pub until_unix_ms: u64,
    /// The counts; each label once.
    pub rows: Vec<Row>,
}

/// Why a record can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Its first byte is another format number.
    #[error("the record has an unknown format")]
    Format,
    /// It does not decode.
    #[error("the record is malformed")]
    Malformed,
}

/// Encodes one total, as nodes send it to a writer.
pub fn encode(total: &Total) -> Bytes {
    // Writing to a vector can't fail; every reader refuses empty bytes.
    postcard::to_stdvec(total).map(Bytes::from).unwrap_or_default()
}

/// Decodes one total; `None` when `bytes` are malformed.
pub fn decode(bytes: &[u8]) -> Option<Total> {
    let (total, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(total)
}

/// Encodes a record of many totals, each encoded by [`encode`].
pub fn join(totals: &[Bytes]) -> Bytes {
    postcard::to_extend(totals, vec![FORMAT]).map(Bytes::from).unwrap_or_default()
}

/// Decodes the totals of a record.
///
/// # Errors
///
/// The record is of another format or malformed.
pub fn split(record: &[u8]) -> Result<Vec<Total>, Error> {
    let (format, body) = record.split_first().ok_or(Error::Malformed)?;
    if *format != FORMAT {
        return Err(Error::Format);
    }
    let (totals, rest) =
        postcard::take_from_bytes::<Vec<&[u8]>>(body).map_err(|_| Error::Malformed)?;
    if !rest.is_empty() {
        return Err(Error::Malformed);
    }
    let totals: Option<Vec<Total>> = totals.into_iter().map(decode).collect();
    totals.ok_or(Error::Malformed)
}
