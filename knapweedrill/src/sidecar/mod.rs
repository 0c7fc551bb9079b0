//! The sidecar: the only process that calls its minion, and the arbiter of its slots.
