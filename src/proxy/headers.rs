//! Header names of the call path and the outcomes they carry.

/// Prefix of every header the mesh gives a meaning; stripped from what strangers send.
pub const PREFIX: &str = "dandelionspool-";
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
/// Identity of a call, made by the entry when the caller sent none; passed to upstreams. An
/// upstream that repeats it in its answer has the answer checked against its call.
pub const REQUEST_ID: &str = "x-request-id";
/// Set to [`SHED`] by an upstream on a 503 that says that it did not run the call.
pub const UPSTREAM: &str = "dandelionspool-upstream";
/// Value of [`UPSTREAM`]: the call was shed before it ran.
pub const SHED: &str = "shed";
/// Set to [`HELD`] on the first call's answer when it is given to a duplicate.
pub const ANSWER: &str = "dandelionspool-answer";
/// Value of [`ANSWER`]: the answer was held from the call that ran.
pub const HELD: &str = "held";

/// Between nodes: service of the call. A request without it is no call.
pub const SERVICE: &str = "dandelionspool-service";
/// Between nodes: name of the call's kind.
pub const KIND: &str = "dandelionspool-kind";
/// Between nodes: weight of the call's kind.
pub const WEIGHT: &str = "dandelionspool-weight";
/// Between nodes: set when a call that runs already waits for this one.
pub const INNER: &str = "dandelionspool-inner";
/// Between nodes: how long the upstream took to begin its answer, in microseconds.
pub const RAN_US: &str = "dandelionspool-ran-us";
/// Milliseconds until a call loses part of its worth, between nodes.
pub const TARGET: &str = "dandelionspool-target-ms";
/// Between nodes: class of upstreams that may run the call.
pub const CLASS: &str = "dandelionspool-class";
/// Between nodes: tag of the first request of a connection.
pub const TAG: &str = "dandelionspool-tag";
/// Between nodes: milliseconds after which a refused call may be tried again.
pub const RETRY: &str = "dandelionspool-retry-ms";
