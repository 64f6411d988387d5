//! Membership: who is there, and in what state.
