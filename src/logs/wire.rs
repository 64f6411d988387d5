//! Encoding of the log service's HTTP answers.
//!
//! A batch is a sequence of records, each of them offset (8 bytes), append time (8 bytes), body
//! length (4 bytes) and body; integers are big-endian. The bounds of the stream are headers.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::logs;

/// Header with the oldest retained offset.
pub const FIRST_HEADER: &str = "log-first";

/// Header with the offset that the next append will get.
pub const NEXT_HEADER: &str = "log-next";

/// Header with the epoch of the offsets in the answer; without it, the epoch is 0.
pub const EPOCH_HEADER: &str = "log-epoch";

/// Header with the offset of the appended record.
pub const OFFSET_HEADER: &str = "log-offset";

/// Bytes before each record's body.
const PREFIX_BYTES: usize = 8 + 8 + 4;

/// Why a batch does not decode.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The bytes end within a record.
    #[error("the batch ends within a record")]
    Truncated,
    /// Offsets do not increase, or lie outside the bounds of the stream.
    #[error("offset {0} is out of order or out of bounds")]
    Disordered(logs::Offset),
}

/// Number of bytes that `record` takes in a batch.
pub const fn encoded_len(record: &logs::Record) -> usize {
    PREFIX_BYTES + record.body.len()
}

/// Encodes `records` as a batch; their bodies must be shorter than 4 GiB.
pub fn encode(records: &[logs::Record]) -> Bytes {
    let length = records.iter().map(encoded_len).sum();
    let mut out = BytesMut::with_capacity(length);
    for record in records {
        out.put_u64(record.offset);
        out.put_u64(record.unix_millis);
        out.put_u32(u32::try_from(record.body.len()).unwrap_or(u32::MAX));
        out.put_slice(&record.body);
    }
    out.freeze()
}

/// Decodes a batch of a stream that retains the offsets `first..next`; the epoch is set to 0.
pub fn decode(first: logs::Offset, next: logs::Offset, body: Bytes) -> Result<logs::Batch, Error> {
    let mut rest = body;
    let mut records = Vec::new();
    let mut lowest = first;
    while rest.has_remaining() {
        let record = decode_record(&mut rest)?;
        if record.offset < lowest || record.offset >= next {
            return Err(Error::Disordered(record.offset));
        }
        lowest = record.offset + 1;
        records.push(record);
    }
    Ok(logs::Batch { epoch: 0, first, next, records })
}

fn decode_record(rest: &mut Bytes) -> Result<logs::Record, Error> {
    if rest.remaining() < PREFIX_BYTES {
        return Err(Error::Truncated);
    }
    let offset = rest.get_u64();
    let unix_millis = rest.get_u64();
    let length = rest.get_u32() as usize;
    if rest.remaining() < length {
        return Err(Error::Truncated);
    }
    Ok(logs::Record { offset, unix_millis, body: rest.split_to(length) })
}
