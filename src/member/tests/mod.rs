//! Tests of the parts of the membership decision.

mod rumors;
mod table;
mod wire;
mod zones;
