//! The sidecars that an entry keeps sessions with.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::directory::{Directory, Source};
use super::fleet::Fleet;
use super::sidecar_view::SidecarView;
use crate::common::{Incarnation, ServiceName};
use crate::dispatch::Place;
use crate::dispatch::session::Sessions;
use crate::dispatch::units::millis;

/// The fewest sidecars of a service that are kept: enough for the widest usual job to begin at once
/// while half of the minions' room is taken.
const REACH_MIN: usize = 12;

/// The most sidecars of a service that are kept, so that an entry with a small processor can take in
/// what they tell.
const REACH_MAX: usize = 96;

/// How many times the room of its own tasks an entry keeps within reach. Each minion is then shared by
/// about as many entries, so that room which others leave is found.
const REACH_PER_LOAD: u64 = 4;

/// By how much the load that the reach follows falls in a round, in thousandths: by half in
/// two seconds.
const LOAD_DECAY_PERMILLE: u64 = 35;

/// The pause between two rounds.
const ROUND_EVERY: Duration = Duration::from_millis(100);

/// The same while tasks wait for room: a round trip between two failure domains and some.
const HURRIED_ROUND_EVERY: Duration = Duration::from_millis(10);

/// How much larger than wanted the reach may be before sidecars are given up, in percent, so that
/// sessions are not opened and closed by turns.
const SURPLUS_PERCENT: usize = 25;

/// Among how many times the wanted sidecars ones that take tasks are looked for: while the minions of a whole
/// fleet register, each entry would keep all sidecars otherwise.
const LOOKED_AT_PER_WANTED: usize = 2;

/// How long a sidecar that is given up gets no order before its session is closed. Far longer than
/// it takes orders for.
const CLOSE_AFTER: Duration = Duration::from_secs(3);

/// How long a sidecar has to answer, two and a half greetings, before another one is tried.
const ANSWER_WAIT: Duration = Duration::from_millis(1_000);

/// How long one that did not answer is left alone, if others are there.
const TRY_AGAIN_AFTER: Duration = Duration::from_millis(400);

/// How many sidecars with a label that tasks ask for are kept.
const LABEL_REACH: usize = 4;

/// How long a label counts as asked for.
const LABEL_KEPT: Duration = Duration::from_secs(3);

/// How long a task waits for the answer of a sidecar with the label that it prefers: some round trips.
const LABEL_WAIT: Duration = Duration::from_millis(12);

/// A sidecar that is kept within reach.
#[derive(Debug)]
struct Kept {
    service: ServiceName,
    opened_at: Instant,
    /// The process, once it has answered.
    sidecar: Option<Incarnation>,
    /// Since when it is given up.
    retired_at: Option<Instant>,
    /// Until when it is kept for a label.
    label_until: Option<Instant>,
}

impl Kept {
    /// Returns whether the sidecar takes tasks, or may, as it has not answered yet.
    fn may_be_useful(&self, fleet: &Fleet) -> bool {
        let view = self.sidecar.and_then(|sidecar| fleet.view(sidecar));
        view.is_none_or(SidecarView::takes_tasks)
    }

    /// Lets the sidecar get tasks again if it was given up.
    fn take_back(&mut self, fleet: &mut Fleet) {
        if self.retired_at.take().is_some()
            && let Some(sidecar) = self.sidecar
        {
            fleet.set_retired(sidecar, false);
        }
    }
}

/// What an entry needs of a service.
#[derive(Debug, Default, Clone, Copy)]
struct Need {
    /// The room of tasks that run or wait, the peak of late, in thousandths of a core.
    millicores: u64,
    /// When that was worked out.
    seen_at: Option<Instant>,
    /// How many minions its tasks need at the least, since so many may not share one.
    minions: usize,
    minions_until: Option<Instant>,
}

/// The sidecars that an entry keeps sessions with.
///
/// They are the first in the entry's order of preference, so that each sidecar is kept by about as many
/// entries; how many there are follows the load of the entry and not the size of the fleet.
#[derive(Debug)]
pub(super) struct Reach {
    directory: Directory,
    kept: BTreeMap<SocketAddr, Kept>,
    needs: HashMap<ServiceName, Need>,
    /// When each label was asked for of late, and whether minions have it.
    labels: HashMap<String, (Instant, bool)>,
    last_round: Option<Instant>,
    is_hurried: bool,
    /// How long runs may go on that were ordered in a session that is over.
    doubt: Duration,
}

impl Reach {
    pub(super) fn new(seed: u64, doubt: Duration) -> Self {
        Self {
            directory: Directory::new(seed),
            kept: BTreeMap::new(),
            needs: HashMap::new(),
            labels: HashMap::new(),
            last_round: None,
            is_hurried: false,
            doubt,
        }
    }

    pub(super) fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Takes in where a sidecar is; returns whether that is new.
    pub(super) fn learn(&mut self, place: Place, source: Source) -> bool {
        self.needs.entry(place.service.clone()).or_default();
        let is_new = self.directory.learn(place, source);
        self.is_hurried |= is_new;
        is_new
    }

