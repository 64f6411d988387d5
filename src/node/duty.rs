//! Duties of a node. A duty is a part of the node's work, such as membership or calls, that runs on
//! a thread with its own runtime.

use std::future;
use std::io;
use std::thread;

use tokio::runtime;
use tokio::task;

/// Why a duty could not be started or did not end normally.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Creating the thread or its runtime failed.
    #[error("can't start the duty `{name}`")]
    Start {
        /// Name of the duty.
        name: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
    /// The duty ended with an error.
    #[error("the duty `{name}` failed")]
    Failed {
        /// Name of the duty.
        name: &'static str,
        /// The error.
        source: eyre::Report,
    },
    /// The duty's thread panicked.
    #[error("the duty `{name}` panicked")]
    Panicked {
        /// Name of the duty.
        name: &'static str,
    },
}

/// A running duty.
#[derive(Debug)]
pub struct Duty {
    name: &'static str,
    thread: thread::JoinHandle<Result<(), Error>>,
}

impl Duty {
    /// Starts a thread that runs the future returned by `make` until it completes.
    ///
    /// The future is created on the new thread and need not be `Send`.
    pub fn spawn<M, F, E>(name: &'static str, make: M) -> Result<Self, Error>
    where
        M: FnOnce() -> F + Send + 'static,
        F: future::Future<Output = Result<(), E>>,
        E: Into<eyre::Report>,
    {
        let builder = thread::Builder::new().name(name.to_owned());
        let thread = builder
            .spawn(move || run(name, make))
            .map_err(|source| Error::Start { name, source })?;
        Ok(Self { name, thread })
    }

    /// Whether the duty has ended.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the end of the duty, blocking the calling thread.
    pub fn join(self) -> Result<(), Error> {
        self.thread.join().unwrap_or(Err(Error::Panicked { name: self.name }))
    }
}

fn run<M, F, E>(name: &'static str, make: M) -> Result<(), Error>
where
    M: FnOnce() -> F,
    F: future::Future<Output = Result<(), E>>,
    E: Into<eyre::Report>,
{
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|source| Error::Start { name, source })?;
    let local = task::LocalSet::new();
    let result = local.block_on(&runtime, async { make().await });
    result.map_err(|source| Error::Failed { name, source: source.into() })
}
