//! Minions: the back ends that run tasks.

mod announcement;

pub use announcement::{Announcement, MinionState};
