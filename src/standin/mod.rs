//! Stand-ins for the platform's log service and upstreams, and a proxy that injects faults.

mod accept;
pub mod fault;
pub mod http;
pub mod local_mesh;
pub mod log;
pub mod upstream;
