//! Tests of promises that have to hold while real processes fail, checked against the records of
//! upstreams and the status that nodes report.

mod calls;
mod crashes;
mod ends;
mod mesh;
mod stops;
mod support;
