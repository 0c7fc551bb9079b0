//! A stand-in for a minion: runs tasks for the time that their `Spec` names, under a lease.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, Response, Server, reply};
use crate::json::{Json, quote};
use crate::record::Record;

const HOLD_MAX_MS: u64 = 1_000;
const STOP_TIMEOUT_MS: u64 = 50;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(1);

/// What a minion is.
#[derive(Clone)]
pub struct Kind {
    pub service: String,
    pub labels: Vec<String>,
    pub millicores: u64,
    pub memory_mb: u64,
}

struct Run {
    log_index: usize,
    millicores: u64,
    done_ms: u64,
    stopped_ms: Option<u64>,
    started_ms: u64,
}

struct State {
    id: String,
    kind: Kind,
    born_unix_ms: u64,
    epoch: Instant,
    fence: u64,
    lease_end_ms: u64,
    running: HashMap<(String, u64), Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    end_count: u64,
    highest: HashMap<String, u64>,
    sequence: u64,
    is_draining: bool,
    is_up: bool,
    /// Whether orders to start get no answer and are kept, to be carried out late.
    keeps_starts: bool,
    kept: Vec<Request>,
}

impl State {
    /// Returns the minion's clock, in milliseconds since its start.
    fn clock_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64 + 1
    }

    fn extend_lease(&mut self, end_ms: u64) {
        let end_ms = end_ms.min(self.clock_ms() + HOLD_MAX_MS);
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
    }

    fn used(&self) -> u64 {
        self.running.values().map(|run| run.millicores).sum()
    }
}

/// One life of a minion.
pub struct Minion {
    shared: Arc<(Mutex<State>, Condvar)>,
    server: Server,
    record: Record,
}

impl Minion {
    /// Starts a minion at `listen`, which reports to the sidecar at `control`.
    pub fn start(
        id: &str,
        kind: Kind,
        listen: SocketAddr,
        control: SocketAddr,
        record: &Record,
    ) -> std::io::Result<Self> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = State {
            id: id.to_owned(),
            kind,
            born_unix_ms: since.as_millis() as u64,
            epoch: Instant::now(),
            fence: 0,
            lease_end_ms: 0,
            running: HashMap::new(),
            finished: Vec::new(),
            end_count: 0,
            highest: HashMap::new(),
            sequence: 0,
            is_draining: false,
            is_up: true,
            keeps_starts: false,
            kept: Vec::new(),
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let (handled, log) = (Arc::clone(&shared), record.clone());
        let server = Server::start(listen, move |request| handle(&handled, &log, &request))?;
        let (ticked, log) = (Arc::clone(&shared), record.clone());
        thread::spawn(move || {
            while advance(&ticked, &log) {
                thread::sleep(TICK);
            }
        });
        let beating = Arc::clone(&shared);
        thread::spawn(move || {
            while let Some((path, body)) = status_report(&beating, listen) {
                let wait = Duration::from_secs(1);
                let answer = http::call(control, "PUT", &path, "control", wait, &body);
                let is_confirmed = matches!(answer, Ok((200..300, _)));
                // A report that was not confirmed is repeated soon.
                let pause = if is_confirmed { HEARTBEAT } else { Duration::from_millis(100) };
                thread::sleep(pause);
            }
        });
        record.note(&format!("minion {id} up"));
        Ok(Self {
            shared,
            server,
            record: record.clone(),
        })
    }

    /// Leaves orders to start unanswered from now on, and keeps them.
    pub fn keep_starts(&self) {
        self.shared.0.lock().unwrap().keeps_starts = true;
    }

    /// Returns the orders that were kept.
    pub fn kept(&self) -> Vec<Request> {
        std::mem::take(&mut self.shared.0.lock().unwrap().kept)
    }

    /// Carries out orders that arrive late.
    pub fn carry_out(&self, orders: &[Request]) {
        for order in orders {
            let answer = handle(&self.shared, &self.record, order);
            let status = answer.map(|(status, _)| status);
            self.record.note(&format!("late order carried out: {status:?}"));
        }
    }

    /// Ends the minion as a crash does: its runs end, its listener and its channels are closed.
    pub fn crash(&self) {
        self.server.stop();
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.is_up = false;
        let running = std::mem::take(&mut state.running);
        for run in running.into_values() {
            self.record.end_run(run.log_index, "crashed");
        }
        self.record.note(&format!("minion {} crashed", state.id));
        changed.notify_all();
    }
}

fn status_report(
    shared: &(Mutex<State>, Condvar),
    listen: SocketAddr,
) -> Option<(String, String)> {
    let mut state = shared.0.lock().unwrap();
    if !state.is_up {
        return None;
    }
    state.sequence += 1;
    let labels: Vec<String> = state.kind.labels.iter().map(|label| quote(label)).collect();
    let body = format!(
        "{{\"Service\":{},\"Address\":\"{listen}\",\"Zone\":\"z-a\",\"Version\":\"v1\",\"Slots\":8,\
         \"State\":\"{}\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":{},\"MemMb\":{},\"Gpu\":0}},\
         \"Labels\":[{}],\"ClockMs\":{},\"Seq\":{},\"born\":{}}}",
        quote(&state.kind.service),
        if state.is_draining { "draining" } else { "ready" },
        state.kind.millicores,
        state.kind.memory_mb,
        labels.join(","),
        state.clock_ms(),
        state.sequence,
        state.born_unix_ms
    );
    Some((format!("/v1/instances/{}", state.id), body))
}

