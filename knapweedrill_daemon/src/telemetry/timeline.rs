//! The events that one process contributes to the timeline.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use knapweedrill::common::{HybridClock, HybridTime, Incarnation, ProcessName};
use knapweedrill::event::{Event, EventKind, EventRing};

/// Bounded record of a process's events, stamped by its hybrid logical clock.
///
/// It is shared between threads.
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
    /// Creates a timeline that keeps the latest `capacity_count` events of a process.
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

    /// Records an event with the current time and returns its timestamp.
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

    /// Returns a timestamp for an outgoing message.
    pub fn stamp(&self) -> HybridTime {
        self.lock().clock.tick(wall_us())
    }

    /// Advances the clock past the timestamp of a received message.
    pub fn observe(&self, received: HybridTime) {
        self.lock().clock.observe(received);
    }

    /// Returns the retained events, oldest first.
    pub fn snapshot(&self) -> Vec<Event> {
        self.lock().ring.iter().cloned().collect()
    }

    /// Returns how many events were evicted because the capacity was reached.
    pub fn dropped_count(&self) -> u64 {
        self.lock().ring.dropped_count()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic can't leave the clock or the ring partly updated, so a poisoned lock is usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn wall_us() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
