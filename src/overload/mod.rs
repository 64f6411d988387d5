//! Overload of a node: more requests than its CPU can handle.
//!
//! Without protection each request waits in sockets and run queues until its caller has given up,
//! and the node's work is wasted. [`Delay`] measures how long work waits in the node.

mod delay;
#[cfg(test)]
mod tests;

pub use self::delay::{Delay, WINDOW};
