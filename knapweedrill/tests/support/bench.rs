//! A discrete-event simulation of a few entries and sidecars.

use std::collections::{BTreeMap, HashMap};
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use knapweedrill::common::{Incarnation, RequestId, TeamName};
use knapweedrill::contract::{Class, Configuration};
use knapweedrill::entry::{
    CallerRequest, CallerResponse, Entry, EntryAction, EntryEvent, EntrySettings, Requester,
};
use knapweedrill::job::{JobSpec, Outcome, TaskOutcome, TaskSpec};
use knapweedrill::message::{Message, NotStartedReason, Role, Start, TaskReport};
use knapweedrill::minion::{Announcement, MinionState};
use knapweedrill::sidecar::{
    MinionNotice, RunResult, Sidecar, SidecarAction, SidecarEvent, SidecarSettings,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SPEEDS_PERCENT: [u32; 10] = [50, 60, 70, 80, 100, 110, 130, 150, 170, 200];
const SLOTS: u32 = 8;
const ENTRIES: [Incarnation; 3] = [1, 2, 3];
const FIRST_SIDECAR: Incarnation = 11;
const SERVICE: &str = "embossing";
const TASK_KIND: &str = "proof";
/// The one-way delay of a message.
const DELAY: Duration = Duration::from_micros(500);
const TICK: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_millis(200);
/// The earliest time at which a job is due.
const WARM_UP: Duration = Duration::from_millis(500);
/// How long the simulation continues after the last job was due.
const DRAIN_TIME_MAX: Duration = Duration::from_secs(40);
/// The bounds of the work of a task, in seconds on a minion of speed 1.
const WORK_S: (f64, f64) = (0.05, 1.0);
const HINT_SIGMA: f64 = 0.3;

const CONFIGURATION: &str = "\
[service embossing]
ejected_max_percent = 50
[kind proof]
service = embossing
class = normal
idempotent = true
deadline_ms = 30000
[team tin-a]
share_percent = 50
cap_percent = 100
[team tin-b]
share_percent = 50
cap_percent = 100
[limits]
tasks_per_job = 1000
queued_tasks = 100000
";

/// A planned job; its due time is relative to the start of the run.
#[derive(Debug, Clone)]
pub(crate) struct BenchJob {
    due_offset: Duration,
    team: TeamName,
    class: Class,
    tasks: Vec<BenchTask>,
}

#[derive(Debug, Clone, Copy)]
struct BenchTask {
    work: Duration,
    hint: Duration,
}

/// The results of a simulation run.
#[derive(Debug, Default)]
pub(crate) struct BenchOutcome {
    completed: Vec<CompleteJob>,
    started_count: u64,
    start_count: u64,
    report_count: u64,
    demand_count: u64,
    slot_count: u64,
    return_count: u64,
    other_count: u64,
    bounced_count: u64,
}

#[derive(Debug)]
struct CompleteJob {
    team: TeamName,
    response_time: Duration,
    ideal_response_time: Duration,
    work: Duration,
}

enum BenchEvent {
    Submit {
        number: usize,
    },
    ToEntry {
        entry: usize,
        from: Incarnation,
        message: Message,
    },
    ToSidecar {
        sidecar: usize,
        from: Incarnation,
        message: Message,
    },
    CallEnded {
        sidecar: usize,
        start: Box<Start>,
        run_time: Duration,
    },
    Tick,
    Heartbeat,
}

/// The simulated entries and sidecars and the pending events.
pub(crate) struct Bench {
    epoch: Instant,
    entries: Vec<Entry>,
    sidecars: Vec<Sidecar>,
    events: BTreeMap<(Duration, u64), BenchEvent>,
    next_event: u64,
    outcome: BenchOutcome,
}

impl BenchJob {
    /// Generates jobs from a seed that need `load_percent` of the capacity of all slots.
    pub(crate) fn arrivals(
        seed: u64,
        team: &str,
        class: Class,
        task_counts: RangeInclusive<u32>,
        load_percent: u64,
        duration: Duration,
    ) -> Vec<Self> {
        let mut rng = StdRng::seed_from_u64(seed);
        let speed = f64::from(SPEEDS_PERCENT.iter().sum::<u32>() * SLOTS) / 100.0;
        let mean_work_s = (WORK_S.1 - WORK_S.0) / (WORK_S.1 / WORK_S.0).ln();
        let mean_count = f64::from(task_counts.start() + task_counts.end()) / 2.0;
        let work_per_s = speed * load_percent as f64 / 100.0;
        let mean_gap_s = mean_work_s * mean_count / work_per_s;
        let mut jobs = Vec::new();
        let mut at = WARM_UP;
        loop {
            at += Duration::from_secs_f64(exponential(&mut rng) * mean_gap_s);
            if at >= WARM_UP + duration {
                return jobs;
            }
            let task_count = rng.random_range(task_counts.clone());
            jobs.push(Self {
                due_offset: at,
                team: team.to_owned(),
                class,
                tasks: (0..task_count).map(|_| BenchTask::new(&mut rng)).collect(),
            });
        }
    }

    fn work(&self) -> Duration {
        self.tasks.iter().map(|task| task.work).sum()
    }

    /// Returns a lower bound of the response time of the job if it has all slots to itself.
    fn ideal_response_time(&self) -> Duration {
        let mut task_works_s: Vec<f64> = self
            .tasks
            .iter()
            .map(|task| task.work.as_secs_f64())
            .collect();
        task_works_s.sort_by(|a, b| b.total_cmp(a));
        let speeds: Vec<f64> = SPEEDS_PERCENT
            .iter()
            .rev()
            .flat_map(|percent| vec![f64::from(*percent) / 100.0; SLOTS as usize])
            .collect();
        let mut ideal_s = task_works_s.iter().sum::<f64>() / speeds.iter().sum::<f64>();
        let (mut work_s, mut speed) = (0.0, 0.0);
        for (work, slot) in task_works_s.iter().zip(&speeds) {
            work_s += work;
            speed += slot;
            ideal_s = ideal_s.max(work_s / speed);
        }
        Duration::from_secs_f64(ideal_s)
    }

    fn spec(&self) -> JobSpec {
        let tasks = self.tasks.iter().map(|task| TaskSpec {
            payload: (task.work.as_micros() as u64).to_le_bytes().to_vec(),
            hint: Some(task.hint),
        });
        JobSpec {
            team: self.team.clone(),
            kind: TASK_KIND.to_owned(),
            class: Some(self.class),
            deadline: None,
            idempotent: None,
            tasks: tasks.collect(),
        }
    }
}

impl BenchTask {
    fn new(rng: &mut StdRng) -> Self {
        let fraction: f64 = rng.random_range(0.0..1.0);
        let work_s = (WORK_S.0.ln() + fraction * (WORK_S.1 / WORK_S.0).ln()).exp();
        let radius = (2.0 * exponential(rng)).sqrt();
        let angle: f64 = rng.random_range(0.0..std::f64::consts::TAU);
        let hint_s = work_s * (HINT_SIGMA * radius * angle.cos()).exp();
        Self {
            work: Duration::from_secs_f64(work_s),
            hint: Duration::from_secs_f64(hint_s),
        }
    }
}

fn exponential(rng: &mut StdRng) -> f64 {
    -rng.random_range(f64::MIN_POSITIVE..1.0).ln()
}

impl Bench {
    /// Creates entries and sidecars that are connected to each other.
    pub(crate) fn new() -> Self {
        let epoch = Instant::now();
        let settings = EntrySettings::new().token_rotation_interval(Duration::from_secs(3_600));
        let entries = ENTRIES.map(|entry| Entry::new(entry, settings.clone(), epoch));
        let sidecars = (0..SPEEDS_PERCENT.len())
            .map(|number| Sidecar::new(FIRST_SIDECAR + number as u64, SidecarSettings::new()));
        let mut bench = Self {
            epoch,
            entries: entries.into(),
            sidecars: sidecars.collect(),
            events: BTreeMap::new(),
            next_event: 0,
            outcome: BenchOutcome::default(),
        };
        bench.connect_all();
        bench
    }

    fn connect_all(&mut self) {
        let configuration =
            Configuration::parse(CONFIGURATION, "bench.ini").expect("the configuration is valid");
        for number in 0..self.sidecars.len() {
            let now = Duration::ZERO;
            self.handle_in_sidecar(
                number,
                SidecarEvent::ConfigurationChanged(configuration.clone()),
                now,
            );
            self.handle_in_sidecar(number, SidecarEvent::MinionAnnounced(notice(number)), now);
            for peer in ENTRIES {
                self.handle_in_sidecar(number, SidecarEvent::PeerConnected { peer }, now);
            }
        }
        for entry in 0..self.entries.len() {
            let configured = EntryEvent::ConfigurationChanged {
                version: Default::default(),
                configuration: configuration.clone(),
            };
            self.handle_in_entry(entry, configured, Duration::ZERO);
            for number in 0..self.sidecars.len() {
                let announcement = announcement(number);
                let peer = announcement.sidecar;
                let role = Role::Sidecar;
                self.handle_in_entry(
                    entry,
                    EntryEvent::MinionAnnounced { announcement },
                    Duration::ZERO,
                );
                self.handle_in_entry(
                    entry,
                    EntryEvent::PeerConnected { peer, role },
                    Duration::ZERO,
                );
            }
        }
    }

    /// Runs jobs until all have ended, for at most 40 s after the last one was due.
    pub(crate) fn run(&mut self, jobs: &[BenchJob]) -> BenchOutcome {
        let mut jobs = jobs.to_vec();
        jobs.sort_by_key(|job| job.due_offset);
        let last_due = jobs.last().map_or(Duration::ZERO, |job| job.due_offset);
        for (number, job) in jobs.iter().enumerate() {
            self.schedule(job.due_offset, BenchEvent::Submit { number });
        }
        self.schedule(Duration::ZERO, BenchEvent::Tick);
        self.schedule(Duration::ZERO, BenchEvent::Heartbeat);
        let mut open: HashMap<RequestId, usize> = (0..).zip(0..jobs.len()).collect();
        while let Some(((at, _), event)) = self.events.pop_first() {
            if open.is_empty() || at > last_due + DRAIN_TIME_MAX {
                break;
            }
            for (request, response) in self.step(event, at, &jobs) {
                let Some(number) = open.remove(&request) else {
                    continue;
                };
                self.record_response(&jobs[number], &response, at);
            }
        }
        std::mem::take(&mut self.outcome)
    }

    fn record_response(&mut self, job: &BenchJob, response: &CallerResponse, at: Duration) {
        let CallerResponse::Ended {
            outcome: Outcome::Complete { .. },
        } = response
        else {
            return;
        };
        self.outcome.completed.push(CompleteJob {
            team: job.team.clone(),
            response_time: at - job.due_offset,
            ideal_response_time: job.ideal_response_time(),
            work: job.work(),
        });
    }

    fn schedule(&mut self, at: Duration, event: BenchEvent) {
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    fn step(
        &mut self,
        event: BenchEvent,
        at: Duration,
        jobs: &[BenchJob],
    ) -> Vec<(RequestId, CallerResponse)> {
        match event {
            BenchEvent::Submit { number } => return self.submit(number, &jobs[number], at),
            BenchEvent::ToEntry {
                entry,
                from,
                message,
            } => {
                return self.handle_in_entry(
                    entry,
                    EntryEvent::Message {
                        peer: from,
                        message,
                    },
                    at,
                );
            }
            BenchEvent::ToSidecar {
                sidecar,
                from,
                message,
            } => {
                let event = SidecarEvent::Message {
                    peer: from,
                    message,
                };
                self.handle_in_sidecar(sidecar, event, at);
            }
            BenchEvent::CallEnded {
                sidecar,
                start,
                run_time,
            } => {
                let event = SidecarEvent::CallEnded {
                    task: start.task,
                    attempt: start.attempt,
                    result: RunResult::Sent(TaskOutcome::Done {
                        result: start.payload,
                    }),
                    run_time,
                };
                self.handle_in_sidecar(sidecar, event, at);
            }
            BenchEvent::Tick => return self.tick(at),
            BenchEvent::Heartbeat => self.heartbeat(at),
        }
        Vec::new()
    }

    fn submit(
        &mut self,
        number: usize,
        job: &BenchJob,
        at: Duration,
    ) -> Vec<(RequestId, CallerResponse)> {
        let entry = number % self.entries.len();
        let token = self.entries[entry]
            .owner_token()
            .expect("the entry is ready");
        let event = EntryEvent::Request {
            requester: Requester::Caller {
                request: number as RequestId,
            },
            request: CallerRequest::Submit {
                token,
                key: format!("job-{number}"),
                spec: job.spec(),
                wait: Duration::from_secs(60),
            },
        };
        self.handle_in_entry(entry, event, at)
    }

    fn tick(&mut self, at: Duration) -> Vec<(RequestId, CallerResponse)> {
        self.schedule(at + TICK, BenchEvent::Tick);
        for sidecar in 0..self.sidecars.len() {
            self.handle_in_sidecar(sidecar, SidecarEvent::Tick, at);
        }
        (0..self.entries.len())
            .flat_map(|entry| self.handle_in_entry(entry, EntryEvent::Tick, at))
            .collect()
    }

    fn heartbeat(&mut self, at: Duration) {
        self.schedule(at + HEARTBEAT, BenchEvent::Heartbeat);
        for number in 0..self.sidecars.len() {
            self.handle_in_sidecar(number, SidecarEvent::MinionAnnounced(notice(number)), at);
            let sidecar = FIRST_SIDECAR + number as u64;
            let report = self.sidecars[number].slot_report(self.epoch + at);
            for entry in 0..self.entries.len() {
                self.handle_in_entry(entry, EntryEvent::SlotsReported { sidecar, report }, at);
            }
        }
    }

    fn handle_in_entry(
        &mut self,
        entry: usize,
        event: EntryEvent,
        at: Duration,
    ) -> Vec<(RequestId, CallerResponse)> {
        let now = self.epoch + at;
        let mut actions = Vec::new();
        self.entries[entry].handle(event, now, &mut actions);
        self.entries[entry].flush(now, &mut actions);
        let mut responses = Vec::new();
        for action in actions {
            match action {
                EntryAction::Respond { request, response } => responses.push((request, response)),
                EntryAction::Send { peer, message } if peer >= FIRST_SIDECAR => {
                    self.outcome.count(&message);
                    let event = BenchEvent::ToSidecar {
                        sidecar: (peer - FIRST_SIDECAR) as usize,
                        from: ENTRIES[entry],
                        message,
                    };
                    self.schedule(at + DELAY, event);
                }
                _ => {}
            }
        }
        responses
    }

    fn handle_in_sidecar(&mut self, sidecar: usize, event: SidecarEvent, at: Duration) {
        let now = self.epoch + at;
        let mut actions = Vec::new();
        self.sidecars[sidecar].handle(event, now, &mut actions);
        self.sidecars[sidecar].flush(now, &mut actions);
        for action in actions {
            match action {
                SidecarAction::Run(start) => {
                    self.outcome.started_count += 1;
                    let run_time = run_time(&start, SPEEDS_PERCENT[sidecar]);
                    let start = Box::new(start);
                    let event = BenchEvent::CallEnded {
                        sidecar,
                        start,
                        run_time,
                    };
                    self.schedule(at + run_time, event);
                }
                SidecarAction::Send { peer, message } => {
                    self.outcome.count(&message);
                    let event = BenchEvent::ToEntry {
                        entry: (peer - ENTRIES[0]) as usize,
                        from: FIRST_SIDECAR + sidecar as u64,
                        message,
                    };
                    self.schedule(at + DELAY, event);
                }
                _ => {}
            }
        }
    }
}

fn run_time(start: &Start, speed_percent: u32) -> Duration {
    let bytes = start
        .payload
        .as_slice()
        .try_into()
        .expect("the payload has 8 bytes");
    Duration::from_micros(u64::from_le_bytes(bytes)) * 100 / speed_percent
}

fn notice(number: usize) -> MinionNotice {
    MinionNotice {
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 7_200).into(),
        slots: SLOTS,
        speed_hint_percent: SPEEDS_PERCENT[number],
        state: MinionState::Serving,
    }
}

fn announcement(number: usize) -> Announcement {
    Announcement {
        name: format!("sidecar-{number}"),
        sidecar: FIRST_SIDECAR + number as u64,
        link_address: ([127, 0, 0, 1], 7_001).into(),
        http_address: ([127, 0, 0, 1], 7_000).into(),
        service: SERVICE.to_owned(),
        worker: format!("worker-{number}"),
        failure_domain: "fd-1".to_owned(),
        slots: SLOTS,
        speed_hint_percent: SPEEDS_PERCENT[number],
        state: MinionState::Serving,
    }
}

impl BenchOutcome {
    fn count(&mut self, message: &Message) {
        match message {
            Message::Start { .. } => self.start_count += 1,
            Message::Reports { tasks, .. } => {
                self.report_count += 1;
                let bounced = tasks.iter().filter(|report| is_bounced(report));
                self.bounced_count += bounced.count() as u64;
            }
            Message::Demands(_) => self.demand_count += 1,
            Message::Slots { .. } => self.slot_count += 1,
            Message::ReturnCredit(_) => self.return_count += 1,
            _ => self.other_count += 1,
        }
    }

    fn message_count(&self) -> u64 {
        self.start_count
            + self.report_count
            + self.demand_count
            + self.slot_count
            + self.return_count
            + self.other_count
    }

    /// Returns the number of messages per 1000 started tasks.
    pub(crate) fn messages_permille(&self) -> u64 {
        self.message_count() * 1_000 / self.started_count.max(1)
    }

    /// Returns the bounced starts and returned credits in percent of all messages.
    pub(crate) fn wasted_percent(&self) -> u64 {
        (self.bounced_count + self.return_count) * 100 / self.message_count().max(1)
    }

    /// Returns how many jobs completed.
    pub(crate) fn complete_count(&self) -> usize {
        self.completed.len()
    }

    fn jobs_of<'a>(&'a self, team: &'a str) -> impl Iterator<Item = &'a CompleteJob> {
        self.completed.iter().filter(move |job| job.team == team)
    }

    /// Returns the response times of a team's completed jobs in percent of their lower bound.
    pub(crate) fn ideal_percents(&self, team: &str) -> Vec<u128> {
        self.jobs_of(team)
            .map(|job| {
                job.response_time.as_micros() * 100 / job.ideal_response_time.as_micros().max(1)
            })
            .collect()
    }

    /// Returns the response times of a team's completed jobs in milliseconds.
    pub(crate) fn responses_ms(&self, team: &str) -> Vec<u128> {
        self.jobs_of(team)
            .map(|job| job.response_time.as_millis())
            .collect()
    }

    /// Returns the work of a team's completed jobs in milliseconds on a minion of speed 1.
    pub(crate) fn work_ms(&self, team: &str) -> u128 {
        self.jobs_of(team).map(|job| job.work.as_millis()).sum()
    }
}

fn is_bounced(report: &TaskReport) -> bool {
    matches!(
        report,
        TaskReport::NotStarted {
            reason: NotStartedReason::NoSlot,
            ..
        }
    )
}
