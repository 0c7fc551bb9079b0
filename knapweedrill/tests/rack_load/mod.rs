//! Arrivals of jobs that name racks, placed by entries with one of several policies.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use knapweedrill::common::Incarnation;
use knapweedrill::dispatch::entry::{
    Fleet, PlaceDecision, RackTask, RackWaits, SidecarView, TaskRequirements,
};
use knapweedrill::dispatch::message::{
    CrashRecord, MinionAvailability, MinionProfile, SidecarStatus,
};
use knapweedrill::dispatch::{JobName, Resources, TaskName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SERVICE: &str = "service";
const ENTRY_COUNT: usize = 2;
const RACK_COUNT: u64 = 8;
const MINIONS_PER_RACK: u64 = 6;
const MINION_MILLICORES: u32 = 40_000;
const TASK_MILLICORES: u32 = 2_500;
/// A third of the minions runs tasks 1.7 times as fast, the others 0.7 times.
const PACES_PERMILLE: [u32; 3] = [588, 1_429, 1_429];
const TICK_MS: u64 = 10;
const DELAY_MS: u64 = 1;
/// How long the jobs arrive, and how long the last of them may take.
const LOAD_MS: u64 = 5_000;
const CALLER_TIMEOUT_MS: u64 = 1_500;
/// When the rack disappears, how long entries take to notice, and after how long runs there are lost.
const VANISH_MS: u64 = 2_500;
const SILENCE_MS: u64 = 150;
const LOST_AFTER_MS: u64 = 1_300;
/// How long an entry counts as short of room after a task found none.
const SHORT_MS: u64 = 100;
const SKIPPED_JOBS_MAX: usize = 8;
const LONG_RUN_FACTOR: u64 = 7;

/// How tasks are placed whose rack has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// As the entry does.
    Decision,
    /// Elsewhere at once.
    Never,
    /// When the rack has room.
    Forever,
    /// When the rack has room, or after this time.
    Fixed(Duration),
}

/// The load on a fleet, in jobs per second.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) name: &'static str,
    /// Jobs of 8 tasks of 50 to 60 ms, of which 60 % want the first rack.
    pub(crate) short_rate: u64,
    /// Jobs of 2 tasks of 200 ms, of which half want any of the racks or as many as of the short
    /// ones the first.
    pub(crate) middle_rate: u64,
    /// Jobs of 4 tasks of 900 ms, which want racks as those of 200 ms do.
    pub(crate) long_rate: u64,
    pub(crate) factor_permille: u32,
    /// How many of the tasks take seven times as long as estimated.
    pub(crate) long_run_percent: u64,
    /// Whether the longer jobs want the first rack as well.
    pub(crate) all_want_first: bool,
    /// Whether the first rack disappears.
    pub(crate) disappears: bool,
    pub(crate) seed: u64,
}

impl Load {
    pub(crate) const BASE: Self = Self {
        name: "",
        short_rate: 0,
        middle_rate: 0,
        long_rate: 0,
        factor_permille: 2_000,
        long_run_percent: 0,
        all_want_first: false,
        disappears: false,
        seed: 1,
    };
}

/// What came of a load.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) mean_ms: f64,
    pub(crate) in_time_permille: f64,
    /// The share of the tasks with a rack that ran there.
    pub(crate) on_rack_permille: f64,
    pub(crate) unanswered_count: usize,
    /// Tasks that were held for longer than they could gain, with both times in milliseconds.
    pub(crate) waits_beyond_gain: Vec<(TaskName, u64, u64)>,
    held_count: usize,
}

