//! Timers of an entry.

use std::collections::BTreeSet;
use std::time::Instant;

use knapweedrill_derive::key;

use super::Requester;
use crate::common::JobId;

/// The action of a timer.
#[key]
pub(super) enum Timer {
    /// Ends a job whose deadline has passed.
    Deadline {
        /// The job.
        job: JobId,
    },
    /// Ends the wait of a requester for a job.
    Wait {
        /// The job.
        job: JobId,
        /// The requester.
        requester: Requester,
    },
}

/// Timers in order of time.
///
/// Timers are not cancelled; the handler ignores one whose job or requester is gone.
#[derive(Debug, Default)]
pub(super) struct Timers {
    timers: BTreeSet<(Instant, Timer)>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Instant, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Removes and returns the earliest timer if it is due.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        let (at, _) = self.timers.first()?;
        if *at > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }
}
