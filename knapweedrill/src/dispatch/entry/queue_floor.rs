//! The minimum share of each priority in what is placed.

use std::time::Instant;

use smallvec::SmallVec;

use super::jobs::Jobs;
use super::priority_rates::PriorityRates;
use super::queue::{QueuePosition, WaitingJobs};

/// The part of the placed work that each priority with waiting work keeps, in percent.
const QUEUE_FLOOR_PERCENT: u64 = 20;

/// The part of the placed work that the floors of all lower priorities together may take, in percent,
/// so that most of it stays with the more urgent ones.
const LOWER_FLOORS_PERCENT_MAX: u64 = 60;

/// Returns the part of a rate that is the floor of one priority.
pub(super) fn floor_of(rate: u64) -> u64 {
    rate.saturating_mul(QUEUE_FLOOR_PERCENT) / 100
}

/// Returns what the floors of so many lower priorities leave of a rate.
pub(super) fn left_by_floors(rate: u64, lower_count: u64) -> u64 {
    let taken_percent = (lower_count * QUEUE_FLOOR_PERCENT).min(LOWER_FLOORS_PERCENT_MAX);
    rate.saturating_mul(100 - taken_percent) / 100
}

/// The next job of one priority in a round of placement.
#[derive(Debug)]
struct Cursor {
    next: Option<QueuePosition>,
    priority: u8,
    /// Whether the priority may still go first if it is below its floor.
    has_floor: bool,
}

/// The order in which jobs are visited in one round of placement.
///
/// It is the queue order, except that a priority gives way to a lower one below its floor once it has
/// used up, together with higher ones, what the floors leave. So floors are taken from the least
/// urgent work, and an urgent priority within its part is never delayed by them.
#[derive(Debug)]
pub(super) struct PlacementOrder {
    /// One cursor for each priority with waiting jobs, most urgent first.
    cursors: SmallVec<[Cursor; 4]>,
}

impl PlacementOrder {
    /// Begins a round. Without `has_floors` it follows the queue order.
    pub(super) fn new(waiting: &WaitingJobs, has_floors: bool) -> Self {
        let cursors = waiting.first_of_priorities().map(|position| Cursor {
            next: Some(position),
            priority: position.priority(),
            has_floor: has_floors,
        });
        Self {
            cursors: cursors.collect(),
        }
    }

    /// Returns the next job to visit. `placed` is the work that was placed recently.
    pub(super) fn next(
        &mut self,
        jobs: &Jobs,
        placed: &PriorityRates,
        now: Instant,
    ) -> Option<QueuePosition> {
        let total = placed.total_work(now);
        let is_below_floor = |cursor: &Cursor| {
            let is_below = placed.work_of(cursor.priority, now) < floor_of(total);
            // A job of which only a part runs is late, and that part in vain.
            let takes_floor = |next: QueuePosition| {
                let job = jobs.get(next.job());
                is_below || job.is_some_and(|job| job.started_count > 0)
            };
            cursor.has_floor && cursor.next.is_some_and(takes_floor)
        };
        let mut chosen = None;
        // From the least urgent priority on.
        let mut lower_count = 0;
        let mut has_lower_below = false;
        for (index, cursor) in self.cursors.iter().enumerate().rev() {
            if cursor.next.is_none() {
                continue;
            }
            let is_below = is_below_floor(cursor);
            let left = left_by_floors(total, lower_count);
            if is_below || !has_lower_below || placed.work_up_to(cursor.priority, now) <= left {
                chosen = Some(index);
            }
            lower_count += 1;
            has_lower_below |= is_below;
        }
        let cursor = &mut self.cursors[chosen?];
        let position = cursor.next?;
        cursor.next = jobs.waiting().after(&position);
        Some(position)
    }

    /// Records that a job could not be placed. Its priority no longer goes first in this round, so
    /// that jobs that fit nowhere do not keep the others waiting.
    pub(super) fn record_skipped(&mut self, position: &QueuePosition) {
        let mut cursors = self.cursors.iter_mut();
        if let Some(cursor) = cursors.find(|cursor| cursor.priority == position.priority()) {
            cursor.has_floor = false;
        }
    }
}
