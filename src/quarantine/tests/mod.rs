//! Tests of the decisions on requests under which upstreams end.

mod print;
