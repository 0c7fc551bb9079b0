//! Workers: the machines that minions run on.

/// The name of a worker.
pub type WorkerName = String;
