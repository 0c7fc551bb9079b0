//! The jobs of a run, planned from a seed.

use std::time::Duration;

use knapweedrill::common::TeamName;
use knapweedrill::contract::Class;
use knapweedrill_derive::value;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The shortest and the longest work of most tasks.
const USUAL_WORK_S: (f64, f64) = (0.05, 1.0);
/// The shortest and the longest work of the few long tasks.
const LONG_WORK_S: (f64, f64) = (2.0, 5.0);
/// How many tasks are long, unless a flow says otherwise.
const LONG_TASK_PERCENT: u32 = 3;

/// The work of tasks of a flow.
#[value]
#[derive(Copy)]
pub enum TaskWork {
    /// Mostly 50 ms to 1 s, and a part of 2 s to 5 s.
    Mixed {
        /// The part of the long ones.
        long_percent: u32,
    },
    /// None at all.
    Empty,
}

/// The jobs of one team and class; a builder.
#[value]
pub struct FlowPlan {
    pub(super) team: TeamName,
    pub(super) class: Class,
    pub(super) tasks_min: u32,
    pub(super) tasks_max: u32,
    pub(super) jobs_per_second: f64,
    pub(super) work: TaskWork,
    pub(super) from_percent: u32,
    pub(super) until_percent: u32,
    pub(super) is_rival: bool,
    pub(super) cancelled_percent: u32,
}

/// A job that is due at a time.
#[value]
pub struct PlannedJob {
    /// The number of its flow.
    pub flow: usize,
    /// When it is due, since the start of the run.
    pub at: Duration,
    /// Its tasks.
    pub tasks: Vec<PlannedTask>,
    /// Whether its caller cancels it soon after.
    pub is_cancelled: bool,
}

/// A task.
#[value]
#[derive(Copy)]
pub struct PlannedTask {
    /// How long it runs on a minion of speed 100 %.
    pub work: Duration,
    /// How long its caller says that it runs.
    pub hint: Duration,
}

/// All jobs of a run, in the order in which they are due.
#[value]
pub struct Plan {
    /// The flows.
    pub flows: Vec<FlowPlan>,
    /// The jobs.
    pub jobs: Vec<PlannedJob>,
}

impl FlowPlan {
    /// Creates a flow of jobs of 1 to 20 tasks, with no jobs yet.
    pub fn new(team: impl Into<TeamName>, class: Class) -> Self {
        Self {
            team: team.into(),
            class,
            tasks_min: 1,
            tasks_max: 20,
            jobs_per_second: 0.0,
            work: TaskWork::Mixed {
                long_percent: LONG_TASK_PERCENT,
            },
            from_percent: 0,
            until_percent: 100,
            is_rival: false,
            cancelled_percent: 0,
        }
    }

    /// Sets the least and the largest number of tasks of a job.
    pub fn tasks(mut self, min: u32, max: u32) -> Self {
        self.tasks_min = min;
        self.tasks_max = max;
        self
    }

    /// Sets the part of tasks that last several seconds.
    pub fn long_percent(mut self, long_percent: u32) -> Self {
        self.work = TaskWork::Mixed { long_percent };
        self
    }

    /// Makes the tasks last no time.
    pub fn empty_tasks(mut self) -> Self {
        self.work = TaskWork::Empty;
        self
    }

    /// Sets how many jobs are due each second on the mean.
    pub fn jobs_per_second(mut self, jobs_per_second: f64) -> Self {
        self.jobs_per_second = jobs_per_second;
        self
    }

    /// Sets the rate by the work that is due each second, as a part of what `speed` does.
    pub fn load(mut self, load: f64, speed: f64) -> Self {
        self.jobs_per_second = load * speed / self.mean_job_work_s();
        self
    }

    /// Sets the part of the run in which jobs are due.
    pub fn during(mut self, from_percent: u32, until_percent: u32) -> Self {
        self.from_percent = from_percent;
        self.until_percent = until_percent;
        self
    }

    /// Marks the flow as one that the others are measured without first.
    pub fn rival(mut self) -> Self {
        self.is_rival = true;
        self
    }

    /// Sets the part of the jobs that their callers cancel.
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
        let mut at = duration * self.from_percent / 100;
        loop {
            at += Duration::from_secs_f64(exponential(&mut rng) / self.jobs_per_second);
            if at >= until {
                return jobs;
            }
            jobs.push(self.job(flow, at, sigma, &mut rng));
        }
    }

    fn job(&self, flow: usize, at: Duration, sigma: f64, rng: &mut StdRng) -> PlannedJob {
        let (min, max) = (f64::from(self.tasks_min), f64::from(self.tasks_max));
        let task_count = log_uniform(rng, min, max).round() as usize;
        PlannedJob {
            flow,
            at,
            tasks: (0..task_count)
                .map(|_| self.work.task(sigma, rng))
                .collect(),
            is_cancelled: rng.random_range(0..100) < self.cancelled_percent,
        }
    }
}

impl TaskWork {
    fn mean_s(self) -> f64 {
        match self {
            Self::Mixed { long_percent } => {
                let long = f64::from(long_percent) / 100.0;
                let usual_s = log_uniform_mean(USUAL_WORK_S.0, USUAL_WORK_S.1);
                let long_s = log_uniform_mean(LONG_WORK_S.0, LONG_WORK_S.1);
                usual_s * (1.0 - long) + long_s * long
            }
            Self::Empty => 0.0,
        }
    }

    fn task(self, sigma: f64, rng: &mut StdRng) -> PlannedTask {
        let work_s = match self {
            Self::Empty => 0.0,
            Self::Mixed { long_percent } if rng.random_range(0..100) < long_percent => {
                log_uniform(rng, LONG_WORK_S.0, LONG_WORK_S.1)
            }
            Self::Mixed { .. } => log_uniform(rng, USUAL_WORK_S.0, USUAL_WORK_S.1),
        };
        let hint_s = work_s * (sigma * normal(rng)).exp();
        PlannedTask {
            work: Duration::from_secs_f64(work_s),
            hint: Duration::from_secs_f64(hint_s),
        }
    }
}

impl Plan {
    /// Plans the jobs of all flows.
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
        jobs.sort_by_key(|job| (job.at, job.flow));
        Self { flows, jobs }
    }

    /// Returns the plan without rivals, or `None` if it has none.
    pub fn alone(&self) -> Option<Self> {
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

fn exponential(rng: &mut StdRng) -> f64 {
    -rng.random_range(f64::MIN_POSITIVE..1.0).ln()
}

fn log_uniform(rng: &mut StdRng, min: f64, max: f64) -> f64 {
    (min.ln() + rng.random_range(0.0..1.0) * (max / min).ln()).exp()
}

fn log_uniform_mean(min: f64, max: f64) -> f64 {
    if max <= min {
        return min;
    }
    (max - min) / (max / min).ln()
}

/// Draws from the standard normal distribution (Box and Muller).
fn normal(rng: &mut StdRng) -> f64 {
    let radius = (2.0 * exponential(rng)).sqrt();
    let angle = rng.random_range(0.0..std::f64::consts::TAU);
    radius * angle.cos()
}