/// Ends the runs that are due. Returns whether the minion is up.
fn advance(shared: &(Mutex<State>, Condvar), record: &Record) -> bool {
    let mut state = shared.0.lock().unwrap();
    let now_ms = state.clock_ms();
    let lease_end_ms = state.lease_end_ms;
    let ended: Vec<((String, u64), &'static str)> = state
        .running
        .iter()
        .filter_map(|(key, run)| {
            let how = if run.done_ms <= now_ms {
                "done"
            } else if run.stopped_ms.is_some_and(|at| at <= now_ms) {
                "stopped"
            } else if lease_end_ms <= now_ms {
                "lapsed"
            } else {
                return None;
            };
            Some((key.clone(), how))
        })
        .collect();
    for (key, how) in &ended {
        let Some(run) = state.running.remove(key) else {
            continue;
        };
        record.end_run(run.log_index, how);
        state.end_count += 1;
        let number = state.end_count;
        state.finished.push((number, key.0.clone(), key.1, how));
        let highest = state.highest.entry(key.0.clone()).or_default();
        *highest = (*highest).max(key.1);
    }
    if !ended.is_empty() {
        shared.1.notify_all();
    }
    state.is_up
}

fn handle(shared: &(Mutex<State>, Condvar), record: &Record, request: &Request) -> Response {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let Some(body) = Json::parse(&body) else {
        return reply(400, "");
    };
    let mut state = shared.0.lock().unwrap();
    if !state.is_up {
        return None;
    }
    if state.keeps_starts && request.path == "/v1/run-start" {
        state.kept.push(request.clone());
        drop(state);
        thread::sleep(Duration::from_secs(1));
        return None;
    }
    let expected = request.headers.get("x-knapweedrill-expect-instance");
    if expected.is_some_and(|id| *id != state.id) {
        return reply(421, "");
    }
    let refused = |state: &State, reason: &str| {
        reply(
            409,
            &format!(
                "{{\"ClockMs\":{},\"Reason\":\"{reason}\",\"born\":{}}}",
                state.clock_ms(),
                state.born_unix_ms
            ),
        )
    };
    if body.number("FencingToken") < state.fence {
        return refused(&state, "fence");
    }
    state.fence = body.number("FencingToken");
    let accepted = |state: &State| {
        reply(
            200,
            &format!(
                "{{\"ClockMs\":{},\"born\":{}}}",
                state.clock_ms(),
                state.born_unix_ms
            ),
        )
    };
    let key = (body.text("Task"), body.number("RunId"));
    let highest = state.highest.get(&key.0).copied().unwrap_or(0);
    match request.path.as_str() {
        "/v1/run-start" => {
            if body.number("DeadlineMs") <= state.clock_ms() {
                return refused(&state, "late");
            }
            state.extend_lease(body.number("DeadlineMs"));
            if state.running.contains_key(&key) {
                return accepted(&state);
            }
            if key.1 <= highest {
                return refused(&state, "old");
            }
            let spec = body.text("Spec");
            let Some((run_ms, millicores)) = parse_spec(&spec, &key.0) else {
                return reply(400, "");
            };
            if state.used() + millicores > state.kind.millicores {
                return refused(&state, "room");
            }
            let now_ms = state.clock_ms();
            let log_index = record.start_run(&state.id, &state.kind.labels, &key.0, key.1, &spec);
            let run = Run {
                log_index,
                millicores,
                done_ms: now_ms + run_ms,
                stopped_ms: None,
                started_ms: now_ms,
            };
            state.running.insert(key, run);
            accepted(&state)
        }
        "/v1/run-stop" => {
            let now_ms = state.clock_ms();
            if let Some(run) = state.running.get_mut(&key) {
                run.stopped_ms.get_or_insert(now_ms + STOP_TIMEOUT_MS - 10);
            }
            state.highest.insert(key.0, highest.max(key.1));
            accepted(&state)
        }
        "/v1/hold" => {
            if matches!(body.get("DeadlineMs"), Some(Json::Number(_))) {
                state.extend_lease(body.number("DeadlineMs"));
            }
            let last_seen = body.number("LastSeen");
            state.finished.retain(|(number, ..)| *number > last_seen);
            let until = Instant::now() + Duration::from_millis(body.number("WaitMs").min(2_000));
            loop {
                let left = until.saturating_duration_since(Instant::now());
                if !state.is_up {
                    return None;
                }
                if !state.finished.is_empty() || left.is_zero() {
                    return reply(200, &lists(&state));
                }
                state = shared.1.wait_timeout(state, left).unwrap().0;
            }
        }
        _ => reply(404, ""),
    }
}

fn lists(state: &State) -> String {
    let now_ms = state.clock_ms();
    let running: Vec<String> = state
        .running
        .iter()
        .map(|((task, run), at)| {
            let done = (now_ms - at.started_ms) * 100 / (at.done_ms - at.started_ms).max(1);
            format!("[\"{task}\",{run},\"\",{}]", done.min(100))
        })
        .collect();
    let finished: Vec<String> = state
        .finished
        .iter()
        .take(500)
        .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
        .collect();
    format!(
        "{{\"ClockMs\":{now_ms},\"Running\":[{}],\"Finished\":[{}],\"born\":{}}}",
        running.join(","),
        finished.join(","),
        state.born_unix_ms
    )
}

/// Returns the run time and the CPU of a task. A `Spec` reads `cpu=100 ms=900,200 ...`: the run time
/// of each step.
fn parse_spec(spec: &str, task: &str) -> Option<(u64, u64)> {
    let step: usize = task.split('.').nth(2)?.parse().ok()?;
    let field = |name: &str| {
        let mut fields = spec.split(' ').filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    let run_ms = field("ms")?.split(',').nth(step)?.parse().ok()?;
    Some((run_ms, field("cpu")?.parse().ok()?))
}
