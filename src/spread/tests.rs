//! Tests of the distribution.

mod faults;
mod files;
mod fleet;
mod net;
mod orders;
mod parts;
mod recovery;
mod restored;
mod source;
mod tree;
mod whole;
