//! Checks a configuration file and converts it into a [`mesh::Mesh`].
//!
//! The rules belong to the file's `format` number and are frozen with it: nodes of different
//! builds read the same log and must come to the same verdict on each version. A change of any
//! rule, even one that only accepts more files, needs a new format number.
//!
//! 1. `text` parses JSON and finds duplicate keys.
//! 2. `shape` validates the file against the schema.
//! 3. `links` and `overlap` check what a schema can't express, even when the schema is violated.
//! 4. `build` converts border types into domain types.

use crate::delta;
use crate::mesh;
use crate::mesh::fault;

mod build;
mod items;
mod links;
mod overlap;
mod shape;
pub(crate) mod text;

#[cfg(test)]
mod tests;

/// The latest format that this build knows. It takes any names, paths and counts, and lets a route
/// have a timeout, target latency and number of attempts of its own.
pub const LATEST_FORMAT: u32 = 6;

/// The format that adds API keys, limits and priorities of organisations to format 4, and public
/// routes. Its rules are frozen.
pub const FORMAT_5: u32 = 5;

/// The format that adds roll-out orders to format 3. Its rules are frozen.
pub const FORMAT_4: u32 = 4;

/// The format before roll-out orders. Its rules are frozen.
pub const FORMAT_3: u32 = 3;

/// The first format, in which an organisation is called a team. Its rules are frozen.
///
/// There is no format 2: the frozen verdicts of format 1 reject this number.
pub const FORMAT_1: u32 = 1;

/// Largest file, in bytes.
pub const MAX_BYTES: usize = delta::MAX_FILE_BYTES;

/// Largest file of the formats up to [`FORMAT_5`], in bytes.
const OLD_MAX_BYTES: usize = 1 << 20;

/// Checks and converts the configuration file `body`.
///
/// # Errors
///
/// Returns all faults of the file at once. Only for a file that is too large, is not JSON or has an
/// unknown format number, the one fault is returned and nothing else is checked.
pub fn check(body: &[u8]) -> Result<mesh::Mesh, fault::Faults> {
    check_size(body, MAX_BYTES)?;
    let mut faults = Vec::new();
    let root = match text::read(body, &mut faults) {
        Ok(root) => root,
        Err(problem) => {
            check_size(body, OLD_MAX_BYTES)?;
            return Err(single(problem));
        }
    };
    let format = shape::format(&root).map_err(|fault| fault::Faults::new(vec![fault]));
    if !matches!(format, Ok(LATEST_FORMAT)) {
        check_size(body, OLD_MAX_BYTES)?;
    }
    let format = format?;
    shape::check(&root, format, &mut faults);
    let draft = items::Draft::read(&root, format, &mut faults);
    links::check(&draft, &mut faults);
    overlap::check(&draft, &mut faults);
    if !faults.is_empty() {
        return Err(fault::Faults::new(faults));
    }
    build::build(root, format).map_err(single)
}

/// Checks that `body` has at most `limit` bytes.
fn check_size(body: &[u8], limit: usize) -> Result<(), fault::Faults> {
    if body.len() <= limit {
        return Ok(());
    }
    Err(single(fault::Problem::TooLarge { bytes: body.len(), limit }))
}

fn single(problem: fault::Problem) -> fault::Faults {
    fault::Faults::new(vec![fault::Fault::new("", problem)])
}
