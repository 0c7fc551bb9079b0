//! Processes that were heard.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::pause_watch::PauseWatch;
use super::{Arrivals, ConfigurationSource, MembershipSettings};
use crate::common::Incarnation;
use crate::contract::ConfigurationVersion;
use crate::message::Datagram;

/// How many lost processes are remembered, so that a late datagram does not bring them back.
const LOST_MAX_COUNT: usize = 64;

/// Processes that were heard, with what each said last.
#[derive(Debug)]
pub(super) struct Presence<T> {
    live: BTreeMap<Incarnation, Heard<T>>,
    /// The latest at the back.
    lost: VecDeque<Lost<T>>,
    /// The spacing that is assumed of a process heard once.
    expected: Duration,
    watch: PauseWatch,
}

#[derive(Debug)]
struct Heard<T> {
    value: T,
    sequence: u64,
    configuration: Option<ConfigurationVersion>,
    arrivals: Arrivals,
}

#[derive(Debug)]
struct Lost<T> {
    incarnation: Incarnation,
    sequence: u64,
    value: T,
}

/// What a process that was heard had said before.
#[derive(Debug)]
pub(super) enum Before<T> {
    /// The process is new, or was lost.
    Nothing,
    /// What it had said.
    Said(T),
}

impl<T> Presence<T> {
    pub(super) fn new(expected: Duration) -> Self {
        Self {
            live: BTreeMap::new(),
            lost: VecDeque::new(),
            expected,
            watch: PauseWatch::default(),
        }
    }

    /// Returns whether a datagram is newer than all that its sender is known to have sent.
    pub(super) fn is_fresh(&self, datagram: &Datagram) -> bool {
        let live = self.live.get(&datagram.sender).map(|heard| heard.sequence);
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

    /// Takes what a fresh datagram says.
    pub(super) fn hear(&mut self, datagram: &Datagram, value: T, now: Instant) -> Before<T> {
        let Some(heard) = self.live.get_mut(&datagram.sender) else {
            self.lost.retain(|lost| lost.incarnation != datagram.sender);
            let heard = Heard {
                value,
                sequence: datagram.sequence,
                configuration: datagram.configuration,
                arrivals: Arrivals::new(self.expected, now),
            };
            self.live.insert(datagram.sender, heard);
            return Before::Nothing;
        };
        heard.sequence = datagram.sequence;
        // Versions only rise; a process never goes back to an older one.
        heard.configuration = heard.configuration.max(datagram.configuration);
        heard.arrivals.arrived(now);
        Before::Said(std::mem::replace(&mut heard.value, value))
    }

    /// Removes the processes that have been silent for too long, and returns them.
    ///
    /// After a pause of this process nobody is removed until the datagrams that waited are read.
    pub(super) fn expire(
        &mut self,
        settings: &MembershipSettings,
        now: Instant,
    ) -> Vec<Incarnation> {
        if self.watch.is_recovering(settings.suspicion_floor, now) {
            return Vec::new();
        }
        let suspects: Vec<Incarnation> = self
            .live
            .iter()
            .filter(|(_, heard)| heard.arrivals.is_suspect(settings, now))
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in &suspects {
            self.lose(*incarnation);
        }
        suspects
    }

    fn lose(&mut self, incarnation: Incarnation) {
        let Some(heard) = self.live.remove(&incarnation) else {
            return;
        };
        if self.lost.len() == LOST_MAX_COUNT {
            self.lost.pop_front();
        }
        self.lost.push_back(Lost {
            incarnation,
            sequence: heard.sequence,
            value: heard.value,
        });
    }

    pub(super) fn is_live(&self, incarnation: Incarnation) -> bool {
        self.live.contains_key(&incarnation)
    }

    pub(super) fn live(&self) -> impl Iterator<Item = &T> {
        self.live.values().map(|heard| &heard.value)
    }

    pub(super) fn live_count(&self) -> usize {
        self.live.len()
    }

    /// Returns one of the lost processes, each in its turn.
    pub(super) fn lost_in_turn(&self, turn: u64) -> Option<&T> {
        let count = self.lost.len() as u64;
        let index = turn.checked_rem(count)?;
        self.lost.get(index as usize).map(|lost| &lost.value)
    }

    /// Returns the configuration that each live process has in force.
    pub(super) fn configurations(
        &self,
    ) -> impl Iterator<Item = (Incarnation, Option<ConfigurationVersion>)> {
        self.live
            .iter()
            .map(|(peer, heard)| (*peer, heard.configuration))
    }

    /// Returns the live process that has the newest configuration.
    pub(super) fn newest_configuration(&self) -> Option<ConfigurationSource> {
        self.live
            .iter()
            .filter_map(|(peer, heard)| {
                let (peer, version) = (*peer, heard.configuration?);
                Some(ConfigurationSource { peer, version })
            })
            .max_by_key(|source| source.version)
    }
}
