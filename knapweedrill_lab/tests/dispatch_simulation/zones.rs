//! Zones that the operator evacuates, and the store from which the entries learn of it.

use std::collections::BTreeMap;

use knapweedrill::dispatch::entry::{DomainChange, EvacuationUpdate};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::Simulation;

/// The pause between two reads of an entry from the store, in milliseconds.
const READ_PAUSE_MS: std::ops::Range<u64> = 20..120;

/// The mean number of records that the operator writes per second, in thousandths.
const RECORD_PERMILLE: u32 = 800;

/// The mean number of outages of the store per second, in thousandths.
const OUTAGE_PERMILLE: u32 = 100;

/// How long the store is down, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 300..4_000;

/// The share of reads of the log that find it discarded, in percent.
const DISCARDED_PERCENT: u32 = 3;

/// The share of reads of the newest records that are stale, in percent.
const STALE_PERCENT: u32 = 40;

/// The time after all entries know of an evacuation from which on nothing starts in the zone, in
/// milliseconds. Covers orders in flight, which a sidecar accepts for as long as their stamp is
/// fresh.
const START_BOUND_MS: u64 = 1_000;

/// A record of the operator.
#[derive(Debug, Clone, Copy)]
struct Record {
    zone: usize,
    is_evacuated: bool,
}

/// The position of an entry in the log.
#[derive(Debug, Clone, Copy, Default)]
struct Reader {
    /// The offset to read next; `None` if the newest records are read next.
    position: Option<usize>,
    next_read_ms: u64,
}

/// The zones, the records of the operator, and who has read them.
#[derive(Debug)]
pub(super) struct Zones {
    zone_count: usize,
    log: Vec<Record>,
    readers: BTreeMap<usize, Reader>,
    down_until_ms: u64,
    /// Whether the operator writes at random and the store has outages.
    is_random: bool,
    /// Draws of their own, so that those of the simulation stay as they are.
    random: SmallRng,
    /// For each evacuated zone, since when all running entries have known it.
    known_since_ms: BTreeMap<usize, u64>,
    /// The minions that started a task when it was too late for that, and when.
    late_starts: Vec<(usize, u64)>,
    /// How many tasks started while their zone was evacuated.
    evacuated_start_count: u64,
}

impl Default for Zones {
    fn default() -> Self {
        Self {
            zone_count: 0,
            log: Vec::new(),
            readers: BTreeMap::new(),
            down_until_ms: 0,
            is_random: false,
            random: SmallRng::seed_from_u64(0),
            known_since_ms: BTreeMap::new(),
            late_starts: Vec::new(),
            evacuated_start_count: 0,
        }
    }
}

impl Zones {
    pub(super) fn is_used(&self) -> bool {
        self.zone_count > 0
    }

    /// Returns the failure domain of a minion; empty without zones.
    pub(super) fn domain(&self, minion: usize) -> String {
        match self.zone_count {
            0 => String::new(),
            count => domain(minion % count),
        }
    }

    /// Lets a restarted entry begin with the newest records.
    pub(super) fn restart_reader(&mut self, entry: usize) {
        self.readers.insert(entry, Reader::default());
    }

    /// Returns the zones that are evacuated after so many records, with the offsets of their records.
    fn evacuated_at(&self, end: usize) -> BTreeMap<usize, u64> {
        let mut evacuated = BTreeMap::new();
        for (offset, record) in self.log[..end].iter().enumerate() {
            if record.is_evacuated {
                evacuated.insert(record.zone, offset as u64);
            } else {
                evacuated.remove(&record.zone);
            }
        }
        evacuated
    }

    pub(super) fn record_start(&mut self, minion: usize, now_ms: u64) {
        if !self.is_used() {
            return;
        }
        let zone = minion % self.zone_count;
        if self.evacuated_at(self.log.len()).contains_key(&zone) {
            self.evacuated_start_count += 1;
        }
        let known_since_ms = self.known_since_ms.get(&zone);
        if known_since_ms.is_some_and(|since_ms| now_ms > since_ms + START_BOUND_MS) {
            self.late_starts.push((minion, now_ms));
        }
    }

    /// Draws what the operator writes and when the store is down.
    fn draw_events(&mut self, now_ms: u64) {
        if self.random.random_range(0..1_000_000) < RECORD_PERMILLE {
            let zone = self.random.random_range(0..self.zone_count);
            let is_evacuated = !self.evacuated_at(self.log.len()).contains_key(&zone);
            self.log.push(Record { zone, is_evacuated });
        }
        if self.random.random_range(0..1_000_000) < OUTAGE_PERMILLE {
            self.down_until_ms = now_ms + self.random.random_range(OUTAGE_MS);
        }
    }

