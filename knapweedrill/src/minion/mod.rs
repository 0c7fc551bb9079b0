//! Minions, the back ends that run tasks: announcements, outlier detection and speed estimates.

mod announcement;
mod ended_counts;
mod health;
mod health_change;
mod minion_state;
mod speed;

pub use announcement::Announcement;
pub use ended_counts::EndedCounts;
pub use health::ServiceHealth;
pub use health_change::HealthChange;
pub use minion_state::MinionState;
pub use speed::MinionSpeed;
