//! Type aliases for identifiers.

/// Identifies one incarnation of a process: a random number, drawn at its start.
pub type Incarnation = u64;

/// The generation of an owner token; it rises by 1 with each token that an entry issues.
pub type Generation = u32;

/// Identifies a set of sidecar incarnations by a hash of its members.
pub type RosterDigest = u64;

/// The idempotency key that a client gives to a job; unique within a team and owner token.
pub type ClientKey = String;

/// Identifies a job in all processes: a hash of owner token, team and client key.
pub type JobId = u128;

/// The position of a task within its job.
pub type TaskIndex = u32;

/// The number of an attempt to run a task; the first is 0.
pub type Attempt = u32;

/// The number of a session of a link between two incarnations. A session fences all those with a
/// lower number.
pub type SessionNumber = u64;

/// Identifies a request of a process among those that await a response.
pub type RequestId = u64;

/// The offset of a record in the platform's log.
pub type LogOffset = u64;

/// The name of a team, whose share of the capacity its jobs use.
pub type TeamName = String;

/// The name of a kind of work, as set in the configuration.
pub type KindName = String;

/// The name of a service: a set of minions that run the same kinds of work.
pub type ServiceName = String;

/// The name of a process, as set in its settings.
pub type ProcessName = String;
