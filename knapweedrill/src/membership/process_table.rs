//! Live and lost processes with the latest value that each sent.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::pause_detector::PauseDetector;
use super::{ConfigurationSource, FailureDetector, MembershipSettings};
use crate::common::Incarnation;
use crate::contract::ConfigurationVersion;
use crate::message::Datagram;

/// How many lost processes are kept, so that a delayed datagram does not revive them.
const LOST_COUNT_MAX: usize = 64;

/// Processes that sent heartbeats, with the latest value of each.
#[derive(Debug)]
pub(super) struct ProcessTable<T> {
    live: BTreeMap<Incarnation, LiveProcess<T>>,
    /// The lost processes; the most recent is at the back.
    lost: VecDeque<LostProcess<T>>,
    /// The heartbeat interval that is assumed after the first heartbeat of a process.
    expected_interval: Duration,
    pause_detector: PauseDetector,
}

#[derive(Debug)]
struct LiveProcess<T> {
    value: T,
    sequence: u64,
    configuration: Option<ConfigurationVersion>,
    failure_detector: FailureDetector,
}

#[derive(Debug)]
struct LostProcess<T> {
    incarnation: Incarnation,
    sequence: u64,
    value: T,
}

/// The value that a process sent before its latest heartbeat.
#[derive(Debug)]
pub(super) enum PreviousValue<T> {
    /// The process is new, or was lost.
    Absent,
    /// The previous value.
    Present(T),
}

impl<T> ProcessTable<T> {
    pub(super) fn new(expected_interval: Duration) -> Self {
        Self {
            live: BTreeMap::new(),
            lost: VecDeque::new(),
            expected_interval,
            pause_detector: PauseDetector::default(),
        }
    }

    /// Returns whether a datagram is newer than all earlier datagrams of its sender.
    pub(super) fn is_fresh(&self, datagram: &Datagram) -> bool {
        let live = self
            .live
            .get(&datagram.sender)
            .map(|process| process.sequence);
        let lost = || {
            let lost = self
                .lost
                .iter()
                .find(|lost| lost.incarnation == datagram.sender);
            lost.map(|lost| lost.sequence)
        };
        live.or_else(lost)
            .is_none_or(|sequence| datagram.sequence > sequence)
    }

    /// Records a fresh datagram and returns the previous value of its sender.
    pub(super) fn record_heartbeat(
        &mut self,
        datagram: &Datagram,
        value: T,
        now: Instant,
    ) -> PreviousValue<T> {
        let Some(process) = self.live.get_mut(&datagram.sender) else {
            self.lost.retain(|lost| lost.incarnation != datagram.sender);
            let process = LiveProcess {
                value,
                sequence: datagram.sequence,
                configuration: datagram.configuration,
                failure_detector: FailureDetector::new(self.expected_interval, now),
            };
            self.live.insert(datagram.sender, process);
            return PreviousValue::Absent;
        };
        process.sequence = datagram.sequence;
        // Configuration versions only increase; a process never returns to an older one.
        process.configuration = process.configuration.max(datagram.configuration);
        process.failure_detector.record_heartbeat(now);
        PreviousValue::Present(std::mem::replace(&mut process.value, value))
    }

    /// Removes and returns the processes that have been silent for longer than their timeout.
    ///
    /// After a pause of this process none is removed until the queued datagrams have been read.
    pub(super) fn expire(
        &mut self,
        settings: &MembershipSettings,
        now: Instant,
    ) -> Vec<Incarnation> {
        if self
            .pause_detector
            .is_recovering(settings.suspicion_timeout_min, now)
        {
            return Vec::new();
        }
        let suspects: Vec<Incarnation> = self
            .live
            .iter()
            .filter(|(_, process)| process.failure_detector.is_suspect(settings, now))
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in &suspects {
            self.mark_lost(*incarnation);
        }
        suspects
    }

    fn mark_lost(&mut self, incarnation: Incarnation) {
        let Some(process) = self.live.remove(&incarnation) else {
            return;
        };
        if self.lost.len() == LOST_COUNT_MAX {
            self.lost.pop_front();
        }
        self.lost.push_back(LostProcess {
            incarnation,
            sequence: process.sequence,
            value: process.value,
        });
    }

    pub(super) fn is_live(&self, incarnation: Incarnation) -> bool {
        self.live.contains_key(&incarnation)
    }

    pub(super) fn live(&self) -> impl Iterator<Item = &T> {
        self.live.values().map(|process| &process.value)
    }

    pub(super) fn live_count(&self) -> usize {
        self.live.len()
    }

    /// Returns the lost process with this number, modulo their count.
    pub(super) fn lost_round_robin(&self, number: u64) -> Option<&T> {
        let count = self.lost.len() as u64;
        let index = number.checked_rem(count)?;
        self.lost.get(index as usize).map(|lost| &lost.value)
    }

    /// Returns the configuration that each live process has in force.
    pub(super) fn configurations(
        &self,
    ) -> impl Iterator<Item = (Incarnation, Option<ConfigurationVersion>)> {
        self.live
            .iter()
            .map(|(peer, process)| (*peer, process.configuration))
    }

    /// Returns the live process that has the newest configuration.
    pub(super) fn newest_configuration(&self) -> Option<ConfigurationSource> {
        self.live
            .iter()
            .filter_map(|(peer, process)| {
                let (peer, version) = (*peer, process.configuration?);
                Some(ConfigurationSource { peer, version })
            })
            .max_by_key(|source| source.version)
    }
}
