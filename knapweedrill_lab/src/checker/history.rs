//! The history of observations that the checker works on.

use std::collections::BTreeMap;

use knapweedrill::common::{HybridTime, Incarnation, ProcessName};
use knapweedrill::event::Event;

use super::{
    Apply, Availability, ConfigurationObservation, Departure, MinionStart, PlannedStop, Submission,
};
use crate::stand_in::minion::StartsResponse;

/// The observations of one run of the system.
#[derive(Debug, Clone, Default)]
pub struct History {
    submissions: Vec<Submission>,
    starts: BTreeMap<ProcessName, Vec<MinionStart>>,
    events: BTreeMap<(Incarnation, HybridTime), Event>,
    departures: Vec<Departure>,
    planned_stops: Vec<PlannedStop>,
    applies: Vec<Apply>,
    configuration_observations: Vec<ConfigurationObservation>,
    availabilities: Vec<Availability>,
}

/// Adding observations.
impl History {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a submission and its answer.
    pub fn add_submission(&mut self, submission: Submission) {
        self.submissions.push(submission);
    }

    /// Adds a start of a task, as its minion recorded it.
    pub fn add_start(&mut self, start: MinionStart) {
        self.starts
            .entry(start.minion.clone())
            .or_default()
            .push(start);
    }

    /// Replaces the known starts of a minion by those in its answer, and adds its departure.
    ///
    /// A minion only appends to its list, so a list shorter than the known one is ignored. The
    /// name identifies one run of the minion's process; a restarted minion gets a new name.
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

    /// Adds events of processes; events that were added before are ignored.
    pub fn add_events(&mut self, events: impl IntoIterator<Item = Event>) {
        for event in events {
            self.events.insert((event.incarnation, event.at), event);
        }
    }

    /// Adds the announcement of a minion that it leaves.
    pub fn add_departure(&mut self, departure: Departure) {
        self.departures.push(departure);
    }

    /// Adds the planned stop of a process.
    pub fn add_planned_stop(&mut self, planned_stop: PlannedStop) {
        self.planned_stops.push(planned_stop);
    }

    /// Adds an attempt to apply a configuration.
    pub fn add_apply(&mut self, apply: Apply) {
        self.applies.push(apply);
    }

    /// Adds a configuration version that a process reported to have in force.
    pub fn add_configuration_observation(&mut self, observation: ConfigurationObservation) {
        self.configuration_observations.push(observation);
    }

    /// Adds a period in which a process was available.
    pub fn add_availability(&mut self, availability: Availability) {
        self.availabilities.push(availability);
    }

    /// Adds all observations of another history.
    ///
    /// For a minion in both histories, the longer list of starts is kept.
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
        self.configuration_observations
            .extend(other.configuration_observations);
        self.availabilities.extend(other.availabilities);
    }
}

/// Reading observations.
impl History {
    /// Returns the submissions in the order of their addition.
    pub fn submissions(&self) -> &[Submission] {
        &self.submissions
    }

    /// Returns the starts that minions recorded.
    pub fn starts(&self) -> impl Iterator<Item = &MinionStart> {
        self.starts.values().flatten()
    }

    /// Returns the starts that a minion recorded; none if the minion is unknown.
    pub fn starts_at(&self, minion: &str) -> &[MinionStart] {
        self.starts.get(minion).map_or(&[], Vec::as_slice)
    }

    /// Returns the events, grouped by run of a process and in the order of its clock.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.values()
    }

    /// Returns the announcements of minions that they leave.
    pub fn departures(&self) -> &[Departure] {
        &self.departures
    }

    /// Returns the planned stops of processes.
    pub fn planned_stops(&self) -> &[PlannedStop] {
        &self.planned_stops
    }

    /// Returns the attempts to apply a configuration.
    pub fn applies(&self) -> &[Apply] {
        &self.applies
    }

    /// Returns the configuration versions that processes reported to have in force.
    pub fn configuration_observations(&self) -> &[ConfigurationObservation] {
        &self.configuration_observations
    }

    /// Returns the periods in which processes were available.
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
