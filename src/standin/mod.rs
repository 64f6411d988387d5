//! Stand-ins for the platform: log service and upstream.