    /// Returns how many more sidecars of a service can be taken into the reach.
    pub(super) fn spare_count(&self, service: &str) -> u64 {
        let in_use = |kept: &&Kept| kept.service == service && kept.retired_at.is_none();
        let kept_count = self.kept.values().filter(in_use).count();
        let possible_count = self.directory.count_of(service).min(REACH_MAX);
        possible_count.saturating_sub(kept_count) as u64
    }

    /// Takes in that the process at an address has answered.
    pub(super) fn met(&mut self, address: SocketAddr, sidecar: Incarnation) {
        self.directory.answered(address);
        if let Some(kept) = self.kept.get_mut(&address) {
            kept.sidecar = Some(sidecar);
        }
    }

    /// Takes in that a task has come which needs that many minions, and looks around at once if these
    /// are more than there are.
    pub(super) fn need_minions(&mut self, service: &str, minions: usize, now: Instant) {
        if let Some(need) = self.needs.get_mut(service)
            && minions > need.minions
        {
            need.minions = minions;
            need.minions_until = Some(now + CLOSE_AFTER);
            self.is_hurried = true;
        }
    }

    /// Takes in that tasks have found no room: more is looked for without waiting for the next round.
    pub(super) fn hurry(&mut self) {
        self.is_hurried = true;
    }

    /// Takes in that a task asks for a label, and opens sessions with minions that have it.
    pub(super) fn need_label(
        &mut self,
        service: &str,
        label: &str,
        fleet: &mut Fleet,
        sessions: &mut Sessions,
        now: Instant,
    ) {
        let is_new = |(at, _): (Instant, bool)| now.saturating_duration_since(at) < LABEL_KEPT / 2;
        if self.labels.get(label).copied().is_some_and(is_new) {
            return;
        }
        let until = Some(now + LABEL_KEPT);
        let fits = |place: &&Place| place.service == service && place.has_label(label);
        let found: Vec<SocketAddr> = self
            .directory
            .preferred(now)
            .filter(fits)
            .take(LABEL_REACH)
            .map(|place| place.address)
            .collect();
        self.labels
            .insert(label.to_owned(), (now, !found.is_empty()));
        for address in found {
            match self.kept.get_mut(&address) {
                Some(kept) => {
                    kept.label_until = until;
                    kept.take_back(fleet);
                }
                None => self.keep(address, until, sessions, now),
            }
        }
    }

    /// Returns whether a minion with a label that was asked for may answer in a moment.
    pub(super) fn is_label_on_its_way(&self, label: &str, now: Instant) -> bool {
        let is_near = |(at, is_found): (Instant, bool)| {
            is_found && now.saturating_duration_since(at) < LABEL_WAIT
        };
        self.labels.get(label).copied().is_some_and(is_near)
    }

