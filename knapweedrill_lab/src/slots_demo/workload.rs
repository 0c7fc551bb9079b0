//! The jobs that the callers of the demo submit.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::harness::JobRequest;
use crate::stand_in::minion::TaskPayload;

/// The service whose minions run a kind of job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Service {
    Embossing,
    Spares,
}

/// The parameters of a stream of jobs of one team and kind, submitted one after the other.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobStream {
    pub(super) team: &'static str,
    pub(super) kind: &'static str,
    pub(super) service: Service,
    pub(super) is_idempotent: bool,
    task_count_max: u32,
    run_ms_max: u64,
    pause_ms_max: u64,
}

/// A job to submit.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) key: String,
    pub(super) request: JobRequest,
    pub(super) run_times: Vec<Duration>,
}

/// Generates the jobs and pauses of a stream from a seed.
#[derive(Debug)]
pub(super) struct JobGenerator {
    stream: JobStream,
    number: usize,
    job_count: u64,
    rng: StdRng,
}

const RUN_MS_MIN: u64 = 50;
const JOB_WAIT: Duration = Duration::from_secs(30);
const EMBOSSING_TEAMS: [&str; 4] = ["tin-a", "tin-b", "tin-c", "tin-d"];

/// Returns the streams of both users.
pub(super) fn streams() -> Vec<JobStream> {
    let mut streams = Vec::new();
    for team in EMBOSSING_TEAMS {
        streams.extend([proof(team), proof(team), preview(team), release(team)]);
    }
    streams.extend([fit_check(); 4]);
    streams.extend([quote(); 2]);
    streams.extend([order(); 2]);
    streams
}

fn proof(team: &'static str) -> JobStream {
    JobStream {
        team,
        kind: "proof",
        service: Service::Embossing,
        is_idempotent: true,
        task_count_max: 6,
        run_ms_max: 400,
        pause_ms_max: 400,
    }
}

fn preview(team: &'static str) -> JobStream {
    JobStream {
        kind: "preview",
        task_count_max: 20,
        run_ms_max: 500,
        pause_ms_max: 1_000,
        ..proof(team)
    }
}

fn release(team: &'static str) -> JobStream {
    JobStream {
        kind: "release",
        is_idempotent: false,
        task_count_max: 1,
        pause_ms_max: 800,
        ..proof(team)
    }
}

fn fit_check() -> JobStream {
    JobStream {
        team: "vardakoda",
        kind: "fit-check",
        service: Service::Spares,
        is_idempotent: true,
        task_count_max: 4,
        run_ms_max: 300,
        pause_ms_max: 200,
    }
}

fn quote() -> JobStream {
    JobStream {
        kind: "quote",
        task_count_max: 12,
        run_ms_max: 500,
        pause_ms_max: 600,
        ..fit_check()
    }
}

fn order() -> JobStream {
    JobStream {
        kind: "order",
        is_idempotent: false,
        task_count_max: 1,
        pause_ms_max: 600,
        ..fit_check()
    }
}

impl JobGenerator {
    /// Creates the generator of a stream; `number` is unique among the streams.
    pub(super) fn new(stream: JobStream, number: usize, seed: u64) -> Self {
        let stream_seed = seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
        Self {
            stream,
            number,
            job_count: 0,
            rng: StdRng::seed_from_u64(stream_seed),
        }
    }

    /// Returns the next job.
    pub(super) fn next_job(&mut self) -> Job {
        let key = format!("{}-{}-{}", self.stream.kind, self.number, self.job_count);
        self.job_count += 1;
        let task_count = self.rng.random_range(1..=self.stream.task_count_max);
        let run_times: Vec<Duration> = (0..task_count).map(|_| self.run_time()).collect();
        let request = JobRequest::new(self.stream.team, self.stream.kind).wait(JOB_WAIT);
        let request = run_times
            .iter()
            .enumerate()
            .fold(request, |request, (index, run_time)| {
                request.task(&TaskPayload::new(*run_time, format!("{key}/{index}")))
            });
        Job {
            key,
            request,
            run_times,
        }
    }

    /// Returns the pause before the next job.
    pub(super) fn next_pause(&mut self) -> Duration {
        let pause_ms = self.rng.random_range(0..=self.stream.pause_ms_max);
        Duration::from_millis(pause_ms)
    }

    /// Returns a random index below `count`.
    pub(super) fn random_index(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    fn run_time(&mut self) -> Duration {
        let run_ms = self.rng.random_range(RUN_MS_MIN..=self.stream.run_ms_max);
        Duration::from_millis(run_ms)
    }
}
