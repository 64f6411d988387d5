//! Differences between two configuration files.
