//! Names and values of the headers of the call path.

/// Prefix of the mesh's own headers, which are removed from the requests of callers.
pub const PREFIX: &str = "dandelionspool-";
/// Outcome of the call, set on every answer: one of [`RAN`], [`NOT_RUN`], [`UNKNOWN`].
pub const OUTCOME: &str = "dandelionspool-outcome";
/// Reason of a refusal or failure, the name of a `retry::Reason`.
pub const REASON: &str = "dandelionspool-reason";
/// Value of [`OUTCOME`]: the call ran, and its answer follows.
pub const RAN: &str = "ran";
/// Value of [`OUTCOME`]: the call did not run, and the caller may retry.
pub const NOT_RUN: &str = "not-run";
/// Value of [`OUTCOME`]: the call may have run.
pub const UNKNOWN: &str = "unknown";
/// Time remaining until the caller gives up, in milliseconds; sent by callers and to upstreams.
pub const DEADLINE: &str = "dandelionspool-deadline-ms";
/// Number of the attempt, from 1; sent between nodes and to upstreams.
pub const ATTEMPT: &str = "dandelionspool-attempt";
/// Number of calls of the mesh that led to this one; sent between nodes and to upstreams.
pub const DEPTH: &str = "dandelionspool-depth";
/// Load of the upstream as counted by the owner node, an `admit::Load`; set on answers between
/// nodes.
pub const LOAD: &str = "dandelionspool-load";
/// Key that a caller repeats in retries, so that a non-idempotent call runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request id, made by the entry node if the caller sent none, and sent to upstreams. If an
/// upstream repeats it in its answer, the answer is checked against the call.
pub const REQUEST_ID: &str = "x-request-id";
/// Set to [`SHED`] by an upstream on a 503 answer to a call that it did not run.
pub const UPSTREAM: &str = "dandelionspool-upstream";
/// Value of [`UPSTREAM`]: the call was shed before it ran.
pub const SHED: &str = "shed";
/// Names the limit of an upstream on its calls, in calls a second; set by it on its answers.
pub const LIMIT: &str = "upstream-limit";
/// Set to [`LEAVES`] by an upstream that is leaving, on its answers.
pub const LEAVING: &str = "upstream-leaving";
/// Value of [`LEAVING`]: the upstream takes no new calls.
pub const LEAVES: &str = "1";
/// Set to [`HELD`] on the answer to a duplicate.
pub const ANSWER: &str = "dandelionspool-answer";
/// Value of [`ANSWER`]: the answer is that of the first call of the key.
pub const HELD: &str = "held";

/// Name of the organisation that makes a call; sent between nodes and to upstreams.
pub const ORGANISATION: &str = "dandelionspool-organisation";
/// Scheme of the credentials in the `Authorization` of callers: an API key.
pub const BEARER: &str = "Bearer";

/// Between nodes: service of the call. A request without it is not a call.
pub const SERVICE: &str = "dandelionspool-service";
/// Between nodes: name of the call's kind.
pub const KIND: &str = "dandelionspool-kind";
/// Between nodes: weight of the call in the queue for slots.
pub const WEIGHT: &str = "dandelionspool-weight";
/// Between nodes: set if the call is nested, so that a running call waits for it.
pub const INNER: &str = "dandelionspool-inner";
/// Between nodes: set if the caller was refused before and returns.
pub const RETURNING: &str = "dandelionspool-returning";
/// Between nodes: how long the upstream took to begin its answer, in microseconds.
pub const RAN_US: &str = "dandelionspool-ran-us";
/// Between nodes: how long the owner node held the call, from the head of the request to the head of
/// the response, in microseconds; set on responses and refusals where `call.node_delay` is on.
pub const HELD_US: &str = "dandelionspool-held-us";
/// Between nodes: milliseconds remaining to meet the target latency of the call.
pub const TARGET: &str = "dandelionspool-target-ms";
/// Between nodes: class that the upstream must have.
pub const CLASS: &str = "dandelionspool-class";
/// Between nodes: authentication tag of the first request of a connection.
pub const TAG: &str = "dandelionspool-tag";
/// Between nodes: what the upstream says of itself, a `notice::Relayed`; set on answers by its node,
/// and on calls by an entry node that has heard it.
pub const NOTICE: &str = "dandelionspool-notice";
/// Between nodes: set on a refusal for `full` whose reason is the limit that the upstream names.
/// Nodes of earlier builds don't know that reason.
pub const LIMITED: &str = "dandelionspool-limited";
/// Between nodes: milliseconds after which a refused call may be retried.
pub const RETRY: &str = "dandelionspool-retry-ms";
