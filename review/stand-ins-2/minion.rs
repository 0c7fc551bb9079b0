//! A minion: runs the tasks that its sidecar orders, by the page on running tasks.
//!
//! The `Spec` of a job begins with `ms=N`: its tasks run for that long.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request};
use crate::json::{Json, quote};
use crate::record::Record;

const HOLD_MAX_MS: u64 = 1_000;
const HEARTBEAT_MS: u64 = 1_500;

#[derive(Clone)]
pub struct Minion {
    pub name: String,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    has_ended: Condvar,
    epoch: Instant,
    born: u64,
    record: Record,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_end_ms: u64,
    runs: HashMap<String, Run>,
    /// The highest run of each task that was stopped or has ended.
    last_runs: HashMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

struct Run {
    number: u64,
    began_ms: u64,
    length_ms: u64,
}

impl Minion {
    /// Serves the calls of the sidecar at `address`, and registers at `control` for `service`.
    pub fn start(
        name: &str,
        address: SocketAddr,
        control: SocketAddr,
        service: &str,
        record: Record,
    ) -> io::Result<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let minion = Self {
            name: name.to_owned(),
            shared: Arc::new(Shared {
                state: Mutex::default(),
                has_ended: Condvar::new(),
                epoch: Instant::now(),
                born,
                record,
            }),
        };
        let server = minion.clone();
        http::serve(address, move |request| server.answer(request))?;
        let timer = minion.clone();
        thread::spawn(move || {
            loop {
                timer.end_due_runs();
                thread::sleep(Duration::from_millis(2));
            }
        });
        let (sender, service) = (minion.clone(), service.to_owned());
        thread::spawn(move || sender.send_heartbeats(address, control, &service));
        Ok(minion)
    }

    fn clock_ms(&self) -> u64 {
        self.shared.epoch.elapsed().as_millis() as u64
    }

    fn send_heartbeats(&self, address: SocketAddr, control: SocketAddr, service: &str) {
        for sequence in 1.. {
            let body = format!(
                "{{\"Service\":{},\"Address\":\"{address}\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\
                 \"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\
                 \"Capacity\":{{\"Cpu\":64000,\"MemMb\":131072,\"Gpu\":0}},\
                 \"Labels\":[\"a\",\"r1-1\"],\"ClockMs\":{},\"Seq\":{sequence},\"born\":{}}}",
                quote(service),
                self.clock_ms(),
                self.shared.born
            );
            let path = format!("/v1/instances/{}", self.name);
            let time = Duration::from_secs(1);
            let answer = http::call(control, "PUT", &path, &[], &body, time);
            let is_taken = answer.is_some_and(|(status, _)| status == 200);
            // A report that nobody has taken is repeated soon.
            let pause_ms = if is_taken { HEARTBEAT_MS } else { 200 };
            thread::sleep(Duration::from_millis(pause_ms));
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        let expected = request.header("X-Knapweedrill-Expect-Instance");
        if expected.is_some_and(|name| name != self.name) {
            return self.respond(421, "");
        }
        let Some(body) = Json::parse(&request.body) else {
            return self.respond(400, "");
        };
        let mut state = self.shared.state.lock().unwrap();
        let fence = body.number("FencingToken").unwrap_or(0);
        if fence < state.fence {
            return self.respond(409, ",\"Reason\":\"fence\"");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/v1/run-start" => {
                let (status, rest) = self.start_run(&mut state, &body);
                self.respond(status, rest)
            }
            "/v1/run-stop" => {
                self.stop_run(&mut state, &body);
                self.respond(200, "")
            }
            "/v1/hold" => self.hold(state, &body),
            _ => self.respond(404, ""),
        }
    }

    fn respond(&self, status: u16, rest: &str) -> Answer {
        let (clock_ms, born) = (self.clock_ms(), self.shared.born);
        let body = format!("{{\"ClockMs\":{clock_ms},\"born\":{born}{rest}}}");
        Some((status, body.into_bytes()))
    }

