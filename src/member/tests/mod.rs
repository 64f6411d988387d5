//! Tests of the parts of the membership decision.

mod table;
mod updates;
mod wire;
mod zones;