impl Outcome {
    /// Joins the outcomes of the same load with several seeds: means of the times and shares, and
    /// sums of the counts.
    pub(crate) fn join(outcomes: &[Self]) -> Self {
        let count = outcomes.len() as f64;
        let mean = |value: fn(&Self) -> f64| outcomes.iter().map(value).sum::<f64>() / count;
        Self {
            mean_ms: mean(|it| it.mean_ms),
            in_time_permille: mean(|it| it.in_time_permille),
            on_rack_permille: mean(|it| it.on_rack_permille),
            unanswered_count: outcomes.iter().map(|it| it.unanswered_count).sum(),
            waits_beyond_gain: Vec::new(),
            held_count: outcomes.iter().map(|it| it.held_count).sum(),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "mean {:6.1} ms, in time {:5.1} permille, on rack {:5.1} permille, held {:5} tasks, unanswered {}",
            self.mean_ms,
            self.in_time_permille,
            self.on_rack_permille,
            self.held_count,
            self.unanswered_count
        )
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskState {
    Waiting,
    Placed(Incarnation, u64),
    Done,
}

#[derive(Debug)]
struct LoadTask {
    run_ms: u64,
    state: TaskState,
    placement_count: u32,
}

#[derive(Debug)]
struct LoadJob {
    arrives_ms: u64,
    entry: usize,
    priority: u8,
    estimate_ms: u64,
    rack: Option<String>,
    tasks: Vec<LoadTask>,
    response_ms: Option<u64>,
}

impl LoadJob {
    fn objective_ms(&self) -> u64 {
        self.estimate_ms * 8 / 5 + 60
    }

    fn queue_key(&self, number: usize, now_ms: u64) -> (u8, bool, u64, usize) {
        let due_ms = self.arrives_ms + self.objective_ms();
        let is_overdue = now_ms + self.estimate_ms > due_ms;
        (self.priority, is_overdue, due_ms - self.estimate_ms, number)
    }

    fn is_started(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| task.state != TaskState::Waiting)
    }
}

#[derive(Debug)]
struct LoadEntry {
    fleet: Fleet,
    rack_waits: RackWaits,
    message_numbers: BTreeMap<Incarnation, u64>,
    last_attempt: u64,
    waiting_jobs: Vec<usize>,
    is_due: bool,
    /// When a task last found no room.
    unserved_at_ms: Option<u64>,
    /// Since when a task is held, and what it could gain then in milliseconds.
    held: BTreeMap<TaskName, (u64, u64)>,
}

#[derive(Debug, Default)]
struct LoadMinion {
    used_millicores: u32,
    /// The runs by entry and attempt, with the job and the task.
    runs: BTreeMap<(usize, u64), (usize, usize)>,
    acknowledged: BTreeMap<usize, u64>,
    is_gone: bool,
}

#[derive(Debug, Clone, Copy)]
struct Order {
    entry: usize,
    minion: Incarnation,
    number: u64,
    job: usize,
    task: usize,
    attempt: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Done,
    Refused,
    Lost,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Order(Order),
    RunEnds(Order),
    Stop(Order),
    Report(Order, End),
    Status { minion: Incarnation },
    Vanish,
    Silence,
    Tick,
}

/// A run of a load: a loop over arrivals, orders, ends of runs and statuses.
pub(crate) struct RackLoad {
    load: Load,
    policy: Policy,
    epoch: Instant,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    jobs: Vec<LoadJob>,
    entries: Vec<LoadEntry>,
    minions: BTreeMap<Incarnation, LoadMinion>,
    on_rack_count: u64,
    rack_task_count: u64,
    held_count: usize,
    waits_beyond_gain: Vec<(TaskName, u64, u64)>,
}

fn rack_of(minion: Incarnation) -> u64 {
    (minion - 1) % RACK_COUNT
}

fn pace_permille(minion: Incarnation) -> u32 {
    PACES_PERMILLE[((minion - 1) / RACK_COUNT % 3) as usize]
}

fn resources(cpu_millicores: u32) -> Resources {
    Resources {
        cpu_millicores,
        memory_mib: 1,
        accelerator_count: 0,
    }
}

fn task_name(job: usize, task: usize) -> TaskName {
    TaskName {
        job: JobName(job as u64),
        step: 0,
        index: task as u32,
    }
}

impl RackLoad {
    /// Runs a load with a policy. The arrivals only depend on the load.
    pub(crate) fn run(load: Load, policy: Policy) -> Outcome {
        let mut run = Self::new(load, policy);
        while let Some(((at_ms, _), event)) = run.events.pop_first() {
            if at_ms > LOAD_MS + CALLER_TIMEOUT_MS + TICK_MS {
                break;
            }
            if at_ms > run.now_ms {
                run.place_due();
                run.now_ms = at_ms;
            }
            run.handle(event);
        }
        run.outcome()
    }

