//! A minion of the platform on its wire.

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

use super::{MinionModel, Work};
use crate::stand_in::HttpServer;
use crate::stand_in::http::{header_value, path, read_json, respond_json, respond_text};

/// How many requests are dealt with at the same time; waiting ones are parked.
const THREAD_COUNT: usize = 3;

/// How often runs and parked requests are looked at.
const STEP: Duration = Duration::from_millis(2);

/// The largest body, in bytes.
const BODY_BYTES_MAX: u64 = 65_536;

/// The pause between heartbeats.
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(400);

/// How late an order is carried out that is late.
const LATE_BY: Duration = Duration::from_millis(2_000);

/// What is wrong with a minion; shares are in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub struct MinionFaults {
    /// Orders without an answer that are carried out later.
    pub late_permille: u32,
    /// Orders that are carried out without an answer.
    pub unanswered_permille: u32,
    /// Tasks that fail.
    pub failed_permille: u32,
    /// Whether it leaves holds without an answer.
    pub is_mute: bool,
}

/// What a caller of the lab writes into the text that says what to run.
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
    /// How long tasks take, in percent of what they say.
    run_time_percent: u64,
    is_draining: bool,
    began_at: Instant,
    parked: Vec<(Request, u64)>,
    unanswered: Vec<Request>,
    late: Vec<(u64, StartCall, Work)>,
    /// The runs that have ended: task, begin and end.
    run_log: Vec<(TaskName, u64, u64)>,
}

/// A minion of the platform, until it is dropped.
pub struct MinionServer {
    server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl MinionServer {
    /// Serves as a minion at an address, and registers with the sidecar at another.
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
            began_at: epoch,
            parked: Vec::new(),
            unanswered: Vec::new(),
            late: Vec::new(),
            run_log: Vec::new(),
        }));
        let handled = Arc::clone(&state);
        let server = HttpServer::start(listen, THREAD_COUNT, move |request| {
            handle(&handled, request);
        })?;
        let stepped = Arc::downgrade(&state);
        thread::spawn(move || step_until_dropped(&stepped));
        let beating = Arc::downgrade(&state);
        let service = service.to_owned();
        let address = server.address();
        thread::spawn(move || beat_until_dropped(&beating, sidecar, address, &service));
        Ok(Self { server, state })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets what is wrong with the minion.
    pub fn set_faults(&self, faults: MinionFaults) {
        lock(&self.state).faults = faults;
    }

    /// Sets how long tasks take from now on, in percent of what they say.
    pub fn set_run_time(&self, percent: u64) {
        lock(&self.state).run_time_percent = percent;
    }

    /// Says in heartbeats that the minion is about to leave.
    pub fn drain(&self) {
        lock(&self.state).is_draining = true;
    }

    /// Returns what runs.
    pub fn running(&self) -> Vec<RunKey> {
        lock(&self.state).model.running().collect()
    }

    /// Returns each run so far: the task, its begin and its end in milliseconds.
    pub fn runs(&self) -> Vec<(TaskName, u64, u64)> {
        let mut state = lock(&self.state);
        state.advance();
        let now_ms = state.now_ms();
        let mut runs = state.run_log.clone();
        runs.extend(
            state
                .model
                .running_since()
                .map(|(key, began)| (key.task, began, now_ms)),
        );
        runs
    }
}

impl State {
    fn now_ms(&self) -> u64 {
        millis(self.began_at.elapsed())
    }

    fn draw(&self, permille: u32) -> bool {
        permille > 0 && rand::rng().random_range(0..1_000) < permille
    }

    /// Lets time pass, and notes which runs have ended.
    fn advance(&mut self) {
        let now_ms = self.now_ms();
        let (due, late) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _, _)| *at <= now_ms);
        self.late = late;
        for (_, call, work) in due {
            self.model.start(&call, work, now_ms);
        }
        let past = self.model.advance(now_ms);
        self.run_log.extend(
            past.iter()
                .map(|past| (past.run.task, past.started_ms, past.ended_ms)),
        );
    }

    fn answer_parked(&mut self) {
        let now_ms = self.now_ms();
        for (request, until_ms) in std::mem::take(&mut self.parked) {
            if until_ms > now_ms && !self.model.has_ends() {
                self.parked.push((request, until_ms));
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
                    let how = how_text(end.kind);
                    json!([end.number, task_text(end.run.task), end.run.number, how, ""])
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
            Ok(hold) => self_hold(&mut state, request, hold, instance),
            Err(_) => respond_text(request, 400, ""),
        },
        _ => respond_text(request, 404, ""),
    }
}

