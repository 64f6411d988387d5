//! Membership in virtual time: the same verdict on every run.

mod cost;
mod faults;
mod net;
mod scenes;
