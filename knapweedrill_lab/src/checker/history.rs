//! A history of observations.

use std::collections::BTreeMap;

use knapweedrill::common::{HybridTime, Incarnation, ProcessName};
use knapweedrill::event::Event;

use super::{
    Apply, Availability, ConfigurationSighting, Departure, MinionStart, PlannedStop, Submission,
};
use crate::stand_in::minion::StartsResponse;

/// What was observed of a run of the system.
#[derive(Debug, Clone, Default)]
pub struct History {
    submissions: Vec<Submission>,
    starts: BTreeMap<ProcessName, Vec<MinionStart>>,
    events: BTreeMap<(Incarnation, HybridTime), Event>,
    departures: Vec<Departure>,
    planned_stops: Vec<PlannedStop>,
    applies: Vec<Apply>,
    sightings: Vec<ConfigurationSighting>,
    availabilities: Vec<Availability>,
}

/// Adding observations.
impl History {
    /// Creates a history in which nothing was observed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a submission.
    pub fn add_submission(&mut self, submission: Submission) {
        self.submissions.push(submission);
    }

    /// Adds a start.
    pub fn add_start(&mut self, start: MinionStart) {
        self.starts
            .entry(start.minion.clone())
            .or_default()
            .push(start);
    }

    /// Replaces what is known of a minion's starts and departure by what it tells now.
    ///
    /// A minion only adds to its list, so the longest list told is the whole. The name stands
    /// for one run of the minion's process; a minion that is started again gets another name.
    pub fn observe_minion(&mut self, minion: impl Into<ProcessName>, answer: &StartsResponse) {
        let minion = minion.into();
        let known_count = self.starts.get(&minion).map_or(0, Vec::len);
        if answer.starts.len() >= known_count {
            let starts = starts_of(&minion, answer);
            self.starts.insert(minion.clone(), starts);
        }
        let is_known = self.departures.iter().any(|known| known.minion == minion);
        if let Some(announced_us) = answer.leaving_since_us.filter(|_| !is_known) {
            self.add_departure(Departure {
                minion,
                announced_us,
            });
        }
    }

    /// Adds events of processes; an event that is known already is not added again.
    pub fn add_events(&mut self, events: impl IntoIterator<Item = Event>) {
        for event in events {
            self.events.insert((event.incarnation, event.at), event);
        }
    }

    /// Adds the departure of a minion.
    pub fn add_departure(&mut self, departure: Departure) {
        self.departures.push(departure);
    }

    /// Adds a planned stop.
    pub fn add_planned_stop(&mut self, planned_stop: PlannedStop) {
        self.planned_stops.push(planned_stop);
    }

    /// Adds an apply.
    pub fn add_apply(&mut self, apply: Apply) {
        self.applies.push(apply);
    }

    /// Adds a version seen in a process.
    pub fn add_sighting(&mut self, sighting: ConfigurationSighting) {
        self.sightings.push(sighting);
    }

    /// Adds a span in which a process was available.
    pub fn add_availability(&mut self, availability: Availability) {
        self.availabilities.push(availability);
    }

    /// Adds all observations of another history.
    ///
    /// Of a minion that both know, the longer list of starts stays.
    pub fn merge(&mut self, other: Self) {
        self.submissions.extend(other.submissions);
        for (minion, starts) in other.starts {
            let known = self.starts.entry(minion).or_default();
            if starts.len() >= known.len() {
                *known = starts;
            }
        }
        self.events.extend(other.events);
        self.departures.extend(other.departures);
        self.planned_stops.extend(other.planned_stops);
        self.applies.extend(other.applies);
        self.sightings.extend(other.sightings);
        self.availabilities.extend(other.availabilities);
    }
}

/// Reading observations.
impl History {
    /// Returns the submissions.
    pub fn submissions(&self) -> &[Submission] {
        &self.submissions
    }

    /// Returns the starts that minions saw.
    pub fn starts(&self) -> impl Iterator<Item = &MinionStart> {
        self.starts.values().flatten()
    }

    /// Returns the starts that one minion saw.
    pub fn starts_at(&self, minion: &str) -> &[MinionStart] {
        self.starts.get(minion).map_or(&[], Vec::as_slice)
    }

    /// Returns the events, those of a run of a process together and in order.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.values()
    }

    /// Returns the departures.
    pub fn departures(&self) -> &[Departure] {
        &self.departures
    }

    /// Returns the planned stops.
    pub fn planned_stops(&self) -> &[PlannedStop] {
        &self.planned_stops
    }

    /// Returns the applies.
    pub fn applies(&self) -> &[Apply] {
        &self.applies
    }

    /// Returns the versions seen in processes.
    pub fn sightings(&self) -> &[ConfigurationSighting] {
        &self.sightings
    }

    /// Returns the spans in which processes were available.
    pub fn availabilities(&self) -> &[Availability] {
        &self.availabilities
    }
}

fn starts_of(minion: &ProcessName, answer: &StartsResponse) -> Vec<MinionStart> {
    let starts = answer.starts.iter();
    starts
        .map(|record| MinionStart {
            minion: minion.clone(),
            task: record.task.0,
            attempt: record.attempt,
            start_us: record.start_us,
            end_us: record.end_us,
        })
        .collect()
}
