//! Observes the processes while they run.

use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use knapweedrill::api::EventsResponse;
use knapweedrill::common::{Incarnation, ProcessName};

use crate::checker::{Availability, History};
use crate::harness::EntryApi;
use crate::wall_clock::wall_us;

/// The time from one look at the processes to the next.
const INTERVAL: Duration = Duration::from_secs(1);

/// A process to observe.
#[derive(Debug, Clone)]
pub(super) struct Observed {
    pub(super) name: ProcessName,
    pub(super) api: EntryApi,
}

/// Observes the events and the availability of processes.
#[derive(Debug)]
pub(super) struct Observer {
    processes: Vec<Observed>,
    history: History,
    seen: BTreeMap<ProcessName, Availability>,
}

impl Observer {
    pub(super) fn new(processes: Vec<Observed>) -> Self {
        Self {
            processes,
            history: History::new(),
            seen: BTreeMap::new(),
        }
    }

    /// Looks at the processes again and again until the sender at the other end is dropped.
    pub(super) fn run(mut self, end: &Receiver<()>) -> Self {
        while end.recv_timeout(INTERVAL) == Err(RecvTimeoutError::Timeout) {
            self.look();
        }
        self.look();
        self
    }

    /// Looks at all processes once.
    pub(super) fn look(&mut self) {
        for process in &self.processes {
            let answer = process.api.get("/v1/events");
            let Ok(answer) = answer.and_then(|answer| answer.json::<EventsResponse>()) else {
                continue;
            };
            note_seen(&mut self.seen, &process.name, &answer);
            self.history.add_events(answer.events);
        }
    }

    /// Returns the run of each process that was seen.
    pub(super) fn incarnations(&self) -> BTreeMap<ProcessName, Incarnation> {
        let seen = self.seen.iter();
        seen.map(|(name, seen)| (name.clone(), seen.incarnation))
            .collect()
    }

    /// Returns what was observed.
    pub(super) fn into_history(mut self) -> History {
        for availability in self.seen.into_values() {
            self.history.add_availability(availability);
        }
        self.history
    }
}

fn note_seen(
    seen: &mut BTreeMap<ProcessName, Availability>,
    name: &ProcessName,
    answer: &EventsResponse,
) {
    let Some(event) = answer.events.last() else {
        return;
    };
    let now_us = wall_us();
    let availability = seen.entry(name.clone()).or_insert_with(|| Availability {
        process: name.clone(),
        incarnation: event.incarnation,
        from_us: now_us,
        until_us: now_us,
    });
    availability.until_us = now_us;
}
