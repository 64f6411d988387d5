//! Compressed frames with bounds.

use std::io::{self, Read as _, Write as _};

use bytes::Bytes;
use zstd::stream::{read, write};

use crate::delta;

/// Compression level of whole files: the smallest result that takes milliseconds, by measurement.
const LEVEL: i32 = 9;

/// Compression level of what stays in the process: 210 KB take 0.3 ms in place of 3.3 ms at the
/// level above (release build), which on a tenth of a core is 30 ms of a start.
const PASSING_LEVEL: i32 = 1;

/// Compression levels tried for deltas. The low one is smaller for a change in place; it fails to
/// find the rest of the base again after an insertion, where the high one does.
const DELTA_LEVELS: [i32; 2] = [3, 9];

/// Base-2 logarithm of the window, which spans a base and a next file of the largest size.
const WINDOW_LOG: u32 = 21;

/// `file` compressed on its own.
pub fn compress(file: &[u8]) -> io::Result<Bytes> {
    finish(write::Encoder::new(Vec::new(), LEVEL)?, file)
}

/// `file` compressed in little time, for somebody in this process.
pub fn compress_passing(file: &[u8]) -> io::Result<Bytes> {
    finish(write::Encoder::new(Vec::new(), PASSING_LEVEL)?, file)
}

/// `next` compressed with `base` as its prefix, at the level that gives the smallest result.
pub fn compress_against(base: &[u8], next: &[u8]) -> io::Result<Bytes> {
    let [low, high] = DELTA_LEVELS.map(|level| compress_at(level, base, next));
    let (low, high) = (low?, high?);
    Ok(if low.len() <= high.len() { low } else { high })
}

fn compress_at(level: i32, base: &[u8], next: &[u8]) -> io::Result<Bytes> {
    finish(write::Encoder::with_ref_prefix(Vec::new(), level, base)?, next)
}

/// The file that [`compress`] was given.
pub fn decompress(frame: &[u8]) -> io::Result<Bytes> {
    bounded(read::Decoder::with_buffer(frame)?)
}

/// The file that [`compress_against`] was given beside the same `base`.
pub fn decompress_against(base: &[u8], frame: &[u8]) -> io::Result<Bytes> {
    bounded(read::Decoder::with_ref_prefix(frame, base)?)
}

fn finish(mut encoder: write::Encoder<'_, Vec<u8>>, file: &[u8]) -> io::Result<Bytes> {
    encoder.window_log(WINDOW_LOG)?;
    encoder.set_pledged_src_size(Some(file.len() as u64))?;
    encoder.write_all(file)?;
    Ok(encoder.finish()?.into())
}

fn bounded<R: io::BufRead>(mut decoder: read::Decoder<'_, R>) -> io::Result<Bytes> {
    decoder.window_log_max(WINDOW_LOG)?;
    let mut file = Vec::new();
    let limit = delta::MAX_FILE_BYTES as u64 + 1;
    decoder.take(limit).read_to_end(&mut file)?;
    if file.len() > delta::MAX_FILE_BYTES {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    Ok(file.into())
}
