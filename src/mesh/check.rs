//! The one checked step from a configuration file to a [`mesh::Mesh`].
//!
//! The rules belong to the file's `format` number and are frozen with it: nodes of different
//! builds read the same log and must come to the same verdict on each version. A change of any
//! rule, even one that only accepts more, takes a new format number.
//!
//! 1. `text` reads JSON, and finds keys that stand twice.
//! 2. `shape` holds the file against the schema.
//! 3. `links` and `overlap` check what a schema can't say, also in a file with faults.
//! 4. `build` converts border types into domain types.

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

/// The newest format this build knows: the one before it with orders of roll-outs.
pub const LATEST_FORMAT: u32 = 4;

/// The format without orders of roll-outs. Its rules are frozen.
pub const FORMAT_3: u32 = 3;

/// The first format, which says team for organisation. Its rules are frozen.
///
/// 2 was never given out: the frozen verdicts of format 1 refuse it.
pub const FORMAT_1: u32 = 1;

/// Largest file, in bytes.
pub const MAX_BYTES: usize = 1 << 20;

/// Checks the file `body` and converts it.
///
/// # Errors
///
/// Every fault of the file at once. The exceptions are a file that is too large, is not JSON or
/// has another format number: its one fault hides what else may be wrong.
pub fn check(body: &[u8]) -> Result<mesh::Mesh, fault::Faults> {
    if body.len() > MAX_BYTES {
        let problem = fault::Problem::TooLarge { bytes: body.len(), limit: MAX_BYTES };
        return Err(single(problem));
    }
    let mut faults = Vec::new();
    let root = text::read(body, &mut faults).map_err(single)?;
    let format = shape::format(&root).map_err(|fault| fault::Faults::new(vec![fault]))?;
    shape::check(&root, format, &mut faults);
    let draft = items::Draft::read(&root, format, &mut faults);
    links::check(&draft, &mut faults);
    overlap::check(&draft, &mut faults);
    if !faults.is_empty() {
        return Err(fault::Faults::new(faults));
    }
    build::build(root, format).map_err(single)
}

fn single(problem: fault::Problem) -> fault::Faults {
    fault::Faults::new(vec![fault::Fault::new("", problem)])
}