fn start(state: &mut State, request: Request, order: OrderBody, instance: String) {
    let spec: Result<Spec, _> = serde_json::from_str(&order.spec);
    let (Ok(spec), Some(task)) = (spec, read_task(&order.task)) else {
        return respond_text(request, 400, "");
    };
    let work = Work {
        run_ms: spec.run_ms * state.run_time_percent / 100,
        room: Resources {
            cpu_millicores: spec.cpu,
            memory_mib: spec.memory,
            accelerator_count: 0,
        },
        fails: spec.fails || state.draw(state.faults.failed_permille),
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
    };
    let now_ms = state.now_ms();
    if state.draw(state.faults.late_permille) {
        state.late.push((now_ms + millis(LATE_BY), call, work));
        state.unanswered.push(request);
        return;
    }
    let answer = state.model.start(&call, work, now_ms);
    respond_order(state, request, &answer);
}

fn stop(state: &mut State, request: Request, order: OrderBody, instance: String) {
    let Some(task) = read_task(&order.task) else {
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
    };
    let now_ms = state.now_ms();
    let answer = state.model.stop(&call, now_ms);
    respond_order(state, request, &answer);
}

fn respond_order(state: &mut State, request: Request, answer: &OrderAnswer) {
    if state.draw(state.faults.unanswered_permille) {
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
        OrderAnswer::Malformed | OrderAnswer::NoAnswer | OrderAnswer::NotSent => {
            respond_text(request, 400, "");
        }
    }
}

fn self_hold(state: &mut State, request: Request, hold: HoldBody, instance: String) {
    let call = HoldCall {
        call: 0,
        lease_end_ms: hold.deadline_ms,
        fencing_token: hold.fencing_token,
        acknowledged_end: hold.last_seen,
        wait_ms: hold.wait_ms,
        instance,
    };
    let now_ms = state.now_ms();
    if state.faults.is_mute {
        state.unanswered.push(request);
        return;
    }
    if !state.model.hold(&call, now_ms) {
        return respond_json(request, 409, &json!({"ClockMs": 0, "Reason": "fence"}));
    }
    state.parked.push((request, now_ms + hold.wait_ms));
    state.answer_parked();
}

fn step_until_dropped(state: &Weak<Mutex<State>>) {
    while let Some(state) = state.upgrade() {
        {
            let mut state = lock(&state);
            state.advance();
            state.answer_parked();
        }
        drop(state);
        thread::sleep(STEP);
    }
}

fn beat_until_dropped(
    state: &Weak<Mutex<State>>,
    sidecar: SocketAddr,
    own: SocketAddr,
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
                "Address": own.to_string(),
                "Zone": "zone-a",
                "Version": "v1",
                "Slots": 8,
                "State": if state.is_draining { "draining" } else { "ready" },
                "ColdLeftMs": 0,
                "Capacity": {"Cpu": capacity.cpu_millicores, "MemMb": capacity.memory_mib, "Gpu": 0},
                "Labels": ["a", "rack-1"],
                "ClockMs": state.model.clock_ms(state.now_ms()),
                "Seq": sequence,
                "born": state.model.born_ms,
            });
            (state.model.instance.clone(), body)
        };
        drop(state);
        let url = format!("http://{sidecar}/v1/instances/{instance}");
        // A sidecar that is away hears the next one.
        let _ = attohttpc::put(url)
            .timeout(HEARTBEAT_PAUSE)
            .header("Content-Type", "application/json")
            .bytes(body.to_string())
            .send();
        thread::sleep(HEARTBEAT_PAUSE);
    }
}

fn task_text(task: TaskName) -> String {
    format!("{}.0.{}.{}", task.job, task.step, task.index)
}

fn read_task(text: &str) -> Option<TaskName> {
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

fn how_text(how: EndKind) -> &'static str {
    match how {
        EndKind::Done => "done",
        EndKind::Failed => "failed",
        EndKind::Stopped => "stopped",
        EndKind::Lapsed => "lapsed",
    }
}
