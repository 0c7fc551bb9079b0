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
const SUBSET_SIZE_MIN: usize = 12;

/// The most sidecars of a service that are kept, so that an entry with a small processor can take in
/// what they tell.
const SUBSET_SIZE_MAX: usize = 96;

/// How many times the room of its own tasks an entry keeps within reach. Each minion is then shared by
/// about as many entries, so that room which others leave is found.
const CAPACITY_PER_LOAD: u64 = 4;

/// By how much the load that the reach follows falls in a round, in thousandths: by half in
/// two seconds.
const LOAD_DECAY_PERMILLE: u64 = 35;

/// The pause between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// The same while tasks wait for room: a round trip between two failure domains and some.
const EARLY_ROUND_INTERVAL: Duration = Duration::from_millis(10);

/// How much larger than wanted the reach may be before sidecars are given up, in percent, so that
/// sessions are not opened and closed by turns.
const SURPLUS_PERCENT: usize = 25;

/// Among how many times the wanted sidecars ones that take tasks are looked for: while the minions of a whole
/// fleet register, each entry would keep all sidecars otherwise.
const SCAN_PER_TARGET: usize = 2;

/// How long a sidecar that is given up gets no order before its session is closed. Far longer than
/// it takes orders for.
const CLOSE_AFTER: Duration = Duration::from_secs(3);

/// How long a sidecar has to answer, two and a half greetings, before another one is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long one that did not answer is left alone, if others are there.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// How many sidecars with a label that tasks ask for are kept.
const LABEL_SUBSET_SIZE: usize = 4;

/// How long a label counts as asked for.
const LABEL_RETENTION: Duration = Duration::from_secs(3);

/// How long a task waits for the answer of a sidecar with the label that it prefers: some round trips.
const LABEL_WAIT: Duration = Duration::from_millis(12);

/// A sidecar that is kept within reach.
#[derive(Debug)]
struct SubsetMember {
    service: ServiceName,
    opened_at: Instant,
    /// The process, once it has answered.
    sidecar: Option<Incarnation>,
    /// Since when it is given up.
    retired_at: Option<Instant>,
    /// Until when it is kept for a label.
    label_until: Option<Instant>,
}

impl SubsetMember {
    /// Returns whether the sidecar takes tasks, or may, as it has not answered yet.
    fn may_take_tasks(&self, fleet: &Fleet) -> bool {
        let view = self.sidecar.and_then(|sidecar| fleet.view(sidecar));
        view.is_none_or(SidecarView::takes_tasks)
    }

    /// Lets the sidecar get tasks again if it was given up.
    fn reinstate(&mut self, fleet: &mut Fleet) {
        if self.retired_at.take().is_some()
            && let Some(sidecar) = self.sidecar
        {
            fleet.set_retired(sidecar, false);
        }
    }
}

/// What an entry needs of a service.
#[derive(Debug, Default, Clone, Copy)]
struct Demand {
    /// The room of tasks that run or wait, the peak of late, in thousandths of a core.
    millicores: u64,
    /// When that was worked out.
    updated_at: Option<Instant>,
    /// How many minions its tasks need at the least, since so many may not share one.
    minion_count: usize,
    minion_count_until: Option<Instant>,
}

/// The sidecars that an entry keeps sessions with.
///
/// They are the first in the entry's order of preference, so that each sidecar is kept by about as many
/// entries; how many there are follows the load of the entry and not the size of the fleet.
#[derive(Debug)]
pub(super) struct SidecarSubset {
    directory: Directory,
    members: BTreeMap<SocketAddr, SubsetMember>,
    demands: HashMap<ServiceName, Demand>,
    /// When each label was asked for of late, and whether minions have it.
    labels: HashMap<String, (Instant, bool)>,
    last_round: Option<Instant>,
    is_early_round_due: bool,
    /// How long runs may go on that were ordered in a session that is over.
    orphan_run_max: Duration,
}

impl SidecarSubset {
    pub(super) fn new(seed: u64, orphan_run_max: Duration) -> Self {
        Self {
            directory: Directory::new(seed),
            members: BTreeMap::new(),
            demands: HashMap::new(),
            labels: HashMap::new(),
            last_round: None,
            is_early_round_due: false,
            orphan_run_max,
        }
    }

    pub(super) fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Takes in where a sidecar is; returns whether that is new.
    pub(super) fn learn(&mut self, place: Place, source: Source) -> bool {
        self.demands.entry(place.service.clone()).or_default();
        let is_new = self.directory.learn(place, source);
        self.is_early_round_due |= is_new;
        is_new
    }

