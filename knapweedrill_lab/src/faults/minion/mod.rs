//! Fault cases of faulty minions.

pub(super) mod answers_late;
pub(super) mod breaks_off;
pub(super) mod fails_everything;
pub(super) mod fewer_slots;
pub(super) mod never_answers;
