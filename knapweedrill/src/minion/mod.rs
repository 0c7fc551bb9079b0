//! Minions: the back ends that run tasks.

mod announcement;
mod health;
mod speed;

pub use announcement::{Announcement, MinionState};
pub use health::{HealthChange, ServiceHealth};
pub use speed::MinionSpeed;
