//! Minions, the back ends that run tasks: announcements, outlier detection and speed estimates.

mod announcement;
mod ended_counts;
mod health;
mod speed;

pub use announcement::{Announcement, MinionState};
pub use ended_counts::EndedCounts;
pub use health::{HealthChange, ServiceHealth};
pub use speed::MinionSpeed;
