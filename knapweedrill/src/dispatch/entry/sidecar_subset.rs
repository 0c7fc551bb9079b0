//! Subsetting: the sidecars that an entry keeps sessions with.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::directory::{Directory, Source};
use super::fleet::Fleet;
use super::sidecar_view::SidecarView;
use crate::common::{Incarnation, ServiceName};
use crate::dispatch::SidecarRecord;
use crate::dispatch::session::Sessions;
use crate::dispatch::units::millis;

/// The minimum size of the subset for a service: enough to start the widest common job at once
/// while half of the minions' resources are in use.
const SUBSET_SIZE_MIN: usize = 12;

/// The maximum size of the subset for a service, so that an entry with little CPU can process the
/// messages of its members.
const SUBSET_SIZE_MAX: usize = 96;

/// The capacity of the subset in multiples of the entry's load. Each minion is then shared by about
/// as many entries, so that an entry finds the resources that the others leave free.
const CAPACITY_PER_LOAD: u64 = 4;

/// The decay of the peak load per `ROUND_INTERVAL`, in thousandths: by half in two seconds.
const LOAD_DECAY_PERMILLE: u64 = 35;

/// The interval at which the subset is adjusted.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// The interval while tasks find no free resources: somewhat longer than a round trip between two
/// failure domains.
const EARLY_ROUND_INTERVAL: Duration = Duration::from_millis(10);

/// How far the subset may exceed its target size before members are retired, in percent. The
/// hysteresis keeps sessions from being opened and closed repeatedly.
const SURPLUS_PERCENT: usize = 25;

/// How many sidecars are considered for each one in the target size, to find ones that take tasks.
/// Without the limit each entry would add all sidecars while the minions of a whole fleet register.
const SCAN_PER_TARGET: usize = 2;

/// How many evacuated sidecars are skipped for each one in the target size, in addition to those
/// that are considered. In a fleet with two in three minions evacuated, as many others are found.
const EVACUATED_PER_TARGET: usize = 4;

/// How long a retired member gets no orders before its session is closed. Far longer than the time
/// for which a sidecar accepts an order.
const CLOSE_AFTER: Duration = Duration::from_secs(3);

/// How long a sidecar has to answer before another one is tried: two and a half hello intervals.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The backoff after a sidecar did not answer, while others are available.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// The number of members that are added for a label that tasks ask for.
pub(super) const LABEL_SUBSET_SIZE: usize = 4;

/// The same where tasks wait for the rack of their data: all minions of a usual rack. With 4 of 12, a
/// burst ran elsewhere while most of its rack was idle.
pub(super) const RACK_SUBSET_SIZE: usize = 12;

/// How long a label counts as requested.
const LABEL_RETENTION: Duration = Duration::from_secs(3);

/// How long a task waits for a new member with its label to answer: a few round trips.
const LABEL_WAIT: Duration = Duration::from_millis(12);

/// A sidecar in the subset.
#[derive(Debug)]
struct SubsetMember {
    service: ServiceName,
    opened_at: Instant,
    /// The incarnation of the process, once it has answered.
    sidecar: Option<Incarnation>,
    /// When it was retired, if it is.
    retired_at: Option<Instant>,
    /// Until when it stays in the subset because of a label.
    label_until: Option<Instant>,
}

impl SubsetMember {
    /// Returns whether the sidecar takes tasks, or has not answered yet and may do so.
    fn may_take_tasks(&self, fleet: &Fleet) -> bool {
        let view = self.sidecar.and_then(|sidecar| fleet.view(sidecar));
        view.is_none_or(SidecarView::takes_tasks)
    }

    /// Returns whether the minion is known to be evacuated.
    fn is_evacuated(&self, fleet: &Fleet) -> bool {
        let view = self.sidecar.and_then(|sidecar| fleet.view(sidecar));
        view.is_some_and(SidecarView::is_evacuated)
    }

    /// Lets the sidecar get tasks again if it was retired.
    fn reinstate(&mut self, fleet: &mut Fleet) {
        if self.retired_at.take().is_some()
            && let Some(sidecar) = self.sidecar
        {
            fleet.set_retired(sidecar, false);
        }
    }
}

