//! What differs between the places a node runs in.

use std::fmt;
use std::sync::Arc;

use crate::configs;
use crate::logs;
use crate::member::directory;
use crate::proxy;
use crate::rollout::{status, stream};
use crate::traffic;

/// The services around a node and how they speak.
pub trait Ports: Clone + fmt::Debug + Send + 'static {
    /// The log service.
    type Log: logs::Service;
    /// Where hosts find one another.
    type Directory: directory::Directory;
    /// Where the operator is told of roll-outs.
    type Statuses: status::Statuses;

    /// A client of the log service whose bytes count into `traffic`.
    fn log(&self, settings: &configs::Node, traffic: Arc<traffic::Traffic>) -> Self::Log;

    /// The directory of hosts.
    fn directory(
        &self,
        settings: &configs::Node,
        traffic: Arc<traffic::Traffic>,
    ) -> Self::Directory;

    /// Where the operator is told of roll-outs.
    fn statuses(&self, settings: &configs::Node, traffic: Arc<traffic::Traffic>) -> Self::Statuses;

    /// How callers and upstreams speak.
    fn dialect(&self) -> proxy::Dialect;
}

/// The product's own protocols.
#[derive(Clone, Copy, Debug, Default)]
pub struct Builtin;

impl Ports for Builtin {
    type Log = logs::http::Client;
    type Directory = directory::Fixed;
    type Statuses = stream::Stream<logs::http::Client>;

    fn log(&self, settings: &configs::Node, traffic: Arc<traffic::Traffic>) -> Self::Log {
        logs::http::Client::new(&settings.log, traffic)
    }

    fn directory(
        &self,
        settings: &configs::Node,
        _traffic: Arc<traffic::Traffic>,
    ) -> Self::Directory {
        directory::Fixed::new(&settings.join)
    }

    fn statuses(&self, settings: &configs::Node, traffic: Arc<traffic::Traffic>) -> Self::Statuses {
        stream::Stream::new(logs::http::Client::new(&settings.log, traffic))
    }

    fn dialect(&self) -> proxy::Dialect {
        proxy::Dialect::default()
    }
}
