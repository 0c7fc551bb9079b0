//! The sidecars that an entry has heard of.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Instant;

use crate::common::ServiceName;
use crate::dispatch::Place;

/// How far down its order of preference an entry looks for a sidecar, so that the cost does not grow with
/// the fleet.
const SCAN_MAX: usize = 512;

/// A number by which an entry orders the sidecars.
type Rank = (u64, usize);

/// How an entry has heard of a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store has told, or the sidecar itself.
    First,
    /// Another entry has told; what it knows may be old.
    Entry,
}

/// A sidecar that an entry has heard of.
#[derive(Debug)]
struct KnownSidecar {
    place: Place,
    /// Until when it is not to be tried again, since it did not answer.
    paused_until: Option<Instant>,
}

/// The sidecars that an entry has heard of, by the names of their VMs.
///
/// Each entry has an order of preference of its own, by a hash of the sidecar and the entry (rendezvous
/// hashing): whenever and in whichever order sidecars are heard of, each is preferred by about as many
/// entries, and a new one takes the place of few.
#[derive(Debug)]
pub struct Directory {
    seed: u64,
    ranked: BTreeSet<Rank>,
    known: Vec<KnownSidecar>,
    by_vm: HashMap<String, usize>,
    by_address: HashMap<SocketAddr, usize>,
    service_counts: HashMap<ServiceName, usize>,
}

impl Directory {
    /// Creates a directory whose order of preference starts from a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ranked: BTreeSet::new(),
            known: Vec::new(),
            by_vm: HashMap::new(),
            by_address: HashMap::new(),
            service_counts: HashMap::new(),
        }
    }

    /// Returns how many sidecars are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns how many sidecars of a service are known.
    pub(super) fn count_of(&self, service: &str) -> usize {
        self.service_counts.get(service).copied().unwrap_or(0)
    }

    /// Returns whether no sidecar is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Takes in where a sidecar is; returns whether that is new.
    pub fn learn(&mut self, place: Place, source: Source) -> bool {
        let Some(position) = self.by_vm.get(&place.vm).copied() else {
            *self
                .service_counts
                .entry(place.service.clone())
                .or_default() += 1;
            self.by_vm.insert(place.vm.clone(), self.known.len());
            self.by_address.insert(place.address, self.known.len());
            self.ranked
                .insert((rank(self.seed, &place.vm), self.known.len()));
            self.known.push(KnownSidecar {
                place,
                paused_until: None,
            });
            return true;
        };
        let known = &mut self.known[position];
        let is_believed = source == Source::First
            || (known.paused_until.is_some() && known.place.address != place.address);
        if known.place == place || !is_believed {
            return false;
        }
        if known.place.address != place.address {
            self.by_address.remove(&known.place.address);
            self.by_address.insert(place.address, position);
            known.paused_until = None;
        }
        if known.place.service != place.service {
            if let Some(count) = self.service_counts.get_mut(&known.place.service) {
                *count -= 1;
            }
            *self
                .service_counts
                .entry(place.service.clone())
                .or_default() += 1;
        }
        known.place = place;
        true
    }

    /// Notes that a sidecar did not answer, and is not to be tried before a moment.
    pub(super) fn pause(&mut self, address: SocketAddr, until: Instant) {
        if let Some(position) = self.by_address.get(&address) {
            self.known[*position].paused_until = Some(until);
        }
    }

    /// Notes that a sidecar has answered.
    pub(super) fn resume(&mut self, address: SocketAddr) {
        if let Some(position) = self.by_address.get(&address) {
            self.known[*position].paused_until = None;
        }
    }

    /// Returns the place at an address.
    pub(super) fn place_at(&self, address: SocketAddr) -> Option<&Place> {
        let position = *self.by_address.get(&address)?;
        Some(&self.known[position].place)
    }

    /// Returns the places that may be tried, in the order of preference.
    pub(super) fn preferred(&self, now: Instant) -> impl Iterator<Item = &Place> {
        self.ranked
            .iter()
            .take(SCAN_MAX)
            .map(|(_, position)| &self.known[*position])
            .filter(move |known| known.paused_until.is_none_or(|until| until <= now))
            .map(|known| &known.place)
    }

    /// Returns the rank of the place at an address; the lowest is preferred.
    pub(super) fn rank_of(&self, address: SocketAddr) -> u64 {
        self.place_at(address)
            .map_or(u64::MAX, |place| rank(self.seed, &place.vm))
    }

    /// Returns the places from a position on.
    pub fn page(&self, skipped: usize) -> impl Iterator<Item = &Place> {
        self.known.iter().skip(skipped).map(|known| &known.place)
    }

    /// Returns the place at a position, counted around.
    pub(super) fn nth(&self, position: usize) -> Option<&Place> {
        let known = self.known.get(position % self.len().max(1))?;
        Some(&known.place)
    }
}

fn rank(seed: u64, vm: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes());
    hasher.update(vm.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