    fn new(load: Load, policy: Policy) -> Self {
        let minions: BTreeMap<_, _> = (1..=RACK_COUNT * MINIONS_PER_RACK)
            .map(|minion| (minion, LoadMinion::default()))
            .collect();
        let entries = (0..ENTRY_COUNT as u64).map(|entry| {
            let mut fleet = Fleet::new(Duration::from_millis(500), load.seed * 10 + entry)
                .with_remote_run_factor(Some(load.factor_permille));
            for minion in minions.keys() {
                let labels = vec![format!("rack-{}", rack_of(*minion))];
                fleet
                    .get_or_insert(*minion)
                    .set_profile(Some(MinionProfile {
                        instance: format!("minion-{minion}"),
                        service: SERVICE.into(),
                        capacity: Resources {
                            memory_mib: 100_000,
                            ..resources(MINION_MILLICORES)
                        },
                        labels,
                        failure_domain: String::new(),
                    }));
            }
            LoadEntry {
                fleet,
                rack_waits: RackWaits::new(Some(load.factor_permille)),
                message_numbers: BTreeMap::new(),
                last_attempt: 0,
                waiting_jobs: Vec::new(),
                is_due: false,
                unserved_at_ms: None,
                held: BTreeMap::new(),
            }
        });
        let mut run = Self {
            load,
            policy,
            epoch: Instant::now(),
            now_ms: 0,
            events: BTreeMap::new(),
            event_count: 0,
            jobs: Vec::new(),
            entries: entries.collect(),
            minions,
            on_rack_count: 0,
            rack_task_count: 0,
            held_count: 0,
            waits_beyond_gain: Vec::new(),
        };
        run.add_arrivals();
        for minion in 1..=RACK_COUNT * MINIONS_PER_RACK {
            run.schedule(0, Event::Status { minion });
        }
        for tick in 0..(LOAD_MS + CALLER_TIMEOUT_MS) / TICK_MS + 1 {
            run.schedule(tick * TICK_MS, Event::Tick);
        }
        if load.disappears {
            run.schedule(VANISH_MS, Event::Vanish);
            run.schedule(VANISH_MS + SILENCE_MS, Event::Silence);
        }
        run
    }

