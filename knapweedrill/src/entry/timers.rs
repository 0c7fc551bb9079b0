//! What an entry does when a point in time is reached.

use std::collections::BTreeSet;
use std::time::Instant;

use knapweedrill_derive::key;

use super::Requester;
use crate::common::JobId;

/// What is to be done at a point in time.
#[key]
pub(super) enum Timer {
    /// The deadline of a job passes.
    Deadline {
        /// The job.
        job: JobId,
    },
    /// A requester's wait for a job ends.
    Wait {
        /// The job.
        job: JobId,
        /// The requester.
        requester: Requester,
    },
}

/// Timers in order of time; one whose reason is gone is ignored when it is due.
#[derive(Debug, Default)]
pub(super) struct Timers {
    timers: BTreeSet<(Instant, Timer)>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Instant, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Returns the next timer that is due, if any.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        let (at, _) = self.timers.first()?;
        if *at > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }
}
