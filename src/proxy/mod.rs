//! The call path: hyper and tokio around the decisions.

pub mod headers;
