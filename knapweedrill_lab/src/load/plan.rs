//! Plans the jobs of a run from a seed.

use std::time::Duration;

use knapweedrill::common::TeamName;
use knapweedrill::contract::Class;
use knapweedrill_derive::value;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The minimum and maximum work of most tasks, in seconds.
const SHORT_WORK_RANGE_S: (f64, f64) = (0.05, 1.0);
/// The minimum and maximum work of long tasks, in seconds.
const LONG_WORK_RANGE_S: (f64, f64) = (2.0, 5.0);
/// The default share of long tasks in a flow.
const LONG_TASK_PERCENT: u32 = 3;

/// The distribution of the work of a flow's tasks.
#[value]
#[derive(Copy)]
pub enum WorkDistribution {
    /// Log-uniform from 50 ms to 1 s for most tasks, and from 2 s to 5 s for long ones.
    Mixed {
        /// The share of long tasks.
        long_percent: u32,
    },
    /// No work: tasks end as soon as they start.
    Zero,
}

/// The arrival process of the jobs of one team and class, as a builder.
#[value]
pub struct FlowPlan {
    pub(super) team: TeamName,
    pub(super) class: Class,
    pub(super) tasks_min: u32,
    pub(super) tasks_max: u32,
    pub(super) jobs_per_second: f64,
    pub(super) work: WorkDistribution,
    pub(super) from_percent: u32,
    pub(super) until_percent: u32,
    pub(super) is_rival: bool,
    pub(super) cancelled_percent: u32,
}

/// A job and the time at which it is due.
#[value]
pub struct PlannedJob {
    /// The index of its flow in the plan.
    pub flow: usize,
    /// The time at which it is due, since the start of the run.
    pub due_offset: Duration,
    /// The tasks, in the order of their index in the job.
    pub tasks: Vec<PlannedTask>,
    /// Whether its caller cancels it shortly after the submission.
    pub is_cancelled: bool,
}

/// The work of a task and the run-time hint of its caller.
#[value]
#[derive(Copy)]
pub struct PlannedTask {
    /// The run time on a minion of speed 100 %.
    pub work: Duration,
    /// The run time that its caller declares.
    pub hint: Duration,
}

/// All jobs of a run.
#[value]
pub struct Plan {
    /// The flows, which jobs refer to by their index.
    pub flows: Vec<FlowPlan>,
    /// The jobs of all flows, ordered by due time.
    pub jobs: Vec<PlannedJob>,
}

impl FlowPlan {
    /// Creates a flow of jobs of 1 to 20 tasks, with an arrival rate of 0.
    pub fn new(team: impl Into<TeamName>, class: Class) -> Self {
        Self {
            team: team.into(),
            class,
            tasks_min: 1,
            tasks_max: 20,
            jobs_per_second: 0.0,
            work: WorkDistribution::Mixed {
                long_percent: LONG_TASK_PERCENT,
            },
            from_percent: 0,
            until_percent: 100,
            is_rival: false,
            cancelled_percent: 0,
        }
    }

    /// Sets the minimum and maximum number of tasks of a job.
    pub fn tasks(mut self, min: u32, max: u32) -> Self {
        self.tasks_min = min;
        self.tasks_max = max;
        self
    }

    /// Sets the share of long tasks, which take several seconds.
    pub fn long_percent(mut self, long_percent: u32) -> Self {
        self.work = WorkDistribution::Mixed { long_percent };
        self
    }

    /// Makes the tasks end as soon as they start.
    pub fn zero_work_tasks(mut self) -> Self {
        self.work = WorkDistribution::Zero;
        self
    }

    /// Sets the mean arrival rate.
    pub fn jobs_per_second(mut self, jobs_per_second: f64) -> Self {
        self.jobs_per_second = jobs_per_second;
        self
    }

    /// Sets the mean arrival rate from the offered load, as a fraction of a capacity.
    ///
    /// The unit of `capacity` is slots of speed 100 %.
    pub fn load(mut self, load: f64, capacity: f64) -> Self {
        self.jobs_per_second = load * capacity / self.mean_job_work_s();
        self
    }

    /// Limits arrivals to the part of the run from `from_percent` to `until_percent`.
    pub fn during(mut self, from_percent: u32, until_percent: u32) -> Self {
        self.from_percent = from_percent;
        self.until_percent = until_percent;
        self
    }

    /// Marks the flow as a rival: the other flows are first measured without it, as a baseline.
    pub fn rival(mut self) -> Self {
        self.is_rival = true;
        self
    }

    /// Sets the share of the jobs that their callers cancel.
    pub fn cancelled_percent(mut self, cancelled_percent: u32) -> Self {
        self.cancelled_percent = cancelled_percent;
        self
    }