    fn extend_lease(&self, state: &mut State, body: &Json) {
        if let Some(end_ms) = body.number("DeadlineMs") {
            let end_ms = end_ms.min(self.clock_ms() + HOLD_MAX_MS);
            state.lease_end_ms = state.lease_end_ms.max(end_ms);
        }
    }

    fn start_run(&self, state: &mut State, body: &Json) -> (u16, &'static str) {
        let fields = (body.text("Task"), body.number("RunId"), body.text("Spec"));
        let (Some(task), Some(number), Some(spec)) = fields else {
            return (400, "");
        };
        if body.number("DeadlineMs").is_none_or(|end_ms| end_ms <= self.clock_ms()) {
            return (409, ",\"Reason\":\"late\"");
        }
        self.extend_lease(state, body);
        if state.runs.get(task).is_some_and(|run| run.number == number) {
            return (200, "");
        }
        let is_old = state.last_runs.get(task).is_some_and(|last| number <= *last);
        if is_old || state.runs.contains_key(task) {
            return (409, ",\"Reason\":\"old\"");
        }
        let length = spec.strip_prefix("ms=").and_then(|text| text.split(';').next());
        let length_ms = length.and_then(|text| text.parse().ok()).unwrap_or(100);
        let run = Run {
            number,
            began_ms: self.clock_ms(),
            length_ms,
        };
        state.runs.insert(task.to_owned(), run);
        self.shared.record.start(&self.name, task, number);
        (200, "")
    }

    fn stop_run(&self, state: &mut State, body: &Json) {
        let (Some(task), Some(number)) = (body.text("Task"), body.number("RunId")) else {
            return;
        };
        if state.runs.get(task).is_some_and(|run| run.number <= number) {
            self.end_run(state, task, "stopped");
        }
        let last = state.last_runs.entry(task.to_owned()).or_default();
        *last = number.max(*last);
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.last_end += 1;
        let end = (state.last_end, task.to_owned(), run.number, how);
        state.finished.push(end);
        let last = state.last_runs.entry(task.to_owned()).or_default();
        *last = run.number.max(*last);
        self.shared.record.end(&self.name, task, run.number, how);
        self.shared.has_ended.notify_all();
    }

    fn end_due_runs(&self) {
        let mut state = self.shared.state.lock().unwrap();
        let clock_ms = self.clock_ms();
        let has_lapsed = clock_ms >= state.lease_end_ms;
        let due = state.runs.iter().filter_map(|(task, run)| {
            let is_done = clock_ms >= run.began_ms + run.length_ms;
            let how = if is_done { Some("done") } else { has_lapsed.then_some("lapsed") };
            Some((task.clone(), how?))
        });
        let due: Vec<_> = due.collect();
        for (task, how) in due {
            self.end_run(&mut state, &task, how);
        }
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Json) -> Answer {
        self.extend_lease(&mut state, body);
        let last_seen = body.number("LastSeen").unwrap_or(0);
        state.finished.retain(|(number, ..)| *number > last_seen);
        let wait_ms = body.number("WaitMs").unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        while state.finished.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.shared.has_ended.wait_timeout(state, left).unwrap().0;
        }
        let clock_ms = self.clock_ms();
        let running = state.runs.iter().map(|(task, run)| {
            let percent = (clock_ms - run.began_ms) * 100 / run.length_ms.max(1);
            format!("[{},{},\"\",{},1000]", quote(task), run.number, percent.min(99))
        });
        let running: Vec<String> = running.collect();
        let finished = state.finished.iter().take(500).map(|(number, task, run, how)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
        });
        let finished: Vec<String> = finished.collect();
        let (running, finished) = (running.join(","), finished.join(","));
        drop(state);
        self.respond(200, &format!(",\"Running\":[{running}],\"Finished\":[{finished}]"))
    }
}
