//! Identifiers and clocks that all other modules share.

mod hybrid_clock;
mod hybrid_time;
mod ids;

pub use hybrid_clock::HybridClock;
pub use hybrid_time::HybridTime;
pub use ids::{
    Attempt, ClientKey, Generation, Incarnation, JobId, KindName, LogOffset, ProcessName,
    RequestId, RosterDigest, ServiceName, SessionNumber, TaskIndex, TeamName,
};
