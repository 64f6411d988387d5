//! Rules of validity, frozen for each format of file.

use crate::mesh;

/// Judges files. Builds that know a format judge every file of it alike.
pub trait Rules {
    /// What can be wrong with a file.
    type Faults;

    /// The newest format known; older ones down to 1 are known too.
    fn newest(&self) -> u16;

    /// What a file of `format` says, or everything that is wrong with it.
    fn check(&self, format: u16, file: &[u8]) -> Result<mesh::Mesh, Self::Faults>;
}

/// The rules of this build.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Builtin;

/// The newest format this build knows.
pub const NEWEST_FORMAT: u16 = 4;

/// The newest format without orders of roll-outs.
pub const LAST_FORMAT_WITHOUT_ORDERS: u16 = 3;

impl Rules for Builtin {
    type Faults = mesh::fault::Faults;

    fn newest(&self) -> u16 {
        NEWEST_FORMAT
    }

    fn check(&self, _format: u16, file: &[u8]) -> Result<mesh::Mesh, Self::Faults> {
        mesh::check::check(file)
    }
}
