//! Tests of the distribution.

mod faults;
mod files;
mod fleet;
mod net;
mod propagation;
mod random_faults;
mod read_schedule;
mod recovery;
mod restored_log;
mod single_node;
mod source;
mod tree;
