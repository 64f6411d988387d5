//! Records of the `usage` stream.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::host;
use crate::usage;

/// First byte of every record of the stream.
const FORMAT: u8 = 1;

/// Names a total: of all totals with one name, one counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TotalId {
    /// The node that counted.
    pub host: host::HostId,
    /// A number drawn by the process when it started.
    pub incarnation: u64,
    /// Number of the total in that life, from 1.
    pub sequence: u64,
}

/// Calls served whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// What was served.
    pub label: usage::Label,
    /// How often.
    pub served: u64,
}

/// What one node counted over some time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Total {
    /// Its name.
    pub id: TotalId,
    /// When the counting ended, in milliseconds since the Unix epoch by the node's clock.
    pub until_unix_ms: u64,
    /// The counts; each label once.
    pub rows: Vec<Row>,
}

/// Why a record can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// It begins with another format number.
    #[error("a record of another format")]
    Format,
    /// It does not decode.
    #[error("a malformed record")]
    Malformed,
}

/// The bytes of one total, as nodes send it to a writer.
pub fn encode(total: &Total) -> Bytes {
    // Writing to a vector can't fail; empty bytes are refused by every reader.
    postcard::to_stdvec(total).map(Bytes::from).unwrap_or_default()
}

/// The total of `bytes`, if they are one.
pub fn decode(bytes: &[u8]) -> Option<Total> {
    let (total, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(total)
}

/// The record of many totals, each as [`encode`] made it.
pub fn join(totals: &[Bytes]) -> Bytes {
    postcard::to_extend(totals, vec![FORMAT]).map(Bytes::from).unwrap_or_default()
}

/// The totals of a record.
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
