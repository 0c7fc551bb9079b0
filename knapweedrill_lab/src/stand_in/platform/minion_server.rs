//! The HTTP interface of a platform minion.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

use knapweedrill::dispatch::sidecar::{
    EndKind, HoldCall, OrderAnswer, RunKey, StartCall, StopCall,
};
use knapweedrill::dispatch::{JobName, Resources, TaskName};
use rand::RngExt;
use serde::Deserialize;
use serde_json::{Value, json};
use tiny_http::Request;

use super::{MinionModel, TaskProfile};
use crate::stand_in::HttpServer;
use crate::stand_in::http::{header_value, path, read_json, respond_json, respond_text};

/// The number of requests handled at the same time; waiting holds don't occupy a thread.
const THREAD_COUNT: usize = 3;

/// How often the model is advanced and waiting holds are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The maximum size of a request body, in bytes.
const BODY_BYTES_MAX: u64 = 65_536;

/// The interval between heartbeats, which is also their timeout.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// The delay of a start order that is affected by [`MinionFaults::delayed_start_permille`].
const START_DELAY: Duration = Duration::from_millis(2_000);

/// The faults that a minion injects.
#[derive(Debug, Clone, Copy, Default)]
pub struct MinionFaults {
    /// The share of start orders that get no response and are carried out 2 s later, in permille.
    pub delayed_start_permille: u32,
    /// The share of orders that are carried out without a response, in permille.
    pub lost_response_permille: u32,
    /// The share of tasks that fail, in permille.
    pub failed_task_permille: u32,
    /// Whether holds get no response.
    pub ignores_holds: bool,
}

