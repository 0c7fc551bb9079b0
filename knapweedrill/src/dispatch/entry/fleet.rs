//! The sidecars that an entry knows, and the choice among them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::SidecarView;
use crate::common::Incarnation;
use crate::dispatch::Room;
use crate::dispatch::session::MessageNumber;

/// Minions whose run times differ by less than this share count as equal: paces are known to about
/// half as much, and the best of many guesses is seldom the best minion.
const EQUAL_RUN_TIME_PERCENT: u32 = 25;

/// Among equal minions the roomiest of this many, drawn by chance, is chosen: what is known of
/// their room is a status old, and all entries would choose the roomiest of all.
const CHOICE_COUNT: usize = 2;

/// The share of suspect minions, one in so many, from which on the tasks are to blame and all
/// minions are used.
const SUSPECTS_DIVISOR: usize = 3;

/// What a task needs of a minion.
#[derive(Debug, Clone, Copy)]
pub struct TaskRequirements<'a> {
    /// The service that it has to belong to.
    pub service: &'a str,
    /// The room that it has to have.
    pub room: Room,
    /// The estimate of the task's run time.
    pub estimate: Duration,
    /// A label that it has to have.
    pub required_label: Option<&'a str>,
    /// A label that it had better have.
    pub preferred_label: Option<&'a str>,
}

/// A minion that could take a task now.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    /// How long the task is going to run there, with what speaks against the minion.
    time: Duration,
    free_millicores: u32,
    incarnation: Incarnation,
}

/// The sidecars that an entry knows.
#[derive(Debug)]
pub struct Fleet {
    views: HashMap<Incarnation, SidecarView>,
    /// The sidecars whose number of placements has changed between none and some.
    busy_changes: Vec<Incarnation>,
    probe_interval: Duration,
    random: SmallRng,
}