    /// Opens and closes sessions as the load asks for. `waiting` is the room of the tasks that wait, by
    /// service.
    pub(super) fn tick(
        &mut self,
        waiting: &HashMap<ServiceName, u64>,
        fleet: &mut Fleet,
        sessions: &mut Sessions,
        now: Instant,
    ) {
        let pause = if self.is_hurried {
            HURRIED_ROUND_EVERY
        } else {
            ROUND_EVERY
        };
        let is_early = |at| now.saturating_duration_since(at) < pause;
        if self.last_round.is_some_and(is_early) {
            return;
        }
        self.last_round = Some(now);
        self.is_hurried = false;
        self.labels
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < LABEL_KEPT);
        self.drop_lost(fleet, sessions, now);
        let services: Vec<ServiceName> = self.needs.keys().cloned().collect();
        for service in services {
            let waits = waiting.get(&service).copied().unwrap_or(0);
            let wanted = self.wanted(&service, waits, fleet, now);
            self.adjust(&service, wanted, fleet, sessions, now);
        }
        self.close_retired(fleet, sessions, now);
    }

    /// Returns how many sidecars of a service are wanted.
    fn wanted(&mut self, service: &str, waits: u64, fleet: &Fleet, now: Instant) -> usize {
        let Some(need) = self.needs.get_mut(service) else {
            return 0;
        };
        let load = fleet.placed_millicores(service) + waits;
        let since = need
            .seen_at
            .replace(now)
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let fallen = LOAD_DECAY_PERMILLE * millis(since) / millis(ROUND_EVERY);
        let decayed = need.millicores * 1_000_u64.saturating_sub(fallen) / 1_000;
        need.millicores = load.max(decayed);
        if need.minions_until.is_some_and(|until| until <= now) {
            need.minions = 0;
            need.minions_until = None;
        }
        let by_load = match fleet.mean_millicores(service) {
            // Without a minion more sidecars would bring none sooner.
            0 => 0,
            per_minion => (need.millicores * REACH_PER_LOAD).div_ceil(per_minion),
        };
        usize::try_from(by_load)
            .unwrap_or(usize::MAX)
            .max(need.minions * 2)
            .clamp(REACH_MIN, REACH_MAX)
    }

    /// Closes sessions that have brought no answer, and forgets those that the other side has closed.
    fn drop_lost(&mut self, fleet: &mut Fleet, sessions: &mut Sessions, now: Instant) {
        let mut lost = Vec::new();
        for (address, kept) in &self.kept {
            if !sessions.is_open(*address) {
                lost.push((*address, false));
                continue;
            }
            let is_silent_for = |since: Instant| now.saturating_duration_since(since);
            let silent = match kept.sidecar.and_then(|sidecar| fleet.view(sidecar)) {
                None => is_silent_for(kept.opened_at) >= ANSWER_WAIT,
                Some(view) => {
                    let heard_at = sessions.heard_at(*address).unwrap_or(now);
                    view.is_silent()
                        && view.placed_count() == 0
                        && is_silent_for(heard_at) >= CLOSE_AFTER
                }
            };
            if silent {
                lost.push((*address, true));
            }
        }
        for (address, is_silent) in lost {
            // A session that the other side has closed is not opened anew while runs that were ordered in
            // it may go on.
            let pause = if is_silent {
                TRY_AGAIN_AFTER
            } else {
                self.doubt + TRY_AGAIN_AFTER
            };
            self.directory.pause(address, now + pause);
            self.give_up(address, fleet, sessions, now);
        }
    }

    /// Opens sessions with more sidecars of a service, or retires some.
    fn adjust(
        &mut self,
        service: &str,
        wanted: usize,
        fleet: &mut Fleet,
        sessions: &mut Sessions,
        now: Instant,
    ) {
        let mut useful_count = 0;
        let mut missing = Vec::new();
        let of_service = self
            .directory
            .preferred(now)
            .filter(|place| place.service == service);
        for place in of_service.take(wanted * LOOKED_AT_PER_WANTED) {
            if useful_count == wanted {
                break;
            }
            match self.kept.get_mut(&place.address) {
                // One that has not answered yet counts, one that takes no tasks does not.
                Some(kept) if kept.may_be_useful(fleet) => {
                    useful_count += 1;
                    kept.take_back(fleet);
                }
                Some(_) => {}
                None => {
                    useful_count += 1;
                    missing.push(place.address);
                }
            }
        }
        for address in missing {
            self.keep(address, None, sessions, now);
        }
        self.retire(service, wanted + wanted * SURPLUS_PERCENT / 100, fleet, now);
    }

    /// Gives up sidecars of a service beyond a count: those that take no tasks first, then those that are
    /// preferred least.
    fn retire(&mut self, service: &str, count_max: usize, fleet: &mut Fleet, now: Instant) {
        let mut candidates: Vec<(bool, Reverse<u64>, SocketAddr)> = self
            .kept
            .iter()
            .filter(|(_, kept)| kept.service == service && kept.retired_at.is_none())
            .filter(|(_, kept)| kept.label_until.is_none_or(|until| until <= now))
            .map(|(address, kept)| {
                let rank = Reverse(self.directory.rank_of(*address));
                (kept.may_be_useful(fleet), rank, *address)
            })
            .collect();
        candidates.sort_unstable();
        let surplus = candidates.len().saturating_sub(count_max);
        for (_, _, address) in candidates.into_iter().take(surplus) {
            if let Some(kept) = self.kept.get_mut(&address) {
                kept.retired_at = Some(now);
                if let Some(sidecar) = kept.sidecar {
                    fleet.set_retired(sidecar, true);
                }
            }
        }
    }

    fn close_retired(&mut self, fleet: &mut Fleet, sessions: &mut Sessions, now: Instant) {
        let is_over = |kept: &Kept| {
            let view = kept.sidecar.and_then(|sidecar| fleet.view(sidecar));
            let is_empty = view.is_none_or(|view| view.placed_count() == 0);
            let is_old = |at| now.saturating_duration_since(at) >= CLOSE_AFTER;
            is_empty && kept.retired_at.is_some_and(is_old)
        };
        let over: Vec<SocketAddr> = self
            .kept
            .iter()
            .filter(|(_, kept)| is_over(kept))
            .map(|(address, _)| *address)
            .collect();
        for address in over {
            self.give_up(address, fleet, sessions, now);
        }
    }

    fn keep(
        &mut self,
        address: SocketAddr,
        label_until: Option<Instant>,
        sessions: &mut Sessions,
        now: Instant,
    ) {
        let Some(place) = self.directory.at(address) else {
            return;
        };
        let kept = Kept {
            service: place.service.clone(),
            opened_at: now,
            sidecar: None,
            retired_at: None,
            label_until,
        };
        self.kept.insert(address, kept);
        sessions.open(address, now);
    }

    fn give_up(
        &mut self,
        address: SocketAddr,
        fleet: &mut Fleet,
        sessions: &mut Sessions,
        now: Instant,
    ) {
        let kept = self.kept.remove(&address);
        if let Some(sidecar) = kept.and_then(|kept| kept.sidecar) {
            fleet.forget(sidecar, now);
        }
        sessions.close(address, now);
    }
}
