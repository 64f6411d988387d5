//! Stand-ins for the platform: log service and upstream.

pub mod http;
pub mod log;
pub mod upstream;
