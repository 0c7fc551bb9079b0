//! A ring buffer of events.

use std::collections::VecDeque;

use super::Event;

/// A ring buffer of the latest events of a process.
#[derive(Debug)]
pub struct EventRing {
    events: VecDeque<Event>,
    capacity_count: usize,
    dropped_count: u64,
}

impl EventRing {
    /// Creates a buffer for at most `capacity_count` events.
    pub fn new(capacity_count: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity_count,
            dropped_count: 0,
        }
    }

    /// Adds an event, and drops the oldest if the buffer is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity_count {
            self.events.pop_front();
            self.dropped_count += 1;
        }
        self.events.push_back(event);
    }

    /// Returns the events, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    /// Returns the number of events dropped so far.
    pub fn dropped_count(&self) -> u64 {
        self.dropped_count
    }
}
