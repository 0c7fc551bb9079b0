//! Links between processes: sessions, fencing and reconciliation.

/// Numbers the TCP connections of one process; never used twice in one run.
pub type LinkNumber = u64;
