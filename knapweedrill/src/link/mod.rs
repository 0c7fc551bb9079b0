//! Links between processes: sessions, fencing and reconciliation.
