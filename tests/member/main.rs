//! Membership in virtual time: the same verdict on every run.

mod cold;
mod cost;
mod faults;
mod feed;
mod net;
mod presets;
mod quarantine;
mod scenes;
