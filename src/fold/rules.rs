//! Validation rules for configuration files, which never change for a given format.

use crate::mesh;

/// Validation of files. All builds that know a format must judge its files in the same way.
pub trait Rules {
    /// The faults of an invalid file.
    type Faults;

    /// The newest format known; all older ones from 1 on are known too.
    fn newest(&self) -> u16;

    /// Parses a file of `format`, or returns all its faults.
    fn check(&self, format: u16, file: &[u8]) -> Result<mesh::Mesh, Self::Faults>;
}

/// The rules of this build.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Builtin;

/// The newest format that this build knows.
pub const NEWEST_FORMAT: u16 = 6;

/// The newest format with limits on names, paths and counts.
pub const LAST_FORMAT_WITH_LIMITS: u16 = 5;

/// The newest format without API keys.
pub const LAST_FORMAT_WITHOUT_KEYS: u16 = 4;

/// The newest format without roll-out orders.
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
