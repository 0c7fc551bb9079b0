//! Polls the processes for events while they run.

use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use knapweedrill::api::EventsResponse;
use knapweedrill::common::{Incarnation, ProcessName};

use crate::checker::{Availability, History};
use crate::harness::EntryApi;
use crate::wall_clock::wall_us;

/// The time between two polls of the processes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// A process that the observer polls.
#[derive(Debug, Clone)]
pub(super) struct ObservedProcess {
    pub(super) name: ProcessName,
    pub(super) api: EntryApi,
}

/// Records the events and the availability of processes.
#[derive(Debug)]
pub(super) struct Observer {
    processes: Vec<ObservedProcess>,
    history: History,
    availabilities: BTreeMap<ProcessName, Availability>,
}

impl Observer {
    pub(super) fn new(processes: Vec<ObservedProcess>) -> Self {
        Self {
            processes,
            history: History::new(),
            availabilities: BTreeMap::new(),
        }
    }

    /// Polls the processes periodically until the sender of `end` is dropped.
    pub(super) fn run(mut self, end: &Receiver<()>) -> Self {
        while end.recv_timeout(POLL_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            self.poll();
        }
        self.poll();
        self
    }

    /// Collects the events of all processes that respond.
    pub(super) fn poll(&mut self) {
        for process in &self.processes {
            let response = process.api.get("/v1/events");
            let Ok(response) = response.and_then(|response| response.json::<EventsResponse>())
            else {
                continue;
            };
            extend_availability(&mut self.availabilities, &process.name, &response);
            self.history.add_events(response.events);
        }
    }

    /// Returns the incarnation of each process that has responded.
    pub(super) fn incarnations(&self) -> BTreeMap<ProcessName, Incarnation> {
        let availabilities = self.availabilities.iter();
        availabilities
            .map(|(name, availability)| (name.clone(), availability.incarnation))
            .collect()
    }

    /// Returns the collected events and availabilities.
    pub(super) fn into_history(mut self) -> History {
        for availability in self.availabilities.into_values() {
            self.history.add_availability(availability);
        }
        self.history
    }
}

/// Extends the availability of a process that responded to the current time.
fn extend_availability(
    availabilities: &mut BTreeMap<ProcessName, Availability>,
    name: &ProcessName,
    response: &EventsResponse,
) {
    let Some(event) = response.events.last() else {
        return;
    };
    let now_us = wall_us();
    let availability = availabilities
        .entry(name.clone())
        .or_insert_with(|| Availability {
            process: name.clone(),
            incarnation: event.incarnation,
            from_us: now_us,
            until_us: now_us,
        });
    availability.until_us = now_us;
}
