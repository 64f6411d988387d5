//! Failures of real processes: what must hold at all times, checked against the upstreams' own
//! records and the nodes' own words.

mod bed;
mod calls;
mod crashes;
mod mesh;
mod stops;
