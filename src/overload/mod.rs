//! Overload of a node: more requests than its CPU can handle.
//!
//! Without protection each request waits in sockets and run queues until its caller has given up,
//! and the node's work is wasted. [`Delay`] measures how long work waits in the node, and
//! [`Controller`] decides which calls are refused so that the others are served in time.

mod controller;
mod counts;
mod delay;
mod share;
mod window;

#[cfg(test)]
mod tests;

pub use self::controller::{Change, Controller, Verdict};
pub use self::counts::Counts;
pub use self::delay::{Delay, WINDOW};
pub use self::share::MIN_SHARE;
pub use self::window::{MAX_ORGANISATIONS, MAX_PRIORITIES, Priority};
