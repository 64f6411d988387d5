//! Types at the border, generated from the schemas and committed.
//!
//! The build needs no generator. After a change of a schema, run by hand:
//!
//! ```sh
//! cargo install cargo-typify
//! cargo typify --no-builder schema/configuration.json -o src/border/configuration.rs
//! ```

/// The configuration file, generated from `schema/configuration.json`.
#[allow(clippy::all, clippy::unwrap_used, dead_code, missing_docs)]
#[rustfmt::skip]
pub mod configuration;
