//! Usage by team and kind.
