//! Callers that keep their connections and hand jobs in again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hyper::Method;
use knapweedrill_wire::{HttpCall, HttpClient};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use crate::harness::HOST;

/// How long callers wait for an answer.
pub(super) const PATIENCE: Duration = Duration::from_millis(2_500);

/// The pause before a job without an answer is handed in again, as the platform promises.
const RESUBMISSION: Duration = Duration::from_millis(1_300);

/// How often a job is handed in at the most.
const ATTEMPTS_MAX: usize = 4;

const IDLE_MAX: Duration = Duration::from_secs(600);

/// What became of one request.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The number of the entry.
    pub entry: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// When it was answered, or given up.
    pub ended_at: Instant,
    /// The status of the answer; none without an answer.
    pub status: Option<u16>,
    /// Whether the answer says that all tasks have ended with success.
    pub is_completed: bool,
}

/// A job and all requests for it.
#[derive(Debug, Clone)]
pub struct CalledJob {
    /// Its name.
    pub name: u64,
    /// How many tasks it has.
    pub task_count: u32,
    /// The requests, in their order.
    pub attempts: Vec<Attempt>,
}

impl CalledJob {
    /// Returns whether any answer says that all tasks have ended with success.
    pub fn is_completed(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_completed)
    }
}

/// What the callers of a soak share.
#[derive(Debug)]
pub(super) struct CallerPlan {
    pub(super) addresses: Vec<SocketAddr>,
    /// Which entries the platform would send new requests to.
    pub(super) are_ready: Vec<AtomicBool>,
    pub(super) is_over: AtomicBool,
}

impl CallerPlan {
    fn pick_entry(&self, random: &mut StdRng) -> usize {
        let ready: Vec<usize> = (0..self.addresses.len())
            .filter(|entry| self.are_ready[*entry].load(Ordering::Relaxed))
            .collect();
        match ready.len() {
            0 => random.random_range(0..self.addresses.len()),
            count => ready[random.random_range(0..count)],
        }
    }
}

/// Hands jobs in, one after the other, until the soak is over.
pub(super) fn call_until_over(plan: &CallerPlan, caller: u64, seed: u64) -> Vec<CalledJob> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the system grants a runtime");
    let clients: Vec<_> = plan
        .addresses
        .iter()
        .map(|address| HttpClient::new(*address, IDLE_MAX, 1))
        .collect();
    let mut random = StdRng::seed_from_u64(seed << 16 | caller);
    let mut jobs = Vec::new();
    for number in 0.. {
        if plan.is_over.load(Ordering::Relaxed) {
            break;
        }
        let name = (caller + 1) << 32 | number;
        let pause = Duration::from_millis(random.random_range(5..80));
        jobs.push(runtime.block_on(async {
            // The pause lets the client notice connections that were closed meanwhile.
            tokio::time::sleep(pause).await;
            call(plan, &clients, name, &mut random).await
        }));
    }
    jobs
}

async fn call(
    plan: &CallerPlan,
    clients: &[HttpClient],
    name: u64,
    random: &mut StdRng,
) -> CalledJob {
    let queue = ["urgent", "normal", "bulk"][random.random_range(0..3)];
    let task_count = random.random_range(1..7);
    let run_ms: u64 = [30, 90, 300, 800][random.random_range(0..4)];
    let estimate_ms = run_ms * random.random_range(60..150) / 100;
    let spec = json!({"run_ms": run_ms, "cpu": 6_000, "memory": 64}).to_string();
    let body = json!({
        "Spec": spec,
        "BestEffort": true,
        "Steps": [{"Count": task_count, "Cpu": 6_000, "MemMb": 64, "EstimateMs": estimate_ms}],
    });
    let mut job = CalledJob {
        name,
        task_count,
        attempts: Vec::new(),
    };
    while job.attempts.len() < ATTEMPTS_MAX {
        let entry = plan.pick_entry(random);
        let sent_at = Instant::now();
        let call = HttpCall {
            method: Method::POST,
            path: format!("/{queue}/{name:016x}"),
            headers: vec![
                ("host", HOST.to_owned()),
                (
                    "x-knapweedrill-deadline-ms",
                    PATIENCE.as_millis().to_string(),
                ),
            ],
            content_type: "application/json",
            body: body.to_string().into_bytes(),
            timeout: PATIENCE,
        };
        let answer = clients[entry].call(call).await.ok();
        let status = answer.as_ref().map(|answer| answer.status.as_u16());
        job.attempts.push(Attempt {
            entry,
            sent_at,
            ended_at: Instant::now(),
            status,
            is_completed: answer.is_some_and(|answer| {
                answer.status == 200 && answer.body.as_ref() == b"{\"State\":\"completed\"}"
            }),
        });
        if !matches!(status, None | Some(502 | 504)) {
            return job;
        }
        tokio::time::sleep(RESUBMISSION).await;
    }
    job
}