    fn mean_job_work_s(&self) -> f64 {
        let task_count = log_uniform_mean(f64::from(self.tasks_min), f64::from(self.tasks_max));
        task_count * self.work.mean_s()
    }

    fn jobs(&self, flow: usize, seed: u64, duration: Duration, sigma: f64) -> Vec<PlannedJob> {
        let mut jobs = Vec::new();
        if self.jobs_per_second <= 0.0 {
            return jobs;
        }
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(flow as u64));
        let until = duration * self.until_percent / 100;
        let mut due_offset = duration * self.from_percent / 100;
        loop {
            due_offset += Duration::from_secs_f64(exponential(&mut rng) / self.jobs_per_second);
            if due_offset >= until {
                return jobs;
            }
            jobs.push(self.job(flow, due_offset, sigma, &mut rng));
        }
    }

    fn job(&self, flow: usize, due_offset: Duration, sigma: f64, rng: &mut StdRng) -> PlannedJob {
        let (min, max) = (f64::from(self.tasks_min), f64::from(self.tasks_max));
        let task_count = log_uniform(rng, min, max).round() as usize;
        PlannedJob {
            flow,
            due_offset,
            tasks: (0..task_count)
                .map(|_| self.work.task(sigma, rng))
                .collect(),
            is_cancelled: rng.random_range(0..100) < self.cancelled_percent,
        }
    }
}

impl WorkDistribution {
    fn mean_s(self) -> f64 {
        match self {
            Self::Mixed { long_percent } => {
                let long_share = f64::from(long_percent) / 100.0;
                let short_s = log_uniform_mean(SHORT_WORK_RANGE_S.0, SHORT_WORK_RANGE_S.1);
                let long_s = log_uniform_mean(LONG_WORK_RANGE_S.0, LONG_WORK_RANGE_S.1);
                short_s * (1.0 - long_share) + long_s * long_share
            }
            Self::Zero => 0.0,
        }
    }

    fn task(self, sigma: f64, rng: &mut StdRng) -> PlannedTask {
        let work_s = match self {
            Self::Zero => 0.0,
            Self::Mixed { long_percent } if rng.random_range(0..100) < long_percent => {
                log_uniform(rng, LONG_WORK_RANGE_S.0, LONG_WORK_RANGE_S.1)
            }
            Self::Mixed { .. } => log_uniform(rng, SHORT_WORK_RANGE_S.0, SHORT_WORK_RANGE_S.1),
        };
        let hint_s = work_s * (sigma * normal(rng)).exp();
        PlannedTask {
            work: Duration::from_secs_f64(work_s),
            hint: Duration::from_secs_f64(hint_s),
        }
    }
}

impl Plan {
    /// Plans the jobs of all flows; the same arguments give the same plan.
    pub fn new(
        flows: impl IntoIterator<Item = FlowPlan>,
        seed: u64,
        duration: Duration,
        hint_sigma: f64,
    ) -> Self {
        let flows: Vec<FlowPlan> = flows.into_iter().collect();
        let planned = flows.iter().enumerate();
        let mut jobs: Vec<PlannedJob> = planned
            .flat_map(|(number, flow)| flow.jobs(number, seed, duration, hint_sigma))
            .collect();
        jobs.sort_by_key(|job| (job.due_offset, job.flow));
        Self { flows, jobs }
    }

    /// Returns the plan without the jobs of rivals, or `None` if there are no rivals.
    pub fn without_rivals(&self) -> Option<Self> {
        if !self.flows.iter().any(|flow| flow.is_rival) {
            return None;
        }
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|job| !self.flows[job.flow].is_rival);
        Some(Self {
            flows: self.flows.clone(),
            jobs: jobs.cloned().collect(),
        })
    }
}

/// Draws from the exponential distribution of mean 1.
fn exponential(rng: &mut StdRng) -> f64 {
    -rng.random_range(f64::MIN_POSITIVE..1.0).ln()
}

/// Draws from the log-uniform distribution from `min` to `max`.
fn log_uniform(rng: &mut StdRng, min: f64, max: f64) -> f64 {
    (min.ln() + rng.random_range(0.0..1.0) * (max / min).ln()).exp()
}

/// Returns the mean of the log-uniform distribution from `min` to `max`.
fn log_uniform_mean(min: f64, max: f64) -> f64 {
    if max <= min {
        return min;
    }
    (max - min) / (max / min).ln()
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn normal(rng: &mut StdRng) -> f64 {
    let radius = (2.0 * exponential(rng)).sqrt();
    let angle = rng.random_range(0.0..std::f64::consts::TAU);
    radius * angle.cos()
}
