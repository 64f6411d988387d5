//! Header names of the call path and the outcomes they carry.

/// Set on every answer: one of [`RAN`], [`NOT_RUN`], [`UNKNOWN`].
pub const OUTCOME: &str = "dandelionspool-outcome";
/// Typed reason of a refusal or failure, see `proxy::refuse`.
pub const REASON: &str = "dandelionspool-reason";
/// The call ran once and its whole answer follows.
pub const RAN: &str = "ran";
/// The call did not run; it may be sent again.
pub const NOT_RUN: &str = "not-run";
/// The call may have run.
pub const UNKNOWN: &str = "unknown";
/// Time left until the caller gives up, in milliseconds; read from callers, passed to upstreams.
pub const DEADLINE: &str = "dandelionspool-deadline-ms";
/// Number of this attempt, from 1; passed between nodes and to upstreams.
pub const ATTEMPT: &str = "dandelionspool-attempt";
/// How many calls of the mesh led to this one; passed between nodes and to upstreams.
pub const DEPTH: &str = "dandelionspool-depth";
/// Load of the upstream as its node counts it, an `admit::Load`; set on answers between nodes.
pub const LOAD: &str = "dandelionspool-load";
/// Key a caller repeats to have a non-idempotent call run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Identity of a call, made by the entry when the caller sent none; passed to upstreams.
pub const REQUEST_ID: &str = "x-request-id";
