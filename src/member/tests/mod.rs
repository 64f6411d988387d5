//! Tests of the parts of the membership state machine.

mod table;
mod updates;
mod wire;
mod zones;
