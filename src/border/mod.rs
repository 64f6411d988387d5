//! Types of external formats, generated from the schemas in `schema/`.
//!
//! The generated code is committed, so that the build needs no generator. After a change of a
//! schema, generate it again:
//!
//! ```sh
//! cargo install cargo-typify
//! cargo typify --no-builder schema/configuration.json -o src/border/configuration.rs
//! ```

/// The configuration file, generated from `schema/configuration.json`.
#[allow(clippy::all, clippy::unwrap_used, dead_code, missing_docs)]
#[rustfmt::skip]
pub mod configuration;
