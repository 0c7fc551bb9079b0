//! The tasks that wait for room on the rack that holds their data.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::expected_ends::ExpectedEnds;
use super::fleet::{Fleet, TaskRequirements};
use super::place_wait::{PlaceDecision, PlaceWait};
use super::sidecar_view::SidecarView;
use crate::common::{Incarnation, ServiceName};
use crate::dispatch::{Attempt, JobName, TaskName};

/// How long a decision to wait holds while the rack has no room and no other work waits.
const REVIEW_INTERVAL: Duration = Duration::from_millis(10);

/// How long a fleet counts as short of room after a task found none.
const SHORTAGE_RETENTION: Duration = Duration::from_millis(100);

/// How long what was seen of a rack counts. Beyond, it may have had room unseen.
const SIGHT_RETENTION: Duration = Duration::from_millis(200);

/// A task that may wait for its rack.
#[derive(Debug, Clone, Copy)]
pub struct RackTask<'a> {
    /// The name of the task.
    pub name: TaskName,
    /// What it requires; the preferred label is its rack.
    pub requirements: &'a TaskRequirements<'a>,
    /// The CPU of the waiting tasks of its step from this one on, in millicores.
    pub step_millicores: u64,
    /// The placements of the other tasks of its step.
    pub siblings: &'a [(Incarnation, Attempt)],
    /// Whether it may wait at all.
    pub may_wait: bool,
}

/// The number of tasks that waited for their rack, by how the wait ended.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RackWaitCounts {
    /// The tasks that were placed on their rack.
    pub placed: u64,
    /// The tasks that were placed elsewhere.
    pub given_up: u64,
    /// The tasks whose job ended meanwhile.
    pub ended: u64,
    /// The time that all of them waited.
    pub waited: Duration,
}

/// A task that waits for its rack.
#[derive(Debug, Clone, Copy)]
struct RackWait {
    since: Instant,
    /// The longest wait by the first decision.
    first_max: Duration,
    /// The end of the wait by the newest decision, and when that was made.
    until: Instant,
    decided_at: Instant,
    /// Whether the newest decision was to wait no longer. The task does not wait again.
    is_over: bool,
}

impl RackWait {
    /// Ends the wait, if it has not ended yet.
    fn end(&mut self, now: Instant) {
        if !self.is_over {
            self.is_over = true;
            self.until = now;
        }
    }

    /// Returns how long the task has waited for its rack. Past the end of the wait it waits for any
    /// room.
    fn duration(&self, now: Instant) -> Duration {
        now.min(self.until).saturating_duration_since(self.since)
    }
}

/// What an entry has seen of a rack.
#[derive(Debug, Default)]
struct Rack {
    /// The usable sidecars of the rack, as of this pass.
    members: Vec<Incarnation>,
    /// The pass that the members and the line are of.
    pass: u64,
    /// The CPU of the tasks that were held back for the rack in this pass, in millicores.
    line_millicores: u64,
    /// Since when each look has found no room.
    full_since: Option<Instant>,
    seen_at: Option<Instant>,
}

impl Rack {
    /// Returns whether what was seen of it still counts.
    fn is_recent(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < SIGHT_RETENTION;
        self.seen_at.is_some_and(is_recent)
    }

    /// Records whether there is room now, and returns for how long there has been none.
    fn record_sight(&mut self, has_room: bool, now: Instant) -> Duration {
        if has_room || !self.is_recent(now) {
            self.full_since = None;
        }
        self.seen_at = Some(now);
        if has_room {
            return Duration::ZERO;
        }
        now.saturating_duration_since(*self.full_since.get_or_insert(now))
    }
}

/// The tasks of an entry that wait for their rack, and what the decisions on them rest on.
///
/// Without a remote run factor no task waits and nothing is recorded.
#[derive(Debug, Default)]
pub struct RackWaits {
    remote_run_factor_permille: Option<u32>,
    waits: HashMap<TaskName, RackWait>,
    racks: HashMap<ServiceName, HashMap<String, Rack>>,
    ends: ExpectedEnds,
    pass: u64,
    /// The jobs with a task that found no room in this pass. Those that come later in the order get
    /// the room that the tasks in the line leave elsewhere.
    unserved: Vec<(ServiceName, JobName)>,
    /// When a task of a service last found no room.
    unserved_at: HashMap<ServiceName, Instant>,
    counts: RackWaitCounts,
}

impl RackWaits {
    /// Creates the state without waiting tasks. `remote_run_factor_permille` is the factor by which
    /// a task takes longer outside of its rack, in thousandths.
    pub fn new(remote_run_factor_permille: Option<u32>) -> Self {
        Self {
            remote_run_factor_permille,
            ..Self::default()
        }
    }