    fn add_arrivals(&mut self) {
        let mut random = StdRng::seed_from_u64(self.load.seed);
        let Load {
            short_rate,
            middle_rate,
            long_rate,
            long_run_percent,
            ..
        } = self.load;
        let kinds = [(short_rate, 0), (middle_rate, 1), (long_rate, 2)];
        for (rate, priority) in kinds.into_iter().filter(|(rate, _)| *rate > 0) {
            let mut at_ms = 1.0;
            loop {
                let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
                at_ms -= uniform.ln() * 1_000.0 / rate as f64;
                if at_ms > LOAD_MS as f64 {
                    break;
                }
                let (task_count, estimate_ms) = match priority {
                    0 => (8, random.random_range(50..=60)),
                    1 => (2, 200),
                    _ => (4, 900),
                };
                let chance = random.random_range(0..100);
                let any_rack = random.random_range(0..RACK_COUNT);
                let rack = match priority {
                    0 => (chance < 60).then(|| "rack-0".to_owned()),
                    _ if self.load.all_want_first => (chance < 60).then(|| "rack-0".to_owned()),
                    _ => (chance < 50).then(|| format!("rack-{any_rack}")),
                };
                let tasks = (0..task_count).map(|_| {
                    let percent = random.random_range(60..=140);
                    let is_long = random.random_range(0..100) < long_run_percent;
                    let factor = if is_long { LONG_RUN_FACTOR } else { 1 };
                    LoadTask {
                        run_ms: estimate_ms * percent * factor / 100,
                        state: TaskState::Waiting,
                        placement_count: 0,
                    }
                });
                let job = LoadJob {
                    arrives_ms: at_ms as u64,
                    entry: 0,
                    priority,
                    estimate_ms,
                    rack,
                    tasks: tasks.collect(),
                    response_ms: None,
                };
                self.jobs.push(job);
            }
        }
        for number in 0..self.jobs.len() {
            self.jobs[number].entry = random.random_range(0..ENTRY_COUNT);
            self.schedule(self.jobs[number].arrives_ms, Event::Arrive(number));
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.events.insert((at_ms, self.event_count), event);
        self.event_count += 1;
    }

    fn now(&self) -> Instant {
        self.epoch + Duration::from_millis(self.now_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => {
                let entry = &mut self.entries[self.jobs[job].entry];
                entry.waiting_jobs.push(job);
                entry.is_due = true;
            }
            Event::Order(order) => self.handle_order(order),
            Event::RunEnds(order) => {
                if self.end_run(order) {
                    self.schedule(self.now_ms + DELAY_MS, Event::Report(order, End::Done));
                }
            }
            Event::Stop(order) => {
                self.end_run(order);
            }
            Event::Report(order, end) => self.handle_report(order, end),
            Event::Status { minion } => self.handle_status(minion),
            Event::Vanish => self.vanish(),
            Event::Silence => {
                for entry in &mut self.entries {
                    for minion in self.minions.keys().filter(|it| rack_of(**it) == 0) {
                        entry.fleet.get_or_insert(*minion).set_silent(true);
                    }
                    entry.is_due = true;
                }
            }
            Event::Tick => self.tick(),
        }
    }

    fn handle_order(&mut self, order: Order) {
        let Some(minion) = self.minions.get_mut(&order.minion) else {
            return;
        };
        if minion.is_gone {
            let lost_ms = self.now_ms + LOST_AFTER_MS;
            self.schedule(lost_ms, Event::Report(order, End::Lost));
            return;
        }
        minion.acknowledged.insert(order.entry, order.number);
        if minion.used_millicores + TASK_MILLICORES > MINION_MILLICORES {
            self.schedule(self.now_ms + DELAY_MS, Event::Report(order, End::Refused));
        } else {
            minion.used_millicores += TASK_MILLICORES;
            let run = (order.job, order.task);
            minion.runs.insert((order.entry, order.attempt), run);
            let job = &self.jobs[order.job];
            let is_on_rack = self.is_on_rack(order.job, order.minion);
            let factor = if is_on_rack {
                1_000
            } else {
                self.load.factor_permille
            };
            let pace = u64::from(pace_permille(order.minion));
            let run_ms = job.tasks[order.task].run_ms * pace * u64::from(factor) / 1_000_000;
            if job.rack.is_some() {
                self.rack_task_count += 1;
                self.on_rack_count += u64::from(is_on_rack);
            }
            self.schedule(self.now_ms + run_ms, Event::RunEnds(order));
        }
        let minion = order.minion;
        self.schedule(self.now_ms + DELAY_MS, Event::Status { minion });
    }

    fn is_on_rack(&self, job: usize, minion: Incarnation) -> bool {
        let label = format!("rack-{}", rack_of(minion));
        self.jobs[job]
            .rack
            .as_ref()
            .is_none_or(|rack| *rack == label)
    }

    /// Ends a run and returns whether it was running.
    fn end_run(&mut self, order: Order) -> bool {
        let Some(minion) = self.minions.get_mut(&order.minion) else {
            return false;
        };
        let run = minion.runs.remove(&(order.entry, order.attempt));
        if run.is_none() || minion.is_gone {
            return false;
        }
        minion.used_millicores -= TASK_MILLICORES;
        let minion = order.minion;
        self.schedule(self.now_ms + DELAY_MS, Event::Status { minion });
        true
    }

    fn handle_report(&mut self, order: Order, end: End) {
        let now_ms = self.now_ms;
        let job = &mut self.jobs[order.job];
        let task = &mut job.tasks[order.task];
        if task.state != TaskState::Placed(order.minion, order.attempt) || job.response_ms.is_some()
        {
            return;
        }
        let entry = &mut self.entries[order.entry];
        entry.is_due = true;
        task.state = match end {
            End::Done => TaskState::Done,
            End::Refused | End::Lost => TaskState::Waiting,
        };
        if end != End::Done && !entry.waiting_jobs.contains(&order.job) {
            entry.waiting_jobs.push(order.job);
        }
        entry.rack_waits.record_end(order.minion, order.attempt);
        if let Some(view) = entry.fleet.view_mut(order.minion) {
            view.record_end(resources(TASK_MILLICORES));
        }
        if job.tasks.iter().all(|task| task.state == TaskState::Done) {
            job.response_ms = Some(now_ms - job.arrives_ms);
        }
    }

    fn handle_status(&mut self, number: Incarnation) {
        let minion = &self.minions[&number];
        if minion.is_gone {
            return;
        }
        let status = SidecarStatus {
            free: Resources {
                memory_mib: 100_000,
                ..resources(MINION_MILLICORES - minion.used_millicores)
            },
            availability: MinionAvailability::Ready,
            pace_permille: pace_permille(number),
            delay_ms: 0,
            recent_entry_count: ENTRY_COUNT as u32,
            crashes: CrashRecord::default(),
        };
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let acknowledged = minion.acknowledged.get(&index).copied().unwrap_or(0);
            if let Some(view) = entry.fleet.view_mut(number) {
                view.set_status(status, acknowledged);
            }
            entry.is_due = true;
        }
    }

