//! Gossip between entries: the version of the configuration, the evacuated failure domains and the
//! records of sidecars.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::directory::Directory;
use super::download::{Download, PART_BYTES};
use super::evacuations::Evacuations;
use crate::dispatch::configuration::{Configuration, Version};
use crate::dispatch::{Notice, SidecarRecord};

/// The interval of gossip rounds. A change reaches a hundred entries in seven rounds, well within
/// the time in which it has to be in force.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);

/// The interval without a configuration: a restarted entry can't serve callers before it has one.
const GOSSIP_INTERVAL_WITHOUT_CONFIGURATION: Duration = Duration::from_millis(100);

/// How many recently learnt sidecars a message carries, in addition to one random sidecar.
const RECENT_PER_ROUND: usize = 3;

/// How many recently learnt sidecars are remembered.
const RECENT_COUNT: usize = 32;

/// The number of sidecars in a page of the list: at about 100 bytes each a page is as long as a
/// part of a configuration.
const LIST_PAGE_LEN: usize = 80;

/// The delay before a missing page is requested again: several round trips.
const LIST_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// How often a page is requested before the transfer starts anew with another entry.
const LIST_ATTEMPTS_MAX: u32 = 10;

/// The maximum number of peers that are remembered.
const PEER_COUNT_MAX: usize = 1_024;

/// The transfer of the list of sidecars from another entry, page by page.
#[derive(Debug)]
struct ListTransfer {
    peer: SocketAddr,
    /// The number of sidecars received so far, which is the offset of the next page.
    received_count: u32,
    requested_at: Instant,
    attempt_count: u32,
}

/// The local state that gossip messages are built from.
#[derive(Debug, Clone, Copy)]
pub(super) struct LocalState<'a> {
    /// The version of the configuration in force; 0 if there is none.
    pub(super) version: Version,
    /// The known sidecars.
    pub(super) directory: &'a Directory,
    /// The evacuated failure domains.
    pub(super) evacuations: &'a Evacuations,
}

/// The gossip protocol between entries.
///
/// Each entry sends a message to one random peer at a fixed interval, so that its traffic does not
/// depend on the number of entries.
#[derive(Debug)]
pub(super) struct Gossip {
    /// The addresses of the entries that the store lists, by the names of their VMs.
    store_addresses: HashMap<String, SocketAddr>,
    /// The addresses of all known peers.
    peers: Vec<SocketAddr>,
    /// The same addresses as in `peers`, to detect duplicates.
    peer_set: HashSet<SocketAddr>,
    next_round_at: Option<Instant>,
    /// The sidecars that were learnt last, in this order.
    recent: VecDeque<SidecarRecord>,
    download: Option<Download>,
    list_transfer: Option<ListTransfer>,
    /// Whether the last transfer of the list was abandoned.
    is_list_incomplete: bool,
    /// The encoded form of the configuration that was last requested, with its version.
    encoded: Option<(Version, Vec<u8>)>,
    outgoing: Vec<(SocketAddr, Notice)>,
    random: SmallRng,
}

impl Gossip {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            store_addresses: HashMap::new(),
            peers: Vec::new(),
            peer_set: HashSet::new(),
            next_round_at: None,
            recent: VecDeque::new(),
            download: None,
            list_transfer: None,
            is_list_incomplete: false,
            encoded: None,
            outgoing: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds the address of another entry. `name` is the name of its VM if the address comes from
    /// the store; it then replaces the earlier address of that name.
    pub(super) fn add_peer(&mut self, address: SocketAddr, name: Option<String>) {
        if let Some(name) = name
            && let Some(previous) = self.store_addresses.insert(name, address)
            && previous != address
            && !self.is_listed(previous)
        {
            self.peer_set.remove(&previous);
            self.peers.retain(|peer| *peer != previous);
        }
        if self.peers.len() < PEER_COUNT_MAX && self.peer_set.insert(address) {
            self.peers.push(address);
        }
    }

    /// Returns the addresses of all known peers.
    pub(super) fn peers(&self) -> &[SocketAddr] {
        &self.peers
    }

    /// Returns whether an address is one of a known peer.
    pub(super) fn is_peer(&self, address: SocketAddr) -> bool {
        self.peer_set.contains(&address)
    }

    /// Returns whether the store lists an entry with this address.
    fn is_listed(&self, address: SocketAddr) -> bool {
        self.store_addresses
            .values()
            .any(|listed| *listed == address)
    }

    /// Remembers a sidecar as recently learnt, to spread it in the next rounds.
    pub(super) fn record_recent(&mut self, record: SidecarRecord) {
        self.recent.push_back(record);
        if self.recent.len() > RECENT_COUNT {
            self.recent.pop_front();
        }
    }

    /// Sends a notice to another entry.
    pub(super) fn send(&mut self, to: SocketAddr, notice: Notice) {
        self.outgoing.push((to, notice));
    }

    /// Returns and clears the notices to send, each with its receiver.
    pub(super) fn take_outgoing(&mut self) -> Vec<(SocketAddr, Notice)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Sends the requests that are due and starts a gossip round if its time has come.
    pub(super) fn tick(&mut self, own: LocalState<'_>, now: Instant) {
        if let Some(download) = &mut self.download {
            self.outgoing.extend(download.take_requests(now));
            if download.is_timed_out(now) {
                self.download = None;
            }
        }
        self.retry_list_request(now);
        if self.peers.is_empty() || self.next_round_at.is_some_and(|at| at > now) {
            return;
        }
        let interval = if own.version == 0 {
            GOSSIP_INTERVAL_WITHOUT_CONFIGURATION
        } else {
            GOSSIP_INTERVAL
        };
        self.next_round_at = Some(now + interval);
        let to = self.peers[self.random.random_range(0..self.peers.len())];
        let notice = self.build_notice(own, false);
        self.outgoing.push((to, notice));
    }