    /// Returns whether tasks may wait for their rack at all.
    pub fn is_enabled(&self) -> bool {
        self.remote_run_factor_permille.is_some()
    }

    /// Returns the number of tasks that have waited, by how that ended.
    pub fn counts(&self) -> RackWaitCounts {
        self.counts
    }

    /// Begins a pass over the waiting tasks in the order of their jobs.
    pub fn begin_pass(&mut self, now: Instant) {
        self.pass += 1;
        self.unserved.clear();
        // Callers name the racks, so that their number and length are theirs to choose.
        for racks in self.racks.values_mut() {
            racks.retain(|_, rack| rack.is_recent(now));
        }
    }

    /// Returns the number of racks of which something is known.
    pub fn rack_count(&self) -> usize {
        self.racks.values().map(HashMap::len).sum()
    }

    /// Records that a task of a job found no room.
    pub fn record_unserved(&mut self, service: &str, job: JobName, now: Instant) {
        if self.is_enabled() {
            self.unserved.push((service.into(), job));
            self.unserved_at.insert(service.into(), now);
        }
    }

    /// Returns where a task is placed. `is_open` says which minions it may use at all.
    pub fn decide(
        &mut self,
        task: RackTask<'_>,
        fleet: &Fleet,
        is_open: impl Fn(Incarnation) -> bool,
        now: Instant,
    ) -> PlaceDecision {
        let (Some(factor), Some(label)) = (
            self.remote_run_factor_permille,
            task.requirements.preferred_label,
        ) else {
            return PlaceDecision::Elsewhere;
        };
        let wait = self.waits.get(&task.name).copied();
        if !task.may_wait || wait.is_some_and(|wait| wait.is_over) {
            return PlaceDecision::Elsewhere;
        }
        let service = task.requirements.service;
        let is_other = |(of, job): &(ServiceName, JobName)| of == service && *job != task.name.job;
        let has_unserved_work = self.unserved.iter().any(is_other);
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < SHORTAGE_RETENTION;
        let is_short = self.unserved_at.get(service).is_some_and(is_recent);
        let of_service = self.racks.entry(service.into()).or_default();
        let rack = of_service.entry(label.into()).or_default();
        if rack.pass != self.pass {
            rack.pass = self.pass;
            rack.line_millicores = 0;
            rack.members = members(fleet, service, label);
        }
        let usable = rack.members.iter().filter_map(|member| fleet.view(*member));
        let open: Vec<&SidecarView> = usable.filter(|view| is_open(view.incarnation())).collect();
        let fits = |view: &&&SidecarView| task.requirements.resources.fits_into(view.free());
        let has_rack_room = open.iter().any(|view| fits(&view));
        let full_for = rack.record_sight(has_rack_room, now);
        let holds = |wait: &RackWait| {
            now < wait.until && now.saturating_duration_since(wait.decided_at) < REVIEW_INTERVAL
        };
        let own_millicores = u64::from(task.requirements.resources.cpu_millicores);
        if let Some(wait) = wait.filter(holds)
            && !has_rack_room
            && !has_unserved_work
            && !open.is_empty()
        {
            rack.line_millicores += own_millicores;
            return PlaceDecision::Wait(wait.until.saturating_duration_since(now));
        }
        let step_millicores = if is_short {
            own_millicores
        } else {
            task.step_millicores.max(own_millicores)
        };
        let line_millicores = rack.line_millicores + step_millicores;
        let siblings = task.siblings.iter();
        let remote = siblings.filter(|(sidecar, _)| !rack.members.contains(sidecar));
        let inputs = PlaceWait {
            remote_run_factor_permille: factor,
            has_rack_room,
            rack_run_time: mean_run_time(&open, task.requirements.estimate),
            elsewhere_run_time: elsewhere_run_time(&task, fleet, &rack.members, is_short, &is_open),
            own_room_in: self.ends.room_in(&rack.members, line_millicores, now),
            others_millicores: open.iter().copied().map(others_millicores).sum(),
            full_for,
            line_millicores,
            waited: wait.map_or(Duration::ZERO, |wait| {
                now.saturating_duration_since(wait.since)
            }),
            first_wait_max: wait.map(|wait| wait.first_max),
            time_left: task.requirements.time_left,
            siblings_end_in: remote
                .filter_map(|(sidecar, attempt)| self.ends.ends_in(*sidecar, *attempt, now))
                .max()
                .unwrap_or_default(),
            has_unserved_work,
            is_short,
        };
        let decision = inputs.decide();
        if let PlaceDecision::Wait(at_most) = decision {
            rack.line_millicores += own_millicores;
            let first = wait.map_or((now, at_most), |wait| (wait.since, wait.first_max));
            let wait = RackWait {
                since: first.0,
                first_max: first.1,
                until: now + at_most,
                decided_at: now,
                is_over: false,
            };
            self.waits.insert(task.name, wait);
        } else if let Some(wait) = self.waits.get_mut(&task.name) {
            wait.end(now);
        }
        decision
    }

