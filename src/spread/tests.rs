//! Tests of the distribution.

mod tree;
