//! The work that the callers of the demo submit.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::harness::JobRequest;
use crate::stand_in::minion::TaskPayload;

/// Whose minions run a kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Service {
    Embossing,
    Spares,
}

/// A caller that submits jobs of one team and kind, one after the other.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stream {
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

/// The jobs of a stream, as its seed has them.
#[derive(Debug)]
pub(super) struct JobSource {
    stream: Stream,
    number: usize,
    job_count: u64,
    rng: StdRng,
}

const RUN_MS_MIN: u64 = 50;
const JOB_WAIT: Duration = Duration::from_secs(30);
const TIN_SHOPS: [&str; 4] = ["tin-a", "tin-b", "tin-c", "tin-d"];

/// Returns the streams of both users.
pub(super) fn streams() -> Vec<Stream> {
    let mut streams = Vec::new();
    for team in TIN_SHOPS {
        streams.extend([proof(team), proof(team), preview(team), release(team)]);
    }
    streams.extend([fit_check(); 4]);
    streams.extend([quote(); 2]);
    streams.extend([order(); 2]);
    streams
}

fn proof(team: &'static str) -> Stream {
    Stream {
        team,
        kind: "proof",
        service: Service::Embossing,
        is_idempotent: true,
        task_count_max: 6,
        run_ms_max: 400,
        pause_ms_max: 400,
    }
}

fn preview(team: &'static str) -> Stream {
    Stream {
        kind: "preview",
        task_count_max: 20,
        run_ms_max: 500,
        pause_ms_max: 1_000,
        ..proof(team)
    }
}

fn release(team: &'static str) -> Stream {
    Stream {
        kind: "release",
        is_idempotent: false,
        task_count_max: 1,
        pause_ms_max: 800,
        ..proof(team)
    }
}

fn fit_check() -> Stream {
    Stream {
        team: "vardakoda",
        kind: "fit-check",
        service: Service::Spares,
        is_idempotent: true,
        task_count_max: 4,
        run_ms_max: 300,
        pause_ms_max: 200,
    }
}

fn quote() -> Stream {
    Stream {
        kind: "quote",
        task_count_max: 12,
        run_ms_max: 500,
        pause_ms_max: 600,
        ..fit_check()
    }
}

fn order() -> Stream {
    Stream {
        kind: "order",
        is_idempotent: false,
        task_count_max: 1,
        pause_ms_max: 600,
        ..fit_check()
    }
}

impl JobSource {
    /// Creates the source of the stream of that number.
    pub(super) fn new(stream: Stream, number: usize, seed: u64) -> Self {
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

    /// Returns which of `count` comes next.
    pub(super) fn pick(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    fn run_time(&mut self) -> Duration {
        let run_ms = self.rng.random_range(RUN_MS_MIN..=self.stream.run_ms_max);
        Duration::from_millis(run_ms)
    }
}
