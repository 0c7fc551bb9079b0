//! The part of the time line that one process records.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use knapweedrill::common::{HybridClock, HybridTime, Incarnation, ProcessName};
use knapweedrill::event::{Event, EventKind, EventRing};

/// Records the events of a process, stamped by its hybrid clock; shared between threads.
#[derive(Debug)]
pub struct Timeline {
    process: ProcessName,
    incarnation: Incarnation,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    clock: HybridClock,
    ring: EventRing,
}

impl Timeline {
    /// Creates the recorder of a process that keeps the latest `capacity_count` events.
    pub fn new(
        process: impl Into<ProcessName>,
        incarnation: Incarnation,
        capacity_count: usize,
    ) -> Self {
        Self {
            process: process.into(),
            incarnation,
            state: Mutex::new(State {
                clock: HybridClock::new(),
                ring: EventRing::new(capacity_count),
            }),
        }
    }

    /// Records that something happened now, and returns its stamp.
    pub fn record(&self, kind: EventKind) -> HybridTime {
        let mut state = self.lock();
        let at = state.clock.tick(wall_us());
        state.ring.push(Event {
            at,
            process: self.process.clone(),
            incarnation: self.incarnation,
            kind,
        });
        at
    }

    /// Returns a stamp for a message that is about to be sent.
    pub fn stamp(&self) -> HybridTime {
        self.lock().clock.tick(wall_us())
    }

    /// Moves the clock past the stamp of a message that was received.
    pub fn observe(&self, received: HybridTime) {
        self.lock().clock.observe(received);
    }

    /// Returns the events that are kept, the oldest first.
    pub fn snapshot(&self) -> Vec<Event> {
        self.lock().ring.iter().cloned().collect()
    }

    /// Returns how many events were dropped to make room.
    pub fn dropped_count(&self) -> u64 {
        self.lock().ring.dropped_count()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Neither clock nor ring is left half changed by a panic, so a poisoned lock is usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn wall_us() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
