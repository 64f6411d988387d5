//! Metrics, health, status and announcements over HTTP.
