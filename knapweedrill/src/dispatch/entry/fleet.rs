//! The sidecars that an entry has sessions with, and the choice among them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::SidecarView;
use crate::common::Incarnation;
use crate::dispatch::Resources;
use crate::dispatch::message::MinionProfile;
use crate::dispatch::session::MessageNumber;

/// Minions whose estimated run times differ by at most this much count as equal. The error of a
/// pace is about half of it, and the lowest of many noisy estimates is seldom the fastest minion.
const EQUAL_RUN_TIME_PERCENT: u32 = 25;

/// The number of random choices among equal minions, of which the one with the most free CPU is
/// taken. The free capacity is as old as the last status, so that all entries would otherwise
/// choose the same minion.
const CHOICE_COUNT: usize = 2;

/// If more than one in this many usable minions of a service is suspect, the tasks are assumed to
/// cause the failures and no minion is avoided.
const SUSPECTS_DIVISOR: usize = 3;

/// The requirements of a task for its minion.
#[derive(Debug, Clone, Copy)]
pub struct TaskRequirements<'a> {
    /// The service that the minion must belong to.
    pub service: &'a str,
    /// The resources that must be free on the minion.
    pub resources: Resources,
    /// The estimate of the task's run time.
    pub estimate: Duration,
    /// How long the run may take so that the job meets its objective.
    pub time_left: Duration,
    /// A label that the minion must have.
    pub required_label: Option<&'a str>,
    /// A label that the minion should have; a minion without it counts as slower by the remote run
    /// factor of the fleet.
    pub preferred_label: Option<&'a str>,
}

/// A minion that can take a task now.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    /// The estimated run time there, with all penalties.
    time: Duration,
    free_millicores: u32,
    incarnation: Incarnation,
}

/// The sidecars that an entry has sessions with, or still counts placements for.
#[derive(Debug)]
pub struct Fleet {
    views: HashMap<Incarnation, SidecarView>,
    /// The sidecars that became busy or idle since the last call of `take_busy_changes`.
    busy_changes: Vec<Incarnation>,
    probe_interval: Duration,
    /// The factor by which a task takes longer on a minion without its preferred label, in
    /// thousandths, if the deployment names one.
    remote_run_factor_permille: Option<u32>,
    random: SmallRng,
}

