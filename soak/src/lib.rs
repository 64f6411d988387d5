//! A soak of the real programs: a fleet of processes on loopback, a series of faults drawn from a
//! seed, callers that go on all the while, and the promises checked against what callers were told
//! and upstreams ran.
//!
//! Data flows one way: a [`series::Series`] is drawn from a seed, [`stage`] starts the fleet,
//! [`act`] plays the series on it, [`watch`] looks at the nodes meanwhile, and [`judge`] compares
//! what callers and upstreams saw. [`round`] joins them.
//!
//! Not covered: clocks that jump, since a process can't be given one from outside.

pub mod act;
pub mod args;
pub mod judge;
pub mod round;
pub mod series;
pub mod stage;
pub mod watch;

use dandelionspool::bench::fleet;
use dandelionspool::bench::load;

/// Why a round can't be played. A broken promise is no error, see [`judge::Breach`].
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fleet can't be started or told what to do.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// The load can't be sent.
    #[error(transparent)]
    Load(#[from] load::Error),
    /// A thread ended early.
    #[error("a thread ended early")]
    Ended(#[from] tokio::task::JoinError),
    /// A file can't be written.
    #[error(transparent)]
    File(#[from] std::io::Error),
    /// A publication was refused.
    #[error("the program that publishes ended with {0}")]
    Publish(i32),
}
