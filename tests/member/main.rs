//! Tests of membership in virtual time, which are deterministic.

mod cold_start;
mod cost;
mod faults;
mod feed;
mod leaves;
mod net;
mod odd_entries;
mod presets;
mod quarantine;
mod scenarios;