    /// Records that a task was placed, and returns how long it had waited for its rack.
    pub fn record_placement(
        &mut self,
        name: TaskName,
        requirements: &TaskRequirements<'_>,
        view: &SidecarView,
        attempt: Attempt,
        now: Instant,
    ) -> Duration {
        let Some(factor) = self.remote_run_factor_permille else {
            return Duration::ZERO;
        };
        let profile = view.profile();
        let is_there =
            profile.is_some_and(|profile| profile.has_label(requirements.preferred_label));
        let factor = if is_there { 1_000 } else { factor };
        let run_time = view.run_time(requirements.estimate) * factor / 1_000;
        let millicores = requirements.resources.cpu_millicores;
        self.ends
            .insert(view.incarnation(), attempt, run_time, millicores, now);
        let Some(wait) = self.waits.remove(&name) else {
            return Duration::ZERO;
        };
        self.counts.placed += u64::from(is_there);
        self.counts.given_up += u64::from(!is_there);
        let waited = wait.duration(now);
        self.counts.waited += waited;
        waited
    }

    /// Records that a placement has ended.
    pub fn record_end(&mut self, sidecar: Incarnation, attempt: Attempt) {
        self.ends.remove(sidecar, attempt);
    }

    /// Forgets a task whose job has ended.
    pub fn forget(&mut self, name: TaskName, now: Instant) {
        if let Some(wait) = self.waits.remove(&name) {
            self.counts.ended += 1;
            self.counts.waited += wait.duration(now);
        }
    }
}

/// Returns the usable sidecars of a service with a label. The order has no effect.
fn members(fleet: &Fleet, service: &str, label: &str) -> Vec<Incarnation> {
    let usable = fleet.views().filter(|view| view.is_usable());
    let is_member = |view: &&SidecarView| {
        view.profile()
            .is_some_and(|it| it.service == service && it.has_label(Some(label)))
    };
    let members = usable.filter(|view| !view.is_suspect()).filter(is_member);
    members.map(SidecarView::incarnation).collect()
}

fn mean_run_time(views: &[&SidecarView], estimate: Duration) -> Option<Duration> {
    let sum: Duration = views.iter().map(|view| view.run_time(estimate)).sum();
    let count = u32::try_from(views.len()).unwrap_or(u32::MAX);
    sum.checked_div(count)
}

/// Returns the shortest run time on a minion with room that is not on the rack. If none has room,
/// any of them may be the first that has, and in a shortage others use the fast ones: then returns
/// the mean.
fn elsewhere_run_time(
    task: &RackTask<'_>,
    fleet: &Fleet,
    rack_members: &[Incarnation],
    is_short: bool,
    is_open: impl Fn(Incarnation) -> bool,
) -> Option<Duration> {
    let requirements = task.requirements;
    let is_candidate = |view: &&SidecarView| {
        let is_suitable = view.profile().is_some_and(|profile| {
            profile.service == requirements.service
                && profile.has_label(requirements.required_label)
        });
        view.is_usable()
            && !view.is_suspect()
            && is_suitable
            && !rack_members.contains(&view.incarnation())
            && is_open(view.incarnation())
    };
    let candidates: Vec<&SidecarView> = fleet.views().filter(is_candidate).collect();
    let has_room = |view: &&&SidecarView| requirements.resources.fits_into(view.free());
    let with_room = candidates.iter().filter(|_| !is_short).filter(has_room);
    let best = with_room
        .map(|view| view.run_time(requirements.estimate))
        .min();
    best.or_else(|| mean_run_time(&candidates, requirements.estimate))
}

/// Returns the CPU of a minion that the tasks of other entries use, in millicores.
fn others_millicores(view: &SidecarView) -> u64 {
    let capacity = view
        .profile()
        .map(|profile| profile.capacity)
        .unwrap_or_default();
    let others = capacity
        .saturating_sub(view.free())
        .saturating_sub(view.placed_resources());
    others.cpu_millicores.into()
}
