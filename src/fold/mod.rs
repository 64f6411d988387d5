//! Acceptance of configurations: a pure fold over the log.