    fn vanish(&mut self) {
        let mut lost = Vec::new();
        for (number, minion) in &mut self.minions {
            if rack_of(*number) == 0 {
                minion.is_gone = true;
                for ((entry, attempt), (job, task)) in std::mem::take(&mut minion.runs) {
                    lost.push(Order {
                        entry,
                        minion: *number,
                        number: 0,
                        job,
                        task,
                        attempt,
                    });
                }
            }
        }
        for order in lost {
            let lost_ms = self.now_ms + LOST_AFTER_MS;
            self.schedule(lost_ms, Event::Report(order, End::Lost));
        }
    }

    /// Gives up jobs that can no longer end in time, and stops their runs.
    fn tick(&mut self) {
        for number in 0..self.jobs.len() {
            let job = &mut self.jobs[number];
            let age_ms = self.now_ms.saturating_sub(job.arrives_ms);
            let is_useless =
                !job.is_started() && age_ms + job.estimate_ms >= 3 * job.objective_ms();
            let is_over = age_ms >= CALLER_TIMEOUT_MS || is_useless;
            if job.arrives_ms > self.now_ms || job.response_ms.is_some() || !is_over {
                continue;
            }
            job.response_ms = Some(CALLER_TIMEOUT_MS);
            self.stop_job(number);
        }
        for entry in &mut self.entries {
            entry.is_due = true;
        }
    }

    fn stop_job(&mut self, number: usize) {
        let now = self.now();
        let job = &self.jobs[number];
        let entry = &mut self.entries[job.entry];
        let mut stops = Vec::new();
        for (task, state) in job.tasks.iter().map(|task| task.state).enumerate() {
            entry.rack_waits.forget(task_name(number, task), now);
            if let TaskState::Placed(minion, attempt) = state {
                entry.rack_waits.record_end(minion, attempt);
                entry
                    .fleet
                    .get_or_insert(minion)
                    .record_end(resources(TASK_MILLICORES));
                stops.push(Order {
                    entry: job.entry,
                    minion,
                    number: 0,
                    job: number,
                    task,
                    attempt,
                });
            }
        }
        for order in stops {
            self.schedule(self.now_ms + DELAY_MS, Event::Stop(order));
        }
    }

    fn place_due(&mut self) {
        for entry in 0..self.entries.len() {
            if std::mem::take(&mut self.entries[entry].is_due) {
                self.place_waiting(entry);
            }
        }
    }