    /// Handles a gossip message: answers it, and requests what the peer has and this entry lacks.
    pub(super) fn handle_gossip(
        &mut self,
        from: SocketAddr,
        peer_version: Version,
        is_answer: bool,
        own: LocalState<'_>,
        now: Instant,
    ) {
        self.add_peer(from, None);
        if !is_answer {
            let notice = self.build_notice(own, true);
            self.outgoing.push((from, notice));
        }
        let needs_list = own.directory.is_empty() || self.is_list_incomplete;
        if needs_list && self.list_transfer.is_none() {
            self.request_list(from, 0, now);
        }
        let is_downloading = |download: &Download| download.version() >= peer_version;
        if peer_version > own.version && !self.download.as_ref().is_some_and(is_downloading) {
            let mut download = Download::new(peer_version, from, now);
            self.outgoing.extend(download.take_requests(now));
            self.download = Some(download);
        }
    }

    /// Sends the requested part of the configuration in force. Requests for another version are
    /// ignored.
    pub(super) fn send_part(
        &mut self,
        to: SocketAddr,
        version: Version,
        index: u32,
        configuration: &Configuration,
    ) {
        if version != configuration.version {
            return;
        }
        if self.encoded.as_ref().map(|(encoded, _)| *encoded) != Some(version) {
            match postcard::to_stdvec(configuration) {
                Ok(bytes) => self.encoded = Some((version, bytes)),
                Err(error) => {
                    log::error!(error:% = error; "configuration can't be encoded");
                    return;
                }
            }
        }
        let Some((_, bytes)) = &self.encoded else {
            return;
        };
        let count = u32::try_from(bytes.len().div_ceil(PART_BYTES)).unwrap_or(u32::MAX);
        let Some(part) = bytes.chunks(PART_BYTES).nth(index as usize) else {
            return;
        };
        let notice = Notice::ConfigurationPart {
            version,
            index,
            count,
            bytes: part.to_vec(),
        };
        self.outgoing.push((to, notice));
    }

    /// Adds a part of the configuration being downloaded and returns it if it is complete.
    pub(super) fn take_part(
        &mut self,
        version: Version,
        index: u32,
        count: u32,
        bytes: Vec<u8>,
        now: Instant,
    ) -> Option<Configuration> {
        let download = self.download.as_mut()?;
        let whole = download.take_part(version, index, count, bytes);
        self.outgoing.extend(download.take_requests(now));
        if whole.is_some() {
            self.download = None;
        }
        whole
    }

    /// Sends a page of the list of sidecars to an entry that requested it.
    pub(super) fn send_page(&mut self, to: SocketAddr, offset: u32, directory: &Directory) {
        let page = directory.page(offset as usize).take(LIST_PAGE_LEN);
        let notice = Notice::SidecarPage {
            offset,
            count: u32::try_from(directory.len()).unwrap_or(u32::MAX),
            sidecars: page.cloned().collect(),
        };
        self.outgoing.push((to, notice));
    }

    /// Handles the arrival of a page: requests the next one or ends the transfer.
    pub(super) fn handle_page(
        &mut self,
        from: SocketAddr,
        offset: u32,
        page_count: u32,
        count: u32,
        now: Instant,
    ) {
        let is_next = |list_transfer: &ListTransfer| {
            list_transfer.peer == from && list_transfer.received_count == offset
        };
        if !self.list_transfer.as_ref().is_some_and(is_next) {
            return;
        }
        let next = offset.saturating_add(page_count);
        if page_count == 0 || next >= count {
            self.list_transfer = None;
            self.is_list_incomplete = false;
        } else {
            self.request_list(from, next, now);
        }
    }

    fn request_list(&mut self, peer: SocketAddr, received_count: u32, now: Instant) {
        self.list_transfer = Some(ListTransfer {
            peer,
            received_count,
            requested_at: now,
            attempt_count: 1,
        });
        self.outgoing.push((
            peer,
            Notice::SidecarPageRequest {
                offset: received_count,
            },
        ));
    }

    /// Requests an overdue page again, or abandons the transfer after the last attempt.
    fn retry_list_request(&mut self, now: Instant) {
        let is_late = |list_transfer: &ListTransfer| {
            now.saturating_duration_since(list_transfer.requested_at) >= LIST_RETRY_INTERVAL
        };
        let Some(list_transfer) = self
            .list_transfer
            .as_mut()
            .filter(|list_transfer| is_late(list_transfer))
        else {
            return;
        };
        if list_transfer.attempt_count >= LIST_ATTEMPTS_MAX {
            self.list_transfer = None;
            self.is_list_incomplete = true;
            return;
        }
        list_transfer.attempt_count += 1;
        list_transfer.requested_at = now;
        let request = Notice::SidecarPageRequest {
            offset: list_transfer.received_count,
        };
        self.outgoing.push((list_transfer.peer, request));
    }

    fn build_notice(&mut self, own: LocalState<'_>, is_answer: bool) -> Notice {
        let recent_count = RECENT_PER_ROUND.min(self.recent.len());
        let mut sidecars: Vec<SidecarRecord> = (0..recent_count)
            .map(|_| self.recent[self.random.random_range(0..self.recent.len())].clone())
            .collect();
        let random_position = self.random.random_range(0..own.directory.len().max(1));
        sidecars.extend(own.directory.nth_wrapping(random_position).cloned());
        let (evacuation_revision, evacuated_domains) = own.evacuations.to_gossip();
        Notice::Gossip {
            version: own.version,
            sidecars,
            is_answer,
            evacuation_revision,
            evacuated_domains,
        }
    }
}