impl Fleet {
    /// Creates a fleet without sidecars.
    pub fn new(probe_interval: Duration, seed: u64) -> Self {
        Self {
            views: HashMap::new(),
            busy_changes: Vec::new(),
            probe_interval,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the view of a sidecar, a new one if need be.
    pub fn get_or_insert(&mut self, sidecar: Incarnation) -> &mut SidecarView {
        self.views
            .entry(sidecar)
            .or_insert_with(|| SidecarView::new(sidecar))
    }

    /// Returns the view of a sidecar.
    pub fn view(&self, sidecar: Incarnation) -> Option<&SidecarView> {
        self.views.get(&sidecar)
    }

    /// Returns the view of a sidecar.
    pub fn view_mut(&mut self, sidecar: Incarnation) -> Option<&mut SidecarView> {
        self.views.get_mut(&sidecar)
    }

    /// Returns all views.
    pub fn views(&self) -> impl Iterator<Item = &SidecarView> {
        self.views.values()
    }

    /// Forgets sidecars that are gone and run nothing any more.
    pub fn remove_gone(&mut self) {
        self.views
            .retain(|_, view| view.gone_at().is_none() || view.placed_count() > 0);
    }

    /// Forgets a sidecar whose session is closed, once what was placed there is settled.
    pub(super) fn mark_gone(&mut self, sidecar: Incarnation, now: Instant) {
        if let Some(view) = self.views.get_mut(&sidecar)
            && view.gone_at().is_none()
        {
            view.set_gone(now);
        }
    }

    /// Takes in that a task was sent to a sidecar.
    pub(super) fn record_placement(
        &mut self,
        sidecar: Incarnation,
        number: MessageNumber,
        room: Room,
        now: Instant,
    ) {
        if let Some(view) = self.views.get_mut(&sidecar) {
            if view.placed_count() == 0 {
                self.busy_changes.push(sidecar);
            }
            view.record_placement(number, room, now);
        }
    }

    /// Takes in that a placement at a sidecar has ended.
    pub(super) fn record_end(&mut self, sidecar: Incarnation, room: Room) {
        if let Some(view) = self.views.get_mut(&sidecar) {
            view.record_end(room);
            if view.placed_count() == 0 {
                self.busy_changes.push(sidecar);
            }
        }
    }

    /// Returns the sidecars that have got their first task or lost their last one since the last call, and
    /// whether they have some now.
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

    /// Says whether a sidecar gets no more tasks, since its session is to be closed.
    pub(super) fn set_retired(&mut self, sidecar: Incarnation, is_retired: bool) {
        if let Some(view) = self.views.get_mut(&sidecar) {
            view.set_retired(is_retired);
        }
    }

    /// Returns this entry's share of the processor of a service, in thousandths of a core: of the usable
    /// minions within reach, and of `spare_count` others that would be taken into it when room is short.
    ///
    /// The others are taken to be as free as those within reach would be without this entry's tasks.
    pub fn share_millicores(&self, service: &str, spare_count: u64) -> u64 {
        let (mut count, mut share, mut free, mut foreign) = (0, 0, 0, 0);
        for view in self.of_service(service).filter(|view| view.is_usable()) {
            let Some(profile) = view.profile() else {
                continue;
            };
            let own = view.placed_room();
            let others = profile.capacity.minus(own).minus(view.free());
            count += 1;
            share += u64::from(profile.capacity.cpu_millicores) / view.sharer_count();
            free += u64::from(view.free().cpu_millicores);
            foreign += u64::from(others.cpu_millicores);
        }
        let spare_share = spare_count * share / u64::max(count, 1);
        let not_own = free + foreign;
        let spare_free_permille = (free * 1_000).checked_div(not_own).unwrap_or(1_000);
        share + spare_share * spare_free_permille / 1_000
    }

    /// Returns the processor that this entry's tasks of a service take up, in thousandths of a core.
    pub(super) fn placed_millicores(&self, service: &str) -> u64 {
        self.of_service(service)
            .map(|view| u64::from(view.placed_room().cpu_millicores))
            .sum()
    }

    /// Returns the processor of a minion of a service, on average, in thousandths of a core; 0 if none is
    /// known.
    pub(super) fn mean_millicores(&self, service: &str) -> u64 {
        let profiles = self.of_service(service).filter_map(SidecarView::profile);
        let (sum, count) = profiles.fold((0, 0), |(sum, count), profile| {
            (sum + u64::from(profile.capacity.cpu_millicores), count + 1)
        });
        sum / u64::max(count, 1)
    }

    /// Returns whether a usable minion of a service has a label.
    pub(super) fn has_label(&self, service: &str, label: &str) -> bool {
        self.of_service(service)
            .filter(|view| view.is_usable())
            .filter_map(SidecarView::profile)
            .any(|profile| has_label(&profile.labels, Some(label)))
    }

    /// Returns whether some minion could run the task if nothing else ran there.
    pub fn could_ever_run(&self, wanted: &TaskRequirements<'_>) -> bool {
        self.of_service(wanted.service)
            .filter_map(SidecarView::profile)
            .any(|profile| {
                wanted.room.fits_into(profile.capacity)
                    && has_label(&profile.labels, wanted.required_label)
            })
    }

    /// Chooses the minion for a task: the one that is going to end it first.
    ///
    /// `penalty` says how much worse than its run time a minion is; none excludes it.
    pub fn choose(
        &mut self,
        wanted: &TaskRequirements<'_>,
        now: Instant,
        penalty: impl Fn(Incarnation) -> Option<Duration>,
    ) -> Option<Incarnation> {
        let trusts_all = self.has_too_many_suspects(wanted.service);
        let probe_interval = self.probe_interval;
        let mut fitting: Vec<Candidate> = self
            .of_service(wanted.service)
            .filter(|view| view.is_usable() && wanted.room.fits_into(view.free()))
            .filter(|view| {
                trusts_all || !view.is_suspect() || view.may_be_probed(now, probe_interval)
            })
            .filter_map(|view| {
                let labels = &view.profile()?.labels;
                let mut time = view.run_time(wanted.estimate) + penalty(view.incarnation())?;
                if !has_label(labels, wanted.preferred_label) {
                    time += wanted.estimate / 2;
                }
                has_label(labels, wanted.required_label).then_some(Candidate {
                    time,
                    free_millicores: view.free().cpu_millicores,
                    incarnation: view.incarnation(),
                })
            })
            .collect();
        let best = fitting.iter().map(|candidate| candidate.time).min()?;
        let bound = best + best * EQUAL_RUN_TIME_PERCENT / 100;
        fitting.retain(|candidate| candidate.time <= bound);
        fitting.sort_unstable_by_key(|candidate| candidate.incarnation);
        let drawn = (0..CHOICE_COUNT).map(|_| fitting[self.random.random_range(0..fitting.len())]);
        drawn
            .max_by_key(|candidate| candidate.free_millicores)
            .map(|candidate| candidate.incarnation)
    }

    fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a SidecarView> {
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

fn has_label(labels: &[String], wanted: Option<&str>) -> bool {
    wanted.is_none_or(|wanted| labels.iter().any(|label| label == wanted))
}