/// The task specification that the lab's callers submit, as JSON.
#[derive(Deserialize)]
struct Spec {
    run_ms: u64,
    cpu: u32,
    memory: u32,
    #[serde(default)]
    fails: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct OrderBody {
    task: String,
    run_id: u32,
    #[serde(default)]
    spec: String,
    #[serde(default)]
    deadline_ms: u64,
    #[serde(default)]
    fencing_token: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HoldBody {
    deadline_ms: Option<u64>,
    #[serde(default)]
    fencing_token: u64,
    #[serde(default)]
    last_seen: u64,
    #[serde(default)]
    wait_ms: u64,
}

struct State {
    model: MinionModel,
    faults: MinionFaults,
    /// The run time of tasks, in percent of the specified one.
    run_time_percent: u64,
    is_draining: bool,
    /// The zone that heartbeats name.
    zone: String,
    epoch: Instant,
    waiting_holds: Vec<(Request, u64)>,
    unanswered: Vec<Request>,
    /// Start orders with the time, in milliseconds, at which they are carried out.
    delayed_starts: Vec<(u64, StartCall, TaskProfile)>,
    /// The runs that have ended: the task, and when it started and ended, in milliseconds.
    run_log: Vec<(TaskName, u64, u64)>,
}

/// A platform minion that serves HTTP and sends heartbeats until it is dropped.
pub struct MinionServer {
    server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl MinionServer {
    /// Serves a minion at `listen` and registers it with the sidecar at `sidecar`. Times are
    /// measured from `epoch`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(
        listen: SocketAddr,
        sidecar: SocketAddr,
        service: &str,
        capacity: Resources,
        epoch: Instant,
    ) -> io::Result<Self> {
        let instance = format!("minion-{}", listen.ip());
        let state = Arc::new(Mutex::new(State {
            model: MinionModel::new(instance, capacity, 0, millis(epoch.elapsed())),
            faults: MinionFaults::default(),
            run_time_percent: 100,
            is_draining: false,
            zone: "zone-a".into(),
            epoch,
            waiting_holds: Vec::new(),
            unanswered: Vec::new(),
            delayed_starts: Vec::new(),
            run_log: Vec::new(),
        }));
        let handler_state = Arc::clone(&state);
        let server = HttpServer::start(listen, THREAD_COUNT, move |request| {
            handle(&handler_state, request);
        })?;
        let polled_state = Arc::downgrade(&state);
        thread::spawn(move || poll_until_dropped(&polled_state));
        let heartbeat_state = Arc::downgrade(&state);
        let service = service.to_owned();
        let address = server.address();
        thread::spawn(move || {
            send_heartbeats_until_dropped(&heartbeat_state, sidecar, address, &service)
        });
        Ok(Self { server, state })
    }

    /// Returns the address that the minion listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults to inject from now on.
    pub fn set_faults(&self, faults: MinionFaults) {
        lock(&self.state).faults = faults;
    }

    /// Sets the run time of tasks that start from now on, in percent of the specified one.
    pub fn set_run_time_percent(&self, percent: u64) {
        lock(&self.state).run_time_percent = percent;
    }

    /// Reports the state `draining` in heartbeats from now on.
    pub fn drain(&self) {
        lock(&self.state).is_draining = true;
    }

    /// Reports this zone in heartbeats from now on.
    pub fn set_zone(&self, zone: &str) {
        lock(&self.state).zone = zone.into();
    }

    /// Returns the active runs.
    pub fn running(&self) -> Vec<RunKey> {
        lock(&self.state).model.running().collect()
    }

    /// Returns all runs so far: the task, and when it started and ended, in milliseconds. For
    /// active runs the end is the current time.
    pub fn runs(&self) -> Vec<(TaskName, u64, u64)> {
        let mut state = lock(&self.state);
        state.advance();
        let now_ms = state.now_ms();
        let mut runs = state.run_log.clone();
        runs.extend(
            state
                .model
                .running_since()
                .map(|(key, started_ms)| (key.task, started_ms, now_ms)),
        );
        runs
    }
}

impl State {
    fn now_ms(&self) -> u64 {
        millis(self.epoch.elapsed())
    }

    fn random_chance(&self, permille: u32) -> bool {
        permille > 0 && rand::rng().random_range(0..1_000) < permille
    }

    /// Advances the model to the current time and records the runs that have ended.
    fn advance(&mut self) {
        let now_ms = self.now_ms();
        let (due, pending) = std::mem::take(&mut self.delayed_starts)
            .into_iter()
            .partition(|(at, _, _)| *at <= now_ms);
        self.delayed_starts = pending;
        for (_, call, profile) in due {
            self.model.start(&call, profile, now_ms);
        }
        let finished = self.model.advance(now_ms);
        self.run_log.extend(
            finished
                .iter()
                .map(|run| (run.run.task, run.started_ms, run.ended_ms)),
        );
    }

    fn answer_due_holds(&mut self) {
        let now_ms = self.now_ms();
        for (request, due_ms) in std::mem::take(&mut self.waiting_holds) {
            if due_ms > now_ms && !self.model.has_unacknowledged_ends() {
                self.waiting_holds.push((request, due_ms));
                continue;
            }
            let answer = self.model.hold_answer(now_ms);
            let running: Vec<_> = answer
                .running
                .iter()
                .map(|(key, percent)| json!([task_text(key.task), key.number, "", percent, 0]))
                .collect();
            let ended: Vec<_> = answer
                .ended
                .iter()
                .map(|end| {
                    let kind = end_kind_text(end.kind);
                    json!([
                        end.number,
                        task_text(end.run.task),
                        end.run.number,
                        kind,
                        ""
                    ])
                })
                .collect();
            let body = json!({
                "ClockMs": answer.clock_ms,
                "born": answer.started_unix_ms,
                "Running": running,
                "Finished": ended,
            });
            respond_json(request, 200, &body);
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn handle(state: &Mutex<State>, mut request: Request) {
    let instance = header_value(&request, "X-Knapweedrill-Expect-Instance").map(str::to_owned);
    let body: Option<Value> = read_json(&mut request, BODY_BYTES_MAX);
    let mut state = lock(state);
    state.advance();
    let instance = instance.unwrap_or_else(|| state.model.instance.clone());
    if instance != state.model.instance {
        return respond_text(request, 421, "");
    }
    let body = body.unwrap_or_default();
    match path(&request) {
        "/v1/run-start" => match serde_json::from_value(body) {
            Ok(order) => start(&mut state, request, order, instance),
            Err(_) => respond_text(request, 400, ""),
        },
        "/v1/run-stop" => match serde_json::from_value(body) {
            Ok(order) => stop(&mut state, request, order, instance),
            Err(_) => respond_text(request, 400, ""),
        },
        "/v1/hold" => match serde_json::from_value(body) {
            Ok(body) => hold(&mut state, request, body, instance),
            Err(_) => respond_text(request, 400, ""),
        },
        _ => respond_text(request, 404, ""),
    }
}

fn start(state: &mut State, request: Request, order: OrderBody, instance: String) {
    let spec: Result<Spec, _> = serde_json::from_str(&order.spec);
    let (Ok(spec), Some(task)) = (spec, parse_task(&order.task)) else {
        return respond_text(request, 400, "");
    };
    let profile = TaskProfile {
        run_ms: spec.run_ms * state.run_time_percent / 100,
        room: Resources {
            cpu_millicores: spec.cpu,
            memory_mib: spec.memory,
            accelerator_count: 0,
        },
        fails: spec.fails || state.random_chance(state.faults.failed_task_permille),
        hangs: false,
    };
    let call = StartCall {
        call: 0,
        run: RunKey {
            task,
            number: order.run_id,
        },
        spec: order.spec,
        lease_end_ms: order.deadline_ms,
        fencing_token: order.fencing_token,
        instance,
        started_unix_ms: 0,
        timeout: Duration::ZERO,
        send_until: Instant::now(),
    };
    let now_ms = state.now_ms();
    if state.random_chance(state.faults.delayed_start_permille) {
        state
            .delayed_starts
            .push((now_ms + millis(START_DELAY), call, profile));
        state.unanswered.push(request);
        return;
    }
    let answer = state.model.start(&call, profile, now_ms);
    respond_order(state, request, &answer);
}

fn stop(state: &mut State, request: Request, order: OrderBody, instance: String) {
    let Some(task) = parse_task(&order.task) else {
        return respond_text(request, 400, "");
    };
    let call = StopCall {
        call: 0,
        run: RunKey {
            task,
            number: order.run_id,
        },
        fencing_token: order.fencing_token,
        instance,
        timeout: Duration::ZERO,
    };
    let now_ms = state.now_ms();
    let answer = state.model.stop(&call, now_ms);
    respond_order(state, request, &answer);
}

fn respond_order(state: &mut State, request: Request, answer: &OrderAnswer) {
    if state.random_chance(state.faults.lost_response_permille) {
        state.unanswered.push(request);
        return;
    }
    let clock_ms = state.model.clock_ms(state.now_ms());
    let refused = |reason: &str| json!({"ClockMs": clock_ms, "Reason": reason});
    match answer {
        OrderAnswer::Accepted => respond_json(request, 200, &json!({"ClockMs": clock_ms})),
        OrderAnswer::Superseded => respond_json(request, 409, &refused("old")),
        OrderAnswer::LeaseExpired => respond_json(request, 409, &refused("late")),
        OrderAnswer::NoRoom => respond_json(request, 409, &refused("room")),
        OrderAnswer::Fenced => respond_json(request, 409, &refused("fence")),
        OrderAnswer::OtherIncarnation => respond_text(request, 421, ""),
        OrderAnswer::Unhealthy => respond_text(request, 503, ""),
        OrderAnswer::Malformed
        | OrderAnswer::NoAnswer
        | OrderAnswer::NotSent
        | OrderAnswer::Unchecked
        | OrderAnswer::Overdue => respond_text(request, 400, ""),
    }
}

fn hold(state: &mut State, request: Request, body: HoldBody, instance: String) {
    let call = HoldCall {
        call: 0,
        lease_end_ms: body.deadline_ms,
        fencing_token: body.fencing_token,
        acknowledged_end: body.last_seen,
        wait_ms: body.wait_ms,
        instance,
        started_unix_ms: 0,
        timeout: Duration::ZERO,
    };
    let now_ms = state.now_ms();
    if state.faults.ignores_holds {
        state.unanswered.push(request);
        return;
    }
    if !state.model.hold(&call, now_ms) {
        return respond_json(request, 409, &json!({"ClockMs": 0, "Reason": "fence"}));
    }
    state.waiting_holds.push((request, now_ms + body.wait_ms));
    state.answer_due_holds();
}

fn poll_until_dropped(state: &Weak<Mutex<State>>) {
    while let Some(state) = state.upgrade() {
        {
            let mut state = lock(&state);
            state.advance();
            state.answer_due_holds();
        }
        drop(state);
        thread::sleep(POLL_INTERVAL);
    }
}

fn send_heartbeats_until_dropped(
    state: &Weak<Mutex<State>>,
    sidecar: SocketAddr,
    address: SocketAddr,
    service: &str,
) {
    let mut sequence = 0;
    while let Some(state) = state.upgrade() {
        sequence += 1;
        let (instance, body) = {
            let state = lock(&state);
            let capacity = state.model.capacity;
            let body = json!({
                "Service": service,
                "Address": address.to_string(),
                "Zone": state.zone,
                "Version": "v1",
                "Slots": 8,
                "State": if state.is_draining { "draining" } else { "ready" },
                "ColdLeftMs": 0,
                "Capacity": {"Cpu": capacity.cpu_millicores, "MemMb": capacity.memory_mib, "Gpu": 0},
                "Labels": ["a", "rack-1"],
                "ClockMs": state.model.clock_ms(state.now_ms()),
                "Seq": sequence,
                "born": state.model.started_unix_ms,
            });
            (state.model.instance.clone(), body)
        };
        drop(state);
        let url = format!("http://{sidecar}/v1/instances/{instance}");
        // A failed heartbeat is followed by the next one.
        let _ = attohttpc::put(url)
            .timeout(HEARTBEAT_INTERVAL)
            .header("Content-Type", "application/json")
            .bytes(body.to_string())
            .send();
        thread::sleep(HEARTBEAT_INTERVAL);
    }
}

fn task_text(task: TaskName) -> String {
    format!("{}.0.{}.{}", task.job, task.step, task.index)
}

fn parse_task(text: &str) -> Option<TaskName> {
    let parts: Vec<&str> = text.split('.').collect();
    let [job, _, step, index] = parts[..] else {
        return None;
    };
    Some(TaskName {
        job: JobName(u64::from_str_radix(job, 16).ok()?),
        step: step.parse().ok()?,
        index: index.parse().ok()?,
    })
}

fn end_kind_text(kind: EndKind) -> &'static str {
    match kind {
        EndKind::Done => "done",
        EndKind::Failed => "failed",
        EndKind::Stopped => "stopped",
        EndKind::Lapsed => "lapsed",
    }
}