    /// Returns what an entry reads from the store now, if anything.
    fn read(&mut self, entry: usize, now_ms: u64) -> Option<EvacuationUpdate> {
        let reader = self.readers.get(&entry).copied().unwrap_or_default();
        if now_ms < reader.next_read_ms || now_ms < self.down_until_ms {
            return None;
        }
        let end = self.log.len();
        let (position, update) = match reader.position {
            None => {
                let is_stale = self.is_random && self.random.random_range(0..100) < STALE_PERCENT;
                let age = if is_stale {
                    self.random.random_range(0..3)
                } else {
                    0
                };
                let end = end.saturating_sub(age);
                let evacuated = self.evacuated_at(end);
                let update = EvacuationUpdate::Snapshot {
                    revision: end as u64,
                    domains: evacuated.into_keys().map(domain).collect(),
                };
                (Some(end), update)
            }
            Some(from) => {
                let records = self.log.iter().enumerate().skip(from);
                let changes = records.map(|(offset, record)| DomainChange {
                    offset: offset as u64,
                    domain: domain(record.zone),
                    is_evacuated: record.is_evacuated,
                });
                let update = EvacuationUpdate::Changes {
                    revision: end as u64,
                    changes: changes.collect(),
                };
                let is_discarded =
                    self.is_random && self.random.random_range(0..100) < DISCARDED_PERCENT;
                ((!is_discarded).then_some(end), update)
            }
        };
        let next_read_ms = now_ms + self.random.random_range(READ_PAUSE_MS);
        let reader = Reader {
            position,
            next_read_ms,
        };
        self.readers.insert(entry, reader);
        Some(update)
    }
}

fn domain(zone: usize) -> String {
    format!("zone-{zone}")
}

impl Simulation {
    /// Spreads the minions over so many zones. Called before time advances.
    pub(crate) fn use_zones(&mut self, zone_count: usize) {
        self.zones.zone_count = zone_count;
        self.zones.random = SmallRng::seed_from_u64(self.claims.seed);
    }

    /// Sets whether the operator evacuates zones and returns them at random, and the store has outages
    /// and responds with stale records.
    pub(crate) fn set_random_evacuations(&mut self, is_random: bool) {
        self.zones.is_random = is_random;
    }

    /// Evacuates a zone or returns it to service.
    pub(crate) fn set_evacuated(&mut self, zone: usize, is_evacuated: bool) {
        self.zones.log.push(Record { zone, is_evacuated });
    }

    /// Returns all zones to service.
    pub(crate) fn return_all_zones(&mut self) {
        for zone in 0..self.zones.zone_count {
            self.set_evacuated(zone, false);
        }
    }

    /// Returns the starts of tasks in zones of which all running entries had known for longer than a
    /// bound that they are evacuated: minions and times in milliseconds.
    pub(crate) fn late_starts(&self) -> &[(usize, u64)] {
        &self.zones.late_starts
    }

    /// Returns the number of records that the operator has written, and how many tasks have started in
    /// zones that were evacuated.
    pub(crate) fn evacuation_counts(&self) -> (usize, u64) {
        (self.zones.log.len(), self.zones.evacuated_start_count)
    }

    /// Lets the operator write and the entries read.
    pub(super) fn follow_operator(&mut self) {
        if !self.zones.is_used() {
            return;
        }
        let now_ms = self.now_ms;
        if self.zones.is_random {
            let record_count = self.zones.log.len();
            self.zones.draw_events(now_ms);
            if let Some(record) = self.zones.log[record_count..].first().copied() {
                self.record_event(None, format!("operator writes {record:?}"));
            }
        }
        for index in 0..self.entry_count {
            let now = self.process_now(index);
            let node = &mut self.nodes[index];
            let is_frozen = node.frozen_until_ms > now_ms;
            let Some(entry) = node.entry.as_mut().filter(|_| !is_frozen) else {
                continue;
            };
            if let Some(update) = self.zones.read(index, now_ms) {
                entry.update_evacuations(update, now);
            }
        }
        self.note_known_evacuations();
    }

    fn note_known_evacuations(&mut self) {
        let evacuated = self.zones.evacuated_at(self.zones.log.len());
        let revisions = self.nodes.iter().filter_map(|node| node.entry.as_ref());
        let revision_min = revisions.map(|entry| entry.evacuations().revision()).min();
        let now_ms = self.now_ms;
        let known_since_ms = &mut self.zones.known_since_ms;
        known_since_ms.retain(|zone, _| evacuated.contains_key(zone));
        for (zone, offset) in evacuated {
            if revision_min.is_some_and(|revision| revision > offset) {
                known_since_ms.entry(zone).or_insert(now_ms);
            } else {
                known_since_ms.remove(&zone);
            }
        }
    }
}