    /// Returns how many more sidecars of a service can be taken into the reach.
    pub(super) fn spare_count(&self, service: &str) -> u64 {
        let in_use =
            |member: &&SubsetMember| member.service == service && member.retired_at.is_none();
        let member_count = self.members.values().filter(in_use).count();
        let possible_count = self.directory.count_of(service).min(SUBSET_SIZE_MAX);
        possible_count.saturating_sub(member_count) as u64
    }

    /// Takes in that the process at an address has answered.
    pub(super) fn note_connected(&mut self, address: SocketAddr, sidecar: Incarnation) {
        self.directory.resume(address);
        if let Some(member) = self.members.get_mut(&address) {
            member.sidecar = Some(sidecar);
        }
    }

    /// Takes in that a task has come which needs that many minions, and looks around at once if these
    /// are more than there are.
    pub(super) fn require_minions(&mut self, service: &str, minion_count: usize, now: Instant) {
        if let Some(demand) = self.demands.get_mut(service)
            && minion_count > demand.minion_count
        {
            demand.minion_count = minion_count;
            demand.minion_count_until = Some(now + CLOSE_AFTER);
            self.is_early_round_due = true;
        }
    }

    /// Takes in that tasks have found no room: more is looked for without waiting for the next round.
    pub(super) fn request_early_round(&mut self) {
        self.is_early_round_due = true;
    }

    /// Takes in that a task asks for a label, and opens sessions with minions that have it.
    pub(super) fn request_label(
        &mut self,
        service: &str,
        label: &str,
        fleet: &mut Fleet,
        sessions: &mut Sessions,
        now: Instant,
    ) {
        let is_new =
            |(at, _): (Instant, bool)| now.saturating_duration_since(at) < LABEL_RETENTION / 2;
        if self.labels.get(label).copied().is_some_and(is_new) {
            return;
        }
        let until = Some(now + LABEL_RETENTION);
        let fits = |place: &&Place| place.service == service && place.has_label(label);
        let found: Vec<SocketAddr> = self
            .directory
            .preferred(now)
            .filter(fits)
            .take(LABEL_SUBSET_SIZE)
            .map(|place| place.address)
            .collect();
        self.labels
            .insert(label.to_owned(), (now, !found.is_empty()));
        for address in found {
            match self.members.get_mut(&address) {
                Some(member) => {
                    member.label_until = until;
                    member.reinstate(fleet);
                }
                None => self.add_member(address, until, sessions, now),
            }
        }
    }

