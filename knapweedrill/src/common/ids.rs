//! Aliases for the identifiers of the system.

/// Identifies one run of a process: a random number drawn when the process starts.
pub type Incarnation = u64;

/// Counts the owner tokens that one entry has minted.
pub type Generation = u32;

/// Names a set of sidecar incarnations by a hash of its members.
pub type RosterDigest = u64;

/// The key by which a client names a job of its own; unique within team and owner token.
pub type ClientKey = String;

/// Identifies a job everywhere: a hash of owner token, team and client key.
pub type JobId = u128;

/// The position of a task within its job.
pub type TaskIndex = u32;

/// Counts how often a task has been handed out; the first time is 0.
pub type Attempt = u32;

/// Numbers the sessions of a link between two incarnations; a higher number fences the lower.
pub type SessionNumber = u64;

/// Numbers the requests that one process awaits an answer to.
pub type RequestId = u64;

/// The position of a record in the log of the platform.
pub type LogOffset = u64;

/// The name of a team, the customer whose share a job draws on.
pub type TeamName = String;

/// The name of a kind of work.
pub type KindName = String;

/// The name of a service, a set of minions that run the same kinds of work.
pub type ServiceName = String;

/// The name of a process, as given in its settings.
pub type ProcessName = String;
