//! A soak test of the real programs: it starts a fleet of processes on loopback, causes a series of
//! faults drawn from a seed while callers send load, and checks the project's promises against the
//! answers that callers received and the calls that upstreams ran.
//!
//! Data flows one way: a [`series::Series`] is drawn from a seed, [`setup`] starts the fleet,
//! [`player`] plays the series on it, [`watch`] polls the nodes meanwhile, and [`check`] compares
//! the results of callers with the records of upstreams. [`round`] runs these steps in order.
//!
//! Clock jumps are not covered, since the clock of a process can't be set from outside.

pub mod args;
pub mod check;
pub mod player;
pub mod round;
pub mod series;
pub mod setup;
pub mod watch;

use dandelionspool::bench::fleet;
use dandelionspool::bench::load;

/// Why a round can't be played. A broken promise is not an error; see [`check::Breach`].
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fleet can't be started or controlled.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// The load can't be sent.
    #[error(transparent)]
    Load(#[from] load::Error),
    /// A task of the round panicked or was cancelled.
    #[error("a task of the round panicked or was cancelled")]
    Ended(#[from] tokio::task::JoinError),
    /// A file can't be written.
    #[error(transparent)]
    File(#[from] std::io::Error),
    /// The publish command failed; the value is its exit code.
    #[error("the publish command failed with exit code {0}")]
    Publish(i32),
}