    /// Returns whether a minion with a label that was asked for may answer in a moment.
    pub(super) fn is_label_pending(&self, label: &str, now: Instant) -> bool {
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
        let pause = if self.is_early_round_due {
            EARLY_ROUND_INTERVAL
        } else {
            ROUND_INTERVAL
        };
        let is_early = |at| now.saturating_duration_since(at) < pause;
        if self.last_round.is_some_and(is_early) {
            return;
        }
        self.last_round = Some(now);
        self.is_early_round_due = false;
        self.labels
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < LABEL_RETENTION);
        self.drop_unreachable(fleet, sessions, now);
        let services: Vec<ServiceName> = self.demands.keys().cloned().collect();
        for service in services {
            let waiting_millicores = waiting.get(&service).copied().unwrap_or(0);
            let target_size = self.target_size(&service, waiting_millicores, fleet, now);
            self.resize(&service, target_size, fleet, sessions, now);
        }
        self.close_retired(fleet, sessions, now);
    }

    /// Returns how many sidecars of a service are wanted.
    fn target_size(
        &mut self,
        service: &str,
        waiting_millicores: u64,
        fleet: &Fleet,
        now: Instant,
    ) -> usize {
        let Some(demand) = self.demands.get_mut(service) else {
            return 0;
        };
        let load = fleet.placed_millicores(service) + waiting_millicores;
        let since = demand
            .updated_at
            .replace(now)
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay_permille = LOAD_DECAY_PERMILLE * millis(since) / millis(ROUND_INTERVAL);
        let decayed = demand.millicores * 1_000_u64.saturating_sub(decay_permille) / 1_000;
        demand.millicores = load.max(decayed);
        if demand.minion_count_until.is_some_and(|until| until <= now) {
            demand.minion_count = 0;
            demand.minion_count_until = None;
        }
        let size_by_load = match fleet.mean_millicores(service) {
            // Without a minion more sidecars would bring none sooner.
            0 => 0,
            minion_millicores => {
                (demand.millicores * CAPACITY_PER_LOAD).div_ceil(minion_millicores)
            }
        };
        usize::try_from(size_by_load)
            .unwrap_or(usize::MAX)
            .max(demand.minion_count * 2)
            .clamp(SUBSET_SIZE_MIN, SUBSET_SIZE_MAX)
    }

    /// Closes sessions that have brought no answer, and forgets those that the other side has closed.
    fn drop_unreachable(&mut self, fleet: &mut Fleet, sessions: &mut Sessions, now: Instant) {
        let mut lost = Vec::new();
        for (address, member) in &self.members {
            if !sessions.is_open(*address) {
                lost.push((*address, false));
                continue;
            }
            let elapsed = |since: Instant| now.saturating_duration_since(since);
            let silent = match member.sidecar.and_then(|sidecar| fleet.view(sidecar)) {
                None => elapsed(member.opened_at) >= CONNECT_TIMEOUT,
                Some(view) => {
                    let heard_at = sessions.heard_at(*address).unwrap_or(now);
                    view.is_silent() && view.placed_count() == 0 && elapsed(heard_at) >= CLOSE_AFTER
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
                RETRY_DELAY
            } else {
                self.orphan_run_max + RETRY_DELAY
            };
            self.directory.pause(address, now + pause);
            self.remove_member(address, fleet, sessions, now);
        }
    }

    /// Opens sessions with more sidecars of a service, or retires some.
    fn resize(
        &mut self,
        service: &str,
        target_size: usize,
        fleet: &mut Fleet,
        sessions: &mut Sessions,
        now: Instant,
    ) {
        let mut usable_count = 0;
        let mut missing = Vec::new();
        let of_service = self
            .directory
            .preferred(now)
            .filter(|place| place.service == service);
        for place in of_service.take(target_size * SCAN_PER_TARGET) {
            if usable_count == target_size {
                break;
            }
            match self.members.get_mut(&place.address) {
                // One that has not answered yet counts, one that takes no tasks does not.
                Some(member) if member.may_take_tasks(fleet) => {
                    usable_count += 1;
                    member.reinstate(fleet);
                }
                Some(_) => {}
                None => {
                    usable_count += 1;
                    missing.push(place.address);
                }
            }
        }
        for address in missing {
            self.add_member(address, None, sessions, now);
        }
        self.retire(
            service,
            target_size + target_size * SURPLUS_PERCENT / 100,
            fleet,
            now,
        );
    }

    /// Gives up sidecars of a service beyond a count: those that take no tasks first, then those that are
    /// preferred least.
    fn retire(&mut self, service: &str, count_max: usize, fleet: &mut Fleet, now: Instant) {
        let mut candidates: Vec<(bool, Reverse<u64>, SocketAddr)> = self
            .members
            .iter()
            .filter(|(_, member)| member.service == service && member.retired_at.is_none())
            .filter(|(_, member)| member.label_until.is_none_or(|until| until <= now))
            .map(|(address, member)| {
                let rank = Reverse(self.directory.rank_of(*address));
                (member.may_take_tasks(fleet), rank, *address)
            })
            .collect();
        candidates.sort_unstable();
        let surplus = candidates.len().saturating_sub(count_max);
        for (_, _, address) in candidates.into_iter().take(surplus) {
            if let Some(member) = self.members.get_mut(&address) {
                member.retired_at = Some(now);
                if let Some(sidecar) = member.sidecar {
                    fleet.set_retired(sidecar, true);
                }
            }
        }
    }

    fn close_retired(&mut self, fleet: &mut Fleet, sessions: &mut Sessions, now: Instant) {
        let is_over = |member: &SubsetMember| {
            let view = member.sidecar.and_then(|sidecar| fleet.view(sidecar));
            let is_empty = view.is_none_or(|view| view.placed_count() == 0);
            let is_old = |at| now.saturating_duration_since(at) >= CLOSE_AFTER;
            is_empty && member.retired_at.is_some_and(is_old)
        };
        let over: Vec<SocketAddr> = self
            .members
            .iter()
            .filter(|(_, member)| is_over(member))
            .map(|(address, _)| *address)
            .collect();
        for address in over {
            self.remove_member(address, fleet, sessions, now);
        }
    }

    fn add_member(
        &mut self,
        address: SocketAddr,
        label_until: Option<Instant>,
        sessions: &mut Sessions,
        now: Instant,
    ) {
        let Some(place) = self.directory.place_at(address) else {
            return;
        };
        let member = SubsetMember {
            service: place.service.clone(),
            opened_at: now,
            sidecar: None,
            retired_at: None,
            label_until,
        };
        self.members.insert(address, member);
        sessions.open(address, now);
    }

    fn remove_member(
        &mut self,
        address: SocketAddr,
        fleet: &mut Fleet,
        sessions: &mut Sessions,
        now: Instant,
    ) {
        let member = self.members.remove(&address);
        if let Some(sidecar) = member.and_then(|member| member.sidecar) {
            fleet.mark_gone(sidecar, now);
        }
        sessions.close(address, now);
    }
}
