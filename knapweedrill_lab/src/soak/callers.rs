//! Callers that keep their connections open and resubmit jobs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hyper::Method;
use knapweedrill_wire::{HttpCall, HttpClient};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use crate::harness::HOST;

/// How long callers wait for a response; also the deadline of their jobs.
pub(super) const CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The delay before a job without a response is resubmitted, as guaranteed by the platform.
const RESUBMISSION_DELAY: Duration = Duration::from_millis(1_300);

/// The maximum number of submissions of a job.
const ATTEMPTS_MAX: usize = 4;

const IDLE_MAX: Duration = Duration::from_secs(600);

/// The outcome of one request for a job.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The index of the entry.
    pub entry: usize,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the response arrived or the request failed.
    pub ended_at: Instant,
    /// The HTTP status of the response; `None` without a response.
    pub status: Option<u16>,
    /// Whether the response reports that all tasks succeeded.
    pub is_completed: bool,
}

/// A job and the outcomes of all requests for it.
#[derive(Debug, Clone)]
pub struct SubmittedJob {
    /// The name of the job.
    pub name: u64,
    /// The number of tasks in the job.
    pub task_count: u32,
    /// The requests in the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

impl SubmittedJob {
    /// Returns whether any response reports that all tasks succeeded.
    pub fn is_completed(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_completed)
    }
}

/// The state that the callers of a soak test share.
#[derive(Debug)]
pub(super) struct CallerState {
    pub(super) addresses: Vec<SocketAddr>,
    /// For each entry, whether the platform would route new requests to it.
    pub(super) entry_readiness: Vec<AtomicBool>,
    pub(super) is_stopping: AtomicBool,
}

impl CallerState {
    fn pick_entry(&self, rng: &mut StdRng) -> usize {
        let ready: Vec<usize> = (0..self.addresses.len())
            .filter(|entry| self.entry_readiness[*entry].load(Ordering::Relaxed))
            .collect();
        match ready.len() {
            0 => rng.random_range(0..self.addresses.len()),
            count => ready[rng.random_range(0..count)],
        }
    }
}

/// Submits jobs one after the other until [`CallerState::is_stopping`] is set.
pub(super) fn submit_until_stopped(
    state: &CallerState,
    caller: u64,
    seed: u64,
) -> Vec<SubmittedJob> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be created");
    let clients: Vec<_> = state
        .addresses
        .iter()
        .map(|address| HttpClient::new(*address, IDLE_MAX, 1))
        .collect();
    let mut rng = StdRng::seed_from_u64(seed << 16 | caller);
    let mut jobs = Vec::new();
    for number in 0.. {
        if state.is_stopping.load(Ordering::Relaxed) {
            break;
        }
        let name = (caller + 1) << 32 | number;
        let pause = Duration::from_millis(rng.random_range(5..80));
        jobs.push(runtime.block_on(async {
            // The pause lets the client detect connections that were closed in the meantime.
            tokio::time::sleep(pause).await;
            submit(state, &clients, name, &mut rng).await
        }));
    }
    jobs
}

async fn submit(
    state: &CallerState,
    clients: &[HttpClient],
    name: u64,
    rng: &mut StdRng,
) -> SubmittedJob {
    let queue = ["urgent", "normal", "bulk"][rng.random_range(0..3)];
    let task_count = rng.random_range(1..7);
    let run_ms: u64 = [30, 90, 300, 800][rng.random_range(0..4)];
    let estimate_ms = run_ms * rng.random_range(60..150) / 100;
    let spec = json!({"run_ms": run_ms, "cpu": 6_000, "memory": 64}).to_string();
    let body = json!({
        "Spec": spec,
        "BestEffort": true,
        "Steps": [{"Count": task_count, "Cpu": 6_000, "MemMb": 64, "EstimateMs": estimate_ms}],
    });
    let mut job = SubmittedJob {
        name,
        task_count,
        attempts: Vec::new(),
    };
    while job.attempts.len() < ATTEMPTS_MAX {
        let entry = state.pick_entry(rng);
        let sent_at = Instant::now();
        let call = HttpCall {
            method: Method::POST,
            path: format!("/{queue}/{name:016x}"),
            headers: vec![
                ("host", HOST.to_owned()),
                (
                    "x-knapweedrill-deadline-ms",
                    CALLER_TIMEOUT.as_millis().to_string(),
                ),
            ],
            content_type: "application/json",
            body: body.to_string().into_bytes(),
            timeout: CALLER_TIMEOUT,
        };
        let response = clients[entry].call(call).await.ok();
        let status = response.as_ref().map(|response| response.status.as_u16());
        job.attempts.push(Attempt {
            entry,
            sent_at,
            ended_at: Instant::now(),
            status,
            is_completed: response.is_some_and(|response| {
                response.status == 200 && response.body.as_ref() == b"{\"State\":\"completed\"}"
            }),
        });
        if !matches!(status, None | Some(502 | 504)) {
            return job;
        }
        tokio::time::sleep(RESUBMISSION_DELAY).await;
    }
    job
}
