//! Stand-ins for the platform: log service and upstream.

mod accept;
pub mod fault;
pub mod http;
pub mod local_mesh;
pub mod log;
pub mod upstream;