    /// Places the waiting tasks of an entry, as its placer does.
    fn place_waiting(&mut self, entry: usize) {
        let now = self.now();
        self.entries[entry].rack_waits.begin_pass(now);
        let mut waiting = std::mem::take(&mut self.entries[entry].waiting_jobs);
        waiting.retain(|job| {
            let tasks = &self.jobs[*job].tasks;
            let is_waiting = tasks.iter().any(|task| task.state == TaskState::Waiting);
            is_waiting && self.jobs[*job].response_ms.is_none()
        });
        waiting.sort_by_key(|job| self.jobs[*job].queue_key(*job, self.now_ms));
        let mut skipped_count = 0;
        for job in &waiting {
            let task_count = self.jobs[*job].tasks.len();
            let is_placed = (0..task_count)
                .filter(|task| self.jobs[*job].tasks[*task].state == TaskState::Waiting)
                .collect::<Vec<_>>()
                .into_iter()
                .all(|task| self.place_task(entry, *job, task));
            skipped_count += usize::from(!is_placed);
            if skipped_count >= SKIPPED_JOBS_MAX {
                break;
            }
        }
        self.entries[entry].waiting_jobs = waiting;
    }

    /// Places or holds a task and returns whether it found room or is held.
    fn place_task(&mut self, entry: usize, number: usize, position: usize) -> bool {
        let now = self.now();
        let job = &self.jobs[number];
        let name = task_name(number, position);
        let rack = job.rack.clone();
        let due_ms = job.arrives_ms + job.objective_ms();
        let requirements = TaskRequirements {
            service: SERVICE,
            resources: resources(TASK_MILLICORES),
            estimate: Duration::from_millis(job.estimate_ms),
            time_left: Duration::from_millis(due_ms.saturating_sub(self.now_ms)),
            required_label: None,
            preferred_label: rack.as_deref(),
        };
        let may_wait = job.tasks[position].placement_count == 0 && rack.is_some();
        let gain_ms = self.gain_ms(entry, &requirements);
        let is_held = may_wait && self.is_held(entry, number, position, &requirements);
        let entry_state = &mut self.entries[entry];
        if is_held {
            let held = entry_state.held.entry(name);
            let (since_ms, gain_ms) = *held.or_insert_with(|| {
                self.held_count += 1;
                (self.now_ms, gain_ms)
            });
            // It may be held until the next tick.
            let waits_ms = self.now_ms + TICK_MS - since_ms;
            if waits_ms > gain_ms {
                self.waits_beyond_gain.push((name, waits_ms, gain_ms));
            }
            return true;
        }
        let zero = |_| Some(Duration::ZERO);
        let Some(minion) = entry_state.fleet.choose(&requirements, now, zero) else {
            entry_state.unserved_at_ms = Some(self.now_ms);
            let rack_waits = &mut entry_state.rack_waits;
            rack_waits.record_unserved(SERVICE, name.job, now);
            return false;
        };
        entry_state.last_attempt += 1;
        let attempt = entry_state.last_attempt;
        let message_number = entry_state.message_numbers.entry(minion).or_default();
        *message_number += 1;
        let order = Order {
            entry,
            minion,
            number: *message_number,
            job: number,
            task: position,
            attempt,
        };
        let view = entry_state.fleet.get_or_insert(minion);
        entry_state
            .rack_waits
            .record_placement(name, &requirements, view, attempt, now);
        view.record_placement(order.number, resources(TASK_MILLICORES), now);
        let task = &mut self.jobs[number].tasks[position];
        task.state = TaskState::Placed(minion, attempt);
        task.placement_count += 1;
        self.schedule(self.now_ms + DELAY_MS, Event::Order(order));
        true
    }

