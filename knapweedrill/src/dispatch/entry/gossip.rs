//! What entries tell each other: the configuration, and where sidecars are.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::directory::Directory;
use super::download::{Download, PART_BYTES};
use crate::dispatch::configuration::{Configuration, Version};
use crate::dispatch::{Notice, Place};

/// The pause between two rounds. News spread to a hundred entries in seven rounds, well within the
/// time in which a change has to be in force.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);

/// The same while there is no configuration: an entry that starts anew serves nobody before.
const GOSSIP_INTERVAL_WITHOUT_CONFIGURATION: Duration = Duration::from_millis(100);

/// How many sidecars each round tells of: some heard of last, and one drawn by chance.
const RECENT_PER_ROUND: usize = 3;

/// How many sidecars are remembered as heard of last.
const RECENT_COUNT: usize = 32;

/// How many sidecars a datagram lists: at some 100 bytes each it stays as short as a piece of a
/// configuration.
const LIST_PAGE_LEN: usize = 80;

/// The pause before a part of a list that did not come is asked for again: several round trips.
const LIST_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// How often a part of a list is asked for before another entry is asked for the whole.
const LIST_ATTEMPTS_MAX: u32 = 10;

/// The most other entries that are remembered.
const PEER_COUNT_MAX: usize = 1_024;

/// A list of sidecars on its way from another entry, part by part.
#[derive(Debug)]
struct ListTransfer {
    peer: SocketAddr,
    /// How many sidecars have been told.
    received_count: u32,
    requested_at: Instant,
    attempt_count: u32,
}

/// What this entry knows, for others.
#[derive(Debug, Clone, Copy)]
pub(super) struct LocalState<'a> {
    /// The version of the configuration in force; 0 if there is none.
    pub(super) version: Version,
    /// The sidecars that it has heard of.
    pub(super) directory: &'a Directory,
}

/// What entries tell each other: each tells one other, drawn by chance, at a steady pace. So what an
/// entry sends and takes in does not depend on how many there are.
#[derive(Debug)]
pub(super) struct Gossip {
    /// Where the entries are that the store names, by their names.
    store_addresses: HashMap<String, SocketAddr>,
    peers: Vec<SocketAddr>,
    peer_set: HashSet<SocketAddr>,
    next_round_at: Option<Instant>,
    recent: VecDeque<Place>,
    download: Option<Download>,
    list_transfer: Option<ListTransfer>,
    /// Whether a list has ended before its end.
    is_list_incomplete: bool,
    /// The configuration in force, encoded for others.
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

    /// Takes in where another entry is; `name` is that of its VM if the store has told.
    pub(super) fn add_peer(&mut self, address: SocketAddr, name: Option<String>) {
        if let Some(name) = name
            && let Some(before) = self.store_addresses.insert(name, address)
            && before != address
        {
            self.peer_set.remove(&before);
            self.peers.retain(|entry| *entry != before);
        }
        if self.peers.len() < PEER_COUNT_MAX && self.peer_set.insert(address) {
            self.peers.push(address);
        }
    }

    /// Takes in that a sidecar was heard of.
    pub(super) fn record_recent(&mut self, place: Place) {
        self.recent.push_back(place);
        if self.recent.len() > RECENT_COUNT {
            self.recent.pop_front();
        }
    }

    /// Returns the notices that are to be sent.
    pub(super) fn take_outgoing(&mut self) -> Vec<(SocketAddr, Notice)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Does what is due.
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
        let pause = if own.version == 0 {
            GOSSIP_INTERVAL_WITHOUT_CONFIGURATION
        } else {
            GOSSIP_INTERVAL
        };
        self.next_round_at = Some(now + pause);
        let to = self.peers[self.random.random_range(0..self.peers.len())];
        let notice = self.build_notice(own, false);
        self.outgoing.push((to, notice));
    }

    /// Takes in what another entry tells.
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

    /// Answers an entry that asks for a piece of the configuration in force.
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
                    log::error!(error:% = error; "configuration can't be encoded for a peer");
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

    /// Takes in a piece of a configuration and returns the configuration if it was the last.
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

    /// Lists sidecars for an entry that asks.
    pub(super) fn list_sidecars(&mut self, to: SocketAddr, skipped: u32, directory: &Directory) {
        let page = directory.page(skipped as usize).take(LIST_PAGE_LEN);
        let notice = Notice::Sidecars {
            skipped,
            count: u32::try_from(directory.len()).unwrap_or(u32::MAX),
            sidecars: page.cloned().collect(),
        };
        self.outgoing.push((to, notice));
    }

    /// Takes in that a part of a list has come, and asks for the next one.
    pub(super) fn handle_list_page(
        &mut self,
        from: SocketAddr,
        skipped: u32,
        page_count: u32,
        count: u32,
        now: Instant,
    ) {
        let is_next = |list_transfer: &ListTransfer| {
            list_transfer.peer == from && list_transfer.received_count == skipped
        };
        if !self.list_transfer.as_ref().is_some_and(is_next) {
            return;
        }
        let next = skipped.saturating_add(page_count);
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
            Notice::AskSidecars {
                skipped: received_count,
            },
        ));
    }

    /// Asks again for a part of a list that did not come.
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
        let request = Notice::AskSidecars {
            skipped: list_transfer.received_count,
        };
        self.outgoing.push((list_transfer.peer, request));
    }

    fn build_notice(&mut self, own: LocalState<'_>, is_answer: bool) -> Notice {
        let recent_count = RECENT_PER_ROUND.min(self.recent.len());
        let mut sidecars: Vec<Place> = (0..recent_count)
            .map(|_| self.recent[self.random.random_range(0..self.recent.len())].clone())
            .collect();
        let drawn = self.random.random_range(0..own.directory.len().max(1));
        sidecars.extend(own.directory.nth(drawn).cloned());
        Notice::Gossip {
            version: own.version,
            sidecars,
            is_answer,
        }
    }
}
