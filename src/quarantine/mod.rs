//! Requests under which upstreams end.
//!
//! A [`Print`] names a request wherever it comes in and however often it is sent.

mod print;

#[cfg(test)]
mod tests;

pub use self::print::{Body, Print, Printer};