/// The demand of an entry for the minions of a service.
#[derive(Debug, Default, Clone, Copy)]
struct Demand {
    /// The decaying peak of the CPU of running and waiting tasks, in millicores.
    millicores: u64,
    /// When the peak was last updated.
    updated_at: Option<Instant>,
    /// The minimum number of minions that recent jobs need because of their limits per minion.
    minion_count: usize,
    /// When that minimum ceases to apply.
    minion_count_until: Option<Instant>,
}

/// The subset of the sidecars that an entry keeps sessions with.
///
/// The members are the first sidecars in the entry's order of preference, so that each sidecar has
/// sessions with about as many entries. The size of the subset depends on the load of the entry and
/// not on the size of the fleet.
#[derive(Debug)]
pub(super) struct SidecarSubset {
    directory: Directory,
    members: BTreeMap<SocketAddr, SubsetMember>,
    /// Sorted, as sessions are opened and closed in this order.
    demands: BTreeMap<ServiceName, Demand>,
    /// When each label was last requested, and whether sidecars with it were found.
    labels: HashMap<String, (Instant, bool)>,
    last_round_at: Option<Instant>,
    is_early_round_due: bool,
    /// How long runs may go on that were ordered in a closed session.
    orphan_run_max: Duration,
}

impl SidecarSubset {
    pub(super) fn new(seed: u64, orphan_run_max: Duration) -> Self {
        Self {
            directory: Directory::new(seed),
            members: BTreeMap::new(),
            demands: BTreeMap::new(),
            labels: HashMap::new(),
            last_round_at: None,
            is_early_round_due: false,
            orphan_run_max,
        }
    }

    pub(super) fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Adds or updates the record of a sidecar and returns whether anything changed.
    pub(super) fn upsert(&mut self, record: SidecarRecord, source: Source) -> bool {
        self.demands.entry(record.service.clone()).or_default();
        let is_new = self.directory.upsert(record, source);
        self.is_early_round_due |= is_new;
        is_new
    }

    /// Returns how many more sidecars of a service could join the subset.
    pub(super) fn spare_count(&self, service: &str) -> u64 {
        let in_use =
            |member: &&SubsetMember| member.service == service && member.retired_at.is_none();
        let member_count = self.members.values().filter(in_use).count();
        let possible_count = self.directory.count_of(service).min(SUBSET_SIZE_MAX);
        possible_count.saturating_sub(member_count) as u64
    }

    /// Records that the process at an address has answered.
    pub(super) fn record_connected(&mut self, address: SocketAddr, sidecar: Incarnation) {
        self.directory.resume(address);
        if let Some(member) = self.members.get_mut(&address) {
            member.sidecar = Some(sidecar);
        }
    }

    /// Records that a job needs at least this many minions. If no recent job needed as many, the
    /// subset is adjusted early.
    pub(super) fn require_minions(&mut self, service: &str, minion_count: usize, now: Instant) {
        if let Some(demand) = self.demands.get_mut(service)
            && minion_count > demand.minion_count
        {
            demand.minion_count = minion_count;
            demand.minion_count_until = Some(now + CLOSE_AFTER);
            self.is_early_round_due = true;
        }
    }

    /// Shortens the interval until the next adjustment because tasks found no free resources.
    pub(super) fn request_early_round(&mut self) {
        self.is_early_round_due = true;
    }