    fn is_held(
        &mut self,
        entry: usize,
        number: usize,
        position: usize,
        requirements: &TaskRequirements<'_>,
    ) -> bool {
        let now = self.now();
        let tasks = &self.jobs[number].tasks;
        let name = task_name(number, position);
        let entry = &mut self.entries[entry];
        let has_label = |it: &MinionProfile| it.has_label(requirements.preferred_label);
        let rack = entry
            .fleet
            .views()
            .filter(|view| view.is_usable() && view.profile().is_some_and(has_label));
        let frees: Vec<Resources> = rack.map(|view| view.free()).collect();
        let is_full = !frees
            .iter()
            .any(|free| requirements.resources.fits_into(*free));
        let is_usable_and_full = !frees.is_empty() && is_full;
        match self.policy {
            Policy::Never => false,
            Policy::Forever => is_usable_and_full,
            Policy::Fixed(time) => {
                let held_ms = entry
                    .held
                    .get(&name)
                    .map(|(since_ms, _)| self.now_ms - since_ms);
                let held = Duration::from_millis(held_ms.unwrap_or(0));
                is_usable_and_full && held < time
            }
            Policy::Decision => {
                let placed = tasks.iter().filter_map(|task| match task.state {
                    TaskState::Placed(minion, attempt) => Some((minion, attempt)),
                    TaskState::Waiting | TaskState::Done => None,
                });
                let siblings: Vec<_> = placed.collect();
                let waiting = tasks[position..]
                    .iter()
                    .filter(|task| task.state == TaskState::Waiting);
                let task = RackTask {
                    name,
                    requirements,
                    step_millicores: waiting.count() as u64 * u64::from(TASK_MILLICORES),
                    siblings: &siblings,
                    may_wait: true,
                };
                let decision = entry.rack_waits.decide(task, &entry.fleet, |_| true, now);
                matches!(decision, PlaceDecision::Wait(_))
            }
        }
    }

    /// Returns how much sooner a task ends on its rack than elsewhere if it starts now, at most until
    /// its job is late. While the entry is short of room, other tasks use the fast minions elsewhere.
    fn gain_ms(&self, entry: usize, requirements: &TaskRequirements<'_>) -> u64 {
        let views = self.entries[entry].fleet.views();
        let (there, elsewhere): (Vec<_>, Vec<_>) =
            views.filter(|it| it.is_usable()).partition(|it| {
                it.profile()
                    .is_some_and(|profile| profile.has_label(requirements.preferred_label))
            });
        let run_time = |view: &&SidecarView| view.run_time(requirements.estimate);
        let mean = |views: &[&SidecarView]| {
            let sum: Duration = views.iter().map(run_time).sum();
            sum / u32::try_from(views.len().max(1)).expect("the fleet is small")
        };
        let is_short = self.entries[entry]
            .unserved_at_ms
            .is_some_and(|at_ms| self.now_ms - at_ms < SHORT_MS);
        let with_room = elsewhere
            .iter()
            .filter(|view| !is_short && requirements.resources.fits_into(view.free()));
        let elsewhere = with_room.map(run_time).min().unwrap_or(mean(&elsewhere));
        let remote = elsewhere * self.load.factor_permille / 1_000;
        let gain = remote
            .min(requirements.time_left)
            .saturating_sub(mean(&there));
        gain.as_millis() as u64
    }

    fn outcome(self) -> Outcome {
        let job_count = self.jobs.len() as f64;
        let response_ms = |job: &LoadJob| job.response_ms.unwrap_or(CALLER_TIMEOUT_MS);
        let sum_ms: u64 = self.jobs.iter().map(response_ms).sum();
        let is_in_time = |job: &&LoadJob| {
            response_ms(job) < CALLER_TIMEOUT_MS && response_ms(job) <= job.objective_ms()
        };
        let in_time = self.jobs.iter().filter(is_in_time);
        let unanswered = self
            .jobs
            .iter()
            .filter(|job| response_ms(job) >= CALLER_TIMEOUT_MS);
        let in_time_permille = in_time.count() as f64 * 1_000.0 / job_count;
        let unanswered_count = unanswered.count();
        Outcome {
            mean_ms: sum_ms as f64 / job_count,
            in_time_permille,
            on_rack_permille: self.on_rack_count as f64 * 1_000.0
                / self.rack_task_count.max(1) as f64,
            unanswered_count,
            waits_beyond_gain: self.waits_beyond_gain,
            held_count: self.held_count,
        }
    }
}
