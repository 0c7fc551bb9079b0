//! Fault cases of the log and of configurations.

pub(super) mod answers_lost;
pub(super) mod down;
pub(super) mod down_without_peers;
mod operator;
pub(super) mod operators_race;
pub(super) mod record_invalid;
pub(super) mod retention_passed;
pub(super) mod slow;

use operator::{Operator, finish_with_version_check, set_log_mode};
