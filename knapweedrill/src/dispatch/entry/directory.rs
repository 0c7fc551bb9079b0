//! The directory of all sidecars that an entry knows of.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Instant;

use crate::common::ServiceName;
use crate::dispatch::SidecarRecord;

/// How many sidecars an entry considers, in its order of preference. Bounds the cost of a search
/// in a large fleet.
const SCAN_MAX: usize = 512;

/// The sort key of a sidecar: its rendezvous hash, then its position in the directory.
type Rank = (u64, usize);

/// The source of a sidecar's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store or the sidecar itself; authoritative.
    First,
    /// Another entry; its information may be stale.
    Entry,
}

/// A sidecar in the directory.
#[derive(Debug)]
struct KnownSidecar {
    record: SidecarRecord,
    /// The end of the backoff after a failed connection, if one is in force.
    backoff_until: Option<Instant>,
}

/// The sidecars that an entry knows of, by the names of their VMs.
///
/// Each entry ranks the sidecars by rendezvous hashing with a seed of its own. The ranking does not
/// depend on the order in which sidecars are learnt, each sidecar is preferred by about as many
/// entries, and a new sidecar displaces few others.
#[derive(Debug)]
pub struct Directory {
    seed: u64,
    ranked: BTreeSet<Rank>,
    sidecars: Vec<KnownSidecar>,
    by_vm: HashMap<String, usize>,
    by_address: HashMap<SocketAddr, usize>,
    service_counts: HashMap<ServiceName, usize>,
}

impl Directory {
    /// Creates an empty directory; `seed` determines the order of preference.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ranked: BTreeSet::new(),
            sidecars: Vec::new(),
            by_vm: HashMap::new(),
            by_address: HashMap::new(),
            service_counts: HashMap::new(),
        }
    }

    /// Returns the number of known sidecars.
    pub fn len(&self) -> usize {
        self.sidecars.len()
    }

    /// Returns the number of known sidecars of a service.
    pub(super) fn count_of(&self, service: &str) -> usize {
        self.service_counts.get(service).copied().unwrap_or(0)
    }

    /// Returns whether no sidecar is known.
    pub fn is_empty(&self) -> bool {
        self.sidecars.is_empty()
    }

    /// Adds or updates the record of a sidecar and returns whether anything changed.
    ///
    /// An authoritative source always wins. A record from a peer is accepted for an unknown
    /// sidecar, or if it has a new address for a sidecar that did not answer.
    pub fn upsert(&mut self, record: SidecarRecord, source: Source) -> bool {
        let Some(position) = self.by_vm.get(&record.vm).copied() else {
            *self
                .service_counts
                .entry(record.service.clone())
                .or_default() += 1;
            self.by_vm.insert(record.vm.clone(), self.sidecars.len());
            self.by_address.insert(record.address, self.sidecars.len());
            self.ranked
                .insert((rank(self.seed, &record.vm), self.sidecars.len()));
            self.sidecars.push(KnownSidecar {
                record,
                backoff_until: None,
            });
            return true;
        };
        let known = &mut self.sidecars[position];
        let is_accepted = source == Source::First
            || (known.backoff_until.is_some() && known.record.address != record.address);
        if known.record == record || !is_accepted {
            return false;
        }
        if known.record.address != record.address {
            // The former address may have been reused by another sidecar meanwhile.
            if self.by_address.get(&known.record.address) == Some(&position) {
                self.by_address.remove(&known.record.address);
            }
            self.by_address.insert(record.address, position);
            known.backoff_until = None;
        }
        if known.record.service != record.service {
            if let Some(count) = self.service_counts.get_mut(&known.record.service) {
                *count -= 1;
            }
            *self
                .service_counts
                .entry(record.service.clone())
                .or_default() += 1;
        }
        known.record = record;
        true
    }

    /// Excludes a sidecar that did not answer from the preferred ones until the given time.
    pub(super) fn back_off(&mut self, address: SocketAddr, until: Instant) {
        if let Some(position) = self.by_address.get(&address) {
            self.sidecars[*position].backoff_until = Some(until);
        }
    }

    /// Ends the backoff of a sidecar that has answered.
    pub(super) fn resume(&mut self, address: SocketAddr) {
        if let Some(position) = self.by_address.get(&address) {
            self.sidecars[*position].backoff_until = None;
        }
    }

    /// Returns the record at an address.
    pub(super) fn record_at(&self, address: SocketAddr) -> Option<&SidecarRecord> {
        let position = *self.by_address.get(&address)?;
        Some(&self.sidecars[position].record)
    }

    /// Returns the records of the sidecars that are not in backoff, in the order of preference.
    pub(super) fn preferred(&self, now: Instant) -> impl Iterator<Item = &SidecarRecord> {
        self.ranked
            .iter()
            .take(SCAN_MAX)
            .map(|(_, position)| &self.sidecars[*position])
            .filter(move |known| known.backoff_until.is_none_or(|until| until <= now))
            .map(|known| &known.record)
    }

    /// Returns the rank of the sidecar at an address; lower is preferred.
    pub(super) fn rank_of(&self, address: SocketAddr) -> u64 {
        self.record_at(address)
            .map_or(u64::MAX, |record| rank(self.seed, &record.vm))
    }

    /// Returns the records from `offset` on, in the order in which they were learnt.
    pub fn page(&self, offset: usize) -> impl Iterator<Item = &SidecarRecord> {
        self.sidecars.iter().skip(offset).map(|known| &known.record)
    }

    /// Returns the record at a position modulo the size of the directory.
    pub(super) fn nth_wrapping(&self, position: usize) -> Option<&SidecarRecord> {
        let known = self.sidecars.get(position % self.len().max(1))?;
        Some(&known.record)
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
