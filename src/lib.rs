//! dandelionspool distributes configuration to the proxies of a service mesh.
//!
//! One process, the *node*, runs beside every upstream. It is a proxy for calls, a member of the
//! mesh and a replica of the accepted configuration. Everything that nodes must agree on or keep is
//! written to the platform's append-only log and nowhere else.
//!
//! # Map of the code
//!
//! Decisions are pure state machines: they take an event and the current [`clock::Instant`] and
//! return actions. Thin shells around them own the sockets, clocks and threads.
//!
//! | concern | decisions | shell |
//! |---|---|---|
//! | configuration file | [`mesh`], [`border`] | [`cli`] |
//! | accepted versions | [`fold`], [`delta`] | [`logs`] |
//! | membership | [`member`] | [`member::shell`] |
//! | distribution | [`spread`] | [`spread::shell`] |
//! | calls | [`pick`], [`admit`], [`retry`] | [`proxy`] |
//! | overload of a node | [`overload`] | [`proxy`] |
//! | versions of upstreams | [`rollout`] | [`rollout::shell`], [`proxy`] |
//! | limits of organisations | [`quota`] | [`proxy`] |
//! | requests that crash upstreams | [`quarantine`] | [`proxy`] |
//! | calls that run at most once | [`claim`] | [`claim::shell`] |
//! | charging and objectives | [`usage`], [`burn`] | [`admin`] |
//!
//! [`node`] runs the shells in one process, each on a thread of its own. [`standin`] replaces the
//! platform in tests, and [`mod@bench`] holds the benchmarks.

#![cfg_attr(not(test), warn(clippy::expect_used, clippy::panic, clippy::unwrap_used))]
#![warn(missing_docs)]

pub mod admin;
pub mod admit;
pub mod api_key;
pub mod bench;
pub mod border;
pub mod burn;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod configs;
pub mod context;
pub mod delta;
pub mod fold;
pub mod host;
pub mod leave;
pub mod logs;
pub mod member;
pub mod mesh;
pub mod node;
pub mod notice;
pub mod overload;
pub mod pick;
pub mod proxy;
pub mod quarantine;
pub mod quota;
pub mod retry;
pub mod ring;
pub mod rollout;
pub mod seal;
pub mod socket;
pub mod spread;
pub mod standin;
pub mod token_bucket;
pub mod traffic;
pub mod usage;
pub mod version;
pub mod view;
