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
const TELL_EVERY: Duration = Duration::from_millis(250);

/// The same while there is no configuration: an entry that starts anew serves nobody before.
const TELL_EVERY_WITHOUT_CONFIGURATION: Duration = Duration::from_millis(100);

/// How many sidecars each round tells of: some heard of last, and one drawn by chance.
const RECENT_TOLD_COUNT: usize = 3;

/// How many sidecars are remembered as heard of last.
const RECENT_COUNT: usize = 32;

/// How many sidecars a datagram lists: at some 100 bytes each it stays as short as a piece of a
/// configuration.
const LISTED_COUNT: usize = 80;

/// The pause before a part of a list that did not come is asked for again: several round trips.
const ASK_LIST_EVERY: Duration = Duration::from_millis(200);

/// How often a part of a list is asked for before another entry is asked for the whole.
const LIST_ASKS_MAX: u32 = 10;

/// The most other entries that are remembered.
const ENTRY_COUNT_MAX: usize = 1_024;

/// A list of sidecars on its way from another entry, part by part.
#[derive(Debug)]
struct Listing {
    of: SocketAddr,
    /// How many sidecars have been told.
    told: u32,
    asked_at: Instant,
    ask_count: u32,
}

/// What this entry knows, for others.
#[derive(Debug, Clone, Copy)]
pub(super) struct Knowledge<'a> {
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
    named: HashMap<String, SocketAddr>,
    entries: Vec<SocketAddr>,
    known: HashSet<SocketAddr>,
    next_at: Option<Instant>,
    recent: VecDeque<Place>,
    download: Option<Download>,
    listing: Option<Listing>,
    /// Whether a list has ended before its end.
    is_list_missing: bool,
    /// The configuration in force, encoded for others.
    encoded: Option<(Version, Vec<u8>)>,
    outgoing: Vec<(SocketAddr, Notice)>,
    random: SmallRng,
}

impl Gossip {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            named: HashMap::new(),
            entries: Vec::new(),
            known: HashSet::new(),
            next_at: None,
            recent: VecDeque::new(),
            download: None,
            listing: None,
            is_list_missing: false,
            encoded: None,
            outgoing: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes in where another entry is; `name` is that of its VM if the store has told.
    pub(super) fn meet(&mut self, address: SocketAddr, name: Option<String>) {
        if let Some(name) = name
            && let Some(before) = self.named.insert(name, address)
            && before != address
        {
            self.known.remove(&before);
            self.entries.retain(|entry| *entry != before);
        }
        if self.entries.len() < ENTRY_COUNT_MAX && self.known.insert(address) {
            self.entries.push(address);
        }
    }

    /// Takes in that a sidecar was heard of.
    pub(super) fn note_news(&mut self, place: Place) {
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
    pub(super) fn tick(&mut self, own: Knowledge<'_>, now: Instant) {
        if let Some(download) = &mut self.download {
            self.outgoing.extend(download.asks(now));
            if download.is_given_up(now) {
                self.download = None;
            }
        }
        self.repeat_list_ask(now);
        if self.entries.is_empty() || self.next_at.is_some_and(|at| at > now) {
            return;
        }
        let pause = if own.version == 0 {
            TELL_EVERY_WITHOUT_CONFIGURATION
        } else {
            TELL_EVERY
        };
        self.next_at = Some(now + pause);
        let to = self.entries[self.random.random_range(0..self.entries.len())];
        let notice = self.tell(own, false);
        self.outgoing.push((to, notice));
    }

    /// Takes in what another entry tells.
    pub(super) fn told(
        &mut self,
        from: SocketAddr,
        told_version: Version,
        is_answer: bool,
        own: Knowledge<'_>,
        now: Instant,
    ) {
        self.meet(from, None);
        if !is_answer {
            let notice = self.tell(own, true);
            self.outgoing.push((from, notice));
        }
        let needs_list = own.directory.is_empty() || self.is_list_missing;
        if needs_list && self.listing.is_none() {
            self.ask_list(from, 0, now);
        }
        let is_on_its_way = |download: &Download| download.version() >= told_version;
        if told_version > own.version && !self.download.as_ref().is_some_and(is_on_its_way) {
            let mut download = Download::new(told_version, from, now);
            self.outgoing.extend(download.asks(now));
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
        self.outgoing.extend(download.asks(now));
        if whole.is_some() {
            self.download = None;
        }
        whole
    }

    /// Lists sidecars for an entry that asks.
    pub(super) fn list_sidecars(&mut self, to: SocketAddr, skipped: u32, directory: &Directory) {
        let page = directory.page(skipped as usize).take(LISTED_COUNT);
        let notice = Notice::Sidecars {
            skipped,
            count: u32::try_from(directory.len()).unwrap_or(u32::MAX),
            sidecars: page.cloned().collect(),
        };
        self.outgoing.push((to, notice));
    }

    /// Takes in that a part of a list has come, and asks for the next one.
    pub(super) fn list_told(
        &mut self,
        from: SocketAddr,
        skipped: u32,
        told: u32,
        count: u32,
        now: Instant,
    ) {
        let is_next = |listing: &Listing| listing.of == from && listing.told == skipped;
        if !self.listing.as_ref().is_some_and(is_next) {
            return;
        }
        let next = skipped.saturating_add(told);
        if told == 0 || next >= count {
            self.listing = None;
            self.is_list_missing = false;
        } else {
            self.ask_list(from, next, now);
        }
    }

    fn ask_list(&mut self, of: SocketAddr, told: u32, now: Instant) {
        self.listing = Some(Listing {
            of,
            told,
            asked_at: now,
            ask_count: 1,
        });
        self.outgoing
            .push((of, Notice::AskSidecars { skipped: told }));
    }

    /// Asks again for a part of a list that did not come.
    fn repeat_list_ask(&mut self, now: Instant) {
        let is_late =
            |listing: &Listing| now.saturating_duration_since(listing.asked_at) >= ASK_LIST_EVERY;
        let Some(listing) = self.listing.as_mut().filter(|listing| is_late(listing)) else {
            return;
        };
        if listing.ask_count >= LIST_ASKS_MAX {
            self.listing = None;
            self.is_list_missing = true;
            return;
        }
        listing.ask_count += 1;
        listing.asked_at = now;
        let ask = Notice::AskSidecars {
            skipped: listing.told,
        };
        self.outgoing.push((listing.of, ask));
    }

    fn tell(&mut self, own: Knowledge<'_>, is_answer: bool) -> Notice {
        let told_count = RECENT_TOLD_COUNT.min(self.recent.len());
        let mut sidecars: Vec<Place> = (0..told_count)
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