impl Fleet {
    /// Creates a fleet without sidecars. `probe_interval` is the minimum interval between two
    /// probes of a suspect minion, and `seed` is the seed of the random choices.
    pub fn new(probe_interval: Duration, seed: u64) -> Self {
        Self {
            views: HashMap::new(),
            busy_changes: Vec::new(),
            probe_interval,
            remote_run_factor_permille: None,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the factor by which a task takes longer on a minion without its preferred label, in
    /// thousandths. Without one, such a minion counts as slower by half of the estimate.
    #[must_use]
    pub fn with_remote_run_factor(mut self, factor_permille: Option<u32>) -> Self {
        self.remote_run_factor_permille = factor_permille;
        self
    }

    /// Returns the view of a sidecar and creates it if there is none.
    pub fn get_or_insert(&mut self, sidecar: Incarnation) -> &mut SidecarView {
        self.views
            .entry(sidecar)
            .or_insert_with(|| SidecarView::new(sidecar))
    }

    /// Returns the view of a sidecar, if the fleet has one.
    pub fn view(&self, sidecar: Incarnation) -> Option<&SidecarView> {
        self.views.get(&sidecar)
    }

    /// Returns the mutable view of a sidecar, if the fleet has one.
    pub fn view_mut(&mut self, sidecar: Incarnation) -> Option<&mut SidecarView> {
        self.views.get_mut(&sidecar)
    }

    /// Returns the views of all sidecars, in no particular order.
    pub fn views(&self) -> impl Iterator<Item = &SidecarView> {
        self.views.values()
    }

    /// Removes sidecars that are gone and have no placements.
    pub fn remove_gone(&mut self) {
        self.views
            .retain(|_, view| view.gone_at().is_none() || view.placed_count() > 0);
    }

    /// Marks a sidecar whose session is closed as gone; it is removed once it has no placements.
    pub(super) fn mark_gone(&mut self, sidecar: Incarnation, now: Instant) {
        if let Some(view) = self.views.get_mut(&sidecar)
            && view.gone_at().is_none()
        {
            view.mark_gone(now);
        }
    }

    /// Records that a task was sent to a sidecar in the message with the given number.
    pub(super) fn record_placement(
        &mut self,
        sidecar: Incarnation,
        number: MessageNumber,
        resources: Resources,
        now: Instant,
    ) {
        if let Some(view) = self.views.get_mut(&sidecar) {
            if view.placed_count() == 0 {
                self.busy_changes.push(sidecar);
            }
            view.record_placement(number, resources, now);
        }
    }

    /// Records that a placement at a sidecar has ended and releases its resources.
    pub(super) fn record_end(&mut self, sidecar: Incarnation, resources: Resources) {
        if let Some(view) = self.views.get_mut(&sidecar) {
            view.record_end(resources);
            if view.placed_count() == 0 {
                self.busy_changes.push(sidecar);
            }
        }
    }

    /// Returns the sidecars that became busy or idle since the last call, and whether they are busy
    /// now.
    pub(super) fn take_busy_changes(&mut self) -> Vec<(Incarnation, bool)> {
        let busy_changes = std::mem::take(&mut self.busy_changes);
        busy_changes
            .into_iter()
            .map(|sidecar| {
                let view = self.views.get(&sidecar);
                (sidecar, view.is_some_and(|view| view.placed_count() > 0))
            })
            .collect()
    }

    /// Sets whether a sidecar gets no more tasks because its session is about to be closed.
    pub(super) fn set_retired(&mut self, sidecar: Incarnation, is_retired: bool) {
        if let Some(view) = self.views.get_mut(&sidecar) {
            view.set_retired(is_retired);
        }
    }

    /// Returns this entry's share of the CPU capacity of a service, in millicores: of the usable
    /// minions in its subset, and of `spare_count` more that would join the subset under load.
    ///
    /// The minions outside of the subset are assumed to be as free as those inside would be
    /// without this entry's tasks.
    pub fn share_millicores(&self, service: &str, spare_count: u64) -> u64 {
        self.share_millicores_of(service, spare_count, |_| true)
    }

    /// Returns the same as [`share_millicores`](Self::share_millicores), of the minions that
    /// `is_counted` selects.
    pub(super) fn share_millicores_of(
        &self,
        service: &str,
        spare_count: u64,
        is_counted: impl Fn(Incarnation) -> bool,
    ) -> u64 {
        let (mut count, mut share, mut free, mut others_used) = (0, 0, 0, 0);
        let views = self.of_service(service).filter(|view| view.is_usable());
        for view in views.filter(|view| is_counted(view.incarnation())) {
            let Some(profile) = view.profile() else {
                continue;
            };
            let own = view.placed_resources();
            let others = profile
                .capacity
                .saturating_sub(own)
                .saturating_sub(view.free());
            count += 1;
            share += u64::from(profile.capacity.cpu_millicores) / view.recent_entry_count();
            free += u64::from(view.free().cpu_millicores);
            others_used += u64::from(others.cpu_millicores);
        }
        let spare_share = spare_count * share / u64::max(count, 1);
        let not_own = free + others_used;
        let spare_free_permille = (free * 1_000).checked_div(not_own).unwrap_or(1_000);
        share + spare_share * spare_free_permille / 1_000
    }

    /// Returns the CPU capacity of the usable minions of a service that `is_counted` selects, in
    /// millicores.
    pub(super) fn capacity_millicores_of(
        &self,
        service: &str,
        is_counted: impl Fn(Incarnation) -> bool,
    ) -> u64 {
        self.of_service(service)
            .filter(|view| view.is_usable() && is_counted(view.incarnation()))
            .filter_map(SidecarView::profile)
            .map(|profile| u64::from(profile.capacity.cpu_millicores))
            .sum()
    }

    /// Returns the CPU that is free for equal tasks, in millicores: where they would end in time, with
    /// at most `per_minion_max` on each of the usable minions that `is_counted` selects.
    pub(super) fn free_millicores_for(
        &self,
        requirements: &TaskRequirements<'_>,
        per_minion_max: u32,
        is_counted: impl Fn(Incarnation) -> bool,
    ) -> u64 {
        let resources = requirements.resources;
        self.of_service(requirements.service)
            .filter(|view| view.is_usable() && !view.is_suspect())
            .filter(|view| is_counted(view.incarnation()))
            .filter(|view| view.run_time(requirements.estimate) <= requirements.time_left)
            .filter(|view| {
                let has_label =
                    |profile: &MinionProfile| profile.has_label(requirements.required_label);
                view.profile().is_some_and(has_label)
            })
            .map(|view| {
                let count = resources.count_in(view.free()).min(per_minion_max);
                u64::from(count) * u64::from(resources.cpu_millicores)
            })
            .sum()
    }

    /// Returns the CPU allocated to this entry's tasks of a service, in millicores.
    pub(super) fn placed_millicores(&self, service: &str) -> u64 {
        self.of_service(service)
            .map(|view| u64::from(view.placed_resources().cpu_millicores))
            .sum()
    }

    /// Returns the mean CPU capacity of the known minions of a service, in millicores; 0 if there
    /// are none.
    pub(super) fn mean_millicores(&self, service: &str) -> u64 {
        let profiles = self.of_service(service).filter_map(SidecarView::profile);
        let (sum, count) = profiles.fold((0, 0), |(sum, count), profile| {
            (sum + u64::from(profile.capacity.cpu_millicores), count + 1)
        });
        sum / u64::max(count, 1)
    }

    /// Returns the usable sidecars of a service.
    pub(super) fn usable(&self, service: &str) -> impl Iterator<Item = Incarnation> {
        let views = self.of_service(service).filter(|view| view.is_usable());
        views.map(SidecarView::incarnation)
    }

    /// Returns the usable sidecars of a service where nothing runs.
    pub(super) fn idle(&self, service: &str) -> impl Iterator<Item = Incarnation> {
        let views = self.of_service(service).filter(|view| view.is_usable());
        views
            .filter(|view| view.is_idle())
            .map(SidecarView::incarnation)
    }

    /// Returns whether a usable minion of a service has a label.
    pub(super) fn has_label(&self, service: &str, label: &str) -> bool {
        self.of_service(service)
            .filter(|view| view.is_usable())
            .filter_map(SidecarView::profile)
            .any(|profile| profile.has_label(Some(label)))
    }

    /// Returns whether some known minion could run the task when idle.
    pub fn could_ever_run(&self, requirements: &TaskRequirements<'_>) -> bool {
        self.of_service(requirements.service)
            .filter_map(SidecarView::profile)
            .any(|profile| {
                requirements.resources.fits_into(profile.capacity)
                    && profile.has_label(requirements.required_label)
            })
    }

    /// Chooses the sidecar of the minion with the lowest estimated run time for a task.
    ///
    /// `penalty` returns the time to add to the estimate for a minion, or `None` to exclude it.
    /// Among minions with nearly equal times the choice is random and favours free CPU, so that
    /// several entries do not all choose the same minion.
    pub fn choose(
        &mut self,
        requirements: &TaskRequirements<'_>,
        now: Instant,
        penalty: impl Fn(Incarnation) -> Option<Duration>,
    ) -> Option<Incarnation> {
        let trusts_all = self.has_too_many_suspects(requirements.service);
        let probe_interval = self.probe_interval;
        let remote_penalty = remote_penalty(requirements.estimate, self.remote_run_factor_permille);
        let mut candidates: Vec<Candidate> = self
            .of_service(requirements.service)
            .filter(|view| view.is_usable() && requirements.resources.fits_into(view.free()))
            .filter(|view| {
                trusts_all || !view.is_suspect() || view.may_be_probed(now, probe_interval)
            })
            .filter_map(|view| {
                let profile = view.profile()?;
                let mut time = view.run_time(requirements.estimate) + penalty(view.incarnation())?;
                if !profile.has_label(requirements.preferred_label) {
                    time += remote_penalty;
                }
                profile
                    .has_label(requirements.required_label)
                    .then_some(Candidate {
                        time,
                        free_millicores: view.free().cpu_millicores,
                        incarnation: view.incarnation(),
                    })
            })
            .collect();
        let best = candidates.iter().map(|candidate| candidate.time).min()?;
        if best > requirements.time_left && self.has_faster_minion(requirements) {
            // The job would certainly be late there, and a minion that is in time may have room
            // soon.
            return None;
        }
        let bound = best + best * EQUAL_RUN_TIME_PERCENT / 100;
        candidates.retain(|candidate| candidate.time <= bound);
        candidates.sort_unstable_by_key(|candidate| candidate.incarnation);
        let choices =
            (0..CHOICE_COUNT).map(|_| candidates[self.random.random_range(0..candidates.len())]);
        choices
            .max_by_key(|candidate| candidate.free_millicores)
            .map(|candidate| candidate.incarnation)
    }

    /// Returns whether any minion, with room or without, could run a task within the time left.
    ///
    /// With a remote run factor, whether a task waits for a minion with its preferred label is
    /// decided before the choice, so that such a minion does not count here: the task would wait for
    /// it without a limit.
    fn has_faster_minion(&self, requirements: &TaskRequirements<'_>) -> bool {
        let remote_penalty = match (
            requirements.preferred_label,
            self.remote_run_factor_permille,
        ) {
            (Some(label), Some(factor)) => {
                Some((label, remote_penalty(requirements.estimate, Some(factor))))
            }
            _ => None,
        };
        self.of_service(requirements.service)
            .filter(|view| view.is_usable() && !view.is_suspect())
            .any(|view| {
                let time = view.run_time(requirements.estimate);
                let time = match remote_penalty {
                    None => Some(time),
                    Some((label, penalty)) => {
                        let is_there = view.profile().is_some_and(|it| it.has_label(Some(label)));
                        (!is_there).then_some(time + penalty)
                    }
                };
                time.is_some_and(|time| time <= requirements.time_left)
            })
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = &SidecarView> {
        self.views.values().filter(move |view| {
            view.profile()
                .is_some_and(|profile| profile.service == service)
        })
    }

    fn has_too_many_suspects(&self, service: &str) -> bool {
        let usable = self.of_service(service).filter(|view| view.is_usable());
        let (suspects, others): (Vec<_>, Vec<_>) = usable.partition(|view| view.is_suspect());
        suspects.len() * SUSPECTS_DIVISOR > suspects.len() + others.len()
    }
}

/// Returns how much longer a task with the given estimate takes on a minion without its preferred
/// label.
fn remote_penalty(estimate: Duration, factor_permille: Option<u32>) -> Duration {
    match factor_permille {
        Some(factor_permille) => estimate * factor_permille.saturating_sub(1_000) / 1_000,
        None => estimate / 2,
    }
}