    /// Records that a task asks for a label, and adds up to `member_count` sidecars with this label to
    /// the subset.
    pub(super) fn request_label(
        &mut self,
        service: &str,
        label: &str,
        member_count: usize,
        fleet: &mut Fleet,
        sessions: &mut Sessions,
        now: Instant,
    ) {
        let is_recent =
            |(at, _): (Instant, bool)| now.saturating_duration_since(at) < LABEL_RETENTION / 2;
        if self.labels.get(label).copied().is_some_and(is_recent) {
            return;
        }
        let until = Some(now + LABEL_RETENTION);
        let fits = |record: &&SidecarRecord| record.service == service && record.has_label(label);
        let found: Vec<SocketAddr> = self
            .directory
            .preferred(now)
            .filter(fits)
            .take(member_count)
            .map(|record| record.address)
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

    /// Returns whether sidecars with a requested label may still be about to answer.
    pub(super) fn is_label_pending(&self, label: &str, now: Instant) -> bool {
        let is_recent = |(at, is_found): (Instant, bool)| {
            is_found && now.saturating_duration_since(at) < LABEL_WAIT
        };
        self.labels.get(label).copied().is_some_and(is_recent)
    }

    /// Opens and closes sessions according to the load. `waiting` holds the CPU of the waiting
    /// tasks of each service, in millicores.
    pub(super) fn tick(
        &mut self,
        waiting: &HashMap<ServiceName, u64>,
        fleet: &mut Fleet,
        sessions: &mut Sessions,
        now: Instant,
    ) {
        let interval = if self.is_early_round_due {
            EARLY_ROUND_INTERVAL
        } else {
            ROUND_INTERVAL
        };
        let is_early = |at| now.saturating_duration_since(at) < interval;
        if self.last_round_at.is_some_and(is_early) {
            return;
        }
        self.last_round_at = Some(now);
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

    /// Updates the demand for a service and returns the target size of its subset.
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
            // As long as no minion is known, a larger subset does not find one sooner.
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

    /// Removes members that do not answer or whose session the other side has closed.
    fn drop_unreachable(&mut self, fleet: &mut Fleet, sessions: &mut Sessions, now: Instant) {
        let mut lost = Vec::new();
        for (address, member) in &self.members {
            if !sessions.is_open(*address) {
                lost.push((*address, false));
                continue;
            }
            let elapsed = |since: Instant| now.saturating_duration_since(since);
            let is_unanswered = match member.sidecar.and_then(|sidecar| fleet.view(sidecar)) {
                None => elapsed(member.opened_at) >= CONNECT_TIMEOUT,
                Some(view) => {
                    let last_received_at = sessions.last_received_at(*address).unwrap_or(now);
                    view.is_silent()
                        && view.placed_count() == 0
                        && elapsed(last_received_at) >= CLOSE_AFTER
                }
            };
            if is_unanswered {
                lost.push((*address, true));
            }
        }
        for (address, is_silent) in lost {
            // A session that the other side has closed is not reopened while runs that were ordered
            // in it may go on.
            let backoff = if is_silent {
                RETRY_DELAY
            } else {
                self.orphan_run_max + RETRY_DELAY
            };
            self.directory.back_off(address, now + backoff);
            self.remove_member(address, fleet, sessions, now);
        }
    }

    /// Adds or retires members for a service to reach the target size.
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
            .filter(|record| record.service == service);
        let is_evacuated = |record: &&SidecarRecord| {
            let member = self.members.get(&record.address);
            member.is_some_and(|member| member.is_evacuated(fleet))
        };
        let considered: Vec<SocketAddr> = of_service
            .take(target_size * (SCAN_PER_TARGET + EVACUATED_PER_TARGET))
            .filter(|record| !is_evacuated(record))
            .take(target_size * SCAN_PER_TARGET)
            .map(|record| record.address)
            .collect();
        for address in considered {
            if usable_count == target_size {
                break;
            }
            match self.members.get_mut(&address) {
                // A member that has not answered yet counts, one that takes no tasks does not.
                Some(member) if member.may_take_tasks(fleet) => {
                    usable_count += 1;
                    member.reinstate(fleet);
                }
                Some(_) => {}
                None => {
                    usable_count += 1;
                    missing.push(address);
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

    /// Retires the members for a service in excess of `count_max`: first those that take no tasks,
    /// then the least preferred ones. Evacuated members do not count and stay, so that they are told
    /// of each change even after a restart.
    fn retire(&mut self, service: &str, count_max: usize, fleet: &mut Fleet, now: Instant) {
        let mut candidates: Vec<(bool, Reverse<u64>, SocketAddr)> = self
            .members
            .iter()
            .filter(|(_, member)| member.service == service && member.retired_at.is_none())
            .filter(|(_, member)| member.label_until.is_none_or(|until| until <= now))
            .filter(|(_, member)| !member.is_evacuated(fleet))
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
        let Some(record) = self.directory.record_at(address) else {
            return;
        };
        let member = SubsetMember {
            service: record.service.clone(),
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
