//! Claims of idempotency keys in the log.
