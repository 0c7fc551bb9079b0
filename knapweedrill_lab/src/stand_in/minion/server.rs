//! The HTTP interface of a minion.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Sender;
use knapweedrill::common::Attempt;
use tiny_http::{Method, Request};

use super::announcer::{Announcer, AnnouncerChannel, Signal, announce_now};
use super::state::SharedState;
use super::{
    MinionControl, MinionMode, MinionOptions, StartsResponse, TaskLabel, TaskPayload,
    expected_result,
};
use crate::stand_in::http::{header_value, path, read_body, read_json, respond_json, respond_text};
use crate::stand_in::{Accepted, HttpServer};

const MAX_BODY_BYTES: u64 = 16 << 20;
/// Threads beyond one a slot; they show a sidecar that runs too many tasks and serve control.
const SPARE_THREADS: usize = 16;

/// Serves as a minion until it is dropped.
#[derive(Debug)]
pub struct MinionStandIn {
    // Declared first, so that it stops before the server.
    announcer: Announcer,
    server: HttpServer,
    state: Arc<SharedState>,
}

impl MinionStandIn {
    /// Starts a minion that announces itself to its sidecar.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(options: MinionOptions) -> io::Result<Self> {
        let listen = options.listen;
        let thread_count = options.slots as usize * 2 + SPARE_THREADS;
        let state = Arc::new(SharedState::new(options));
        let channel = AnnouncerChannel::new();
        let sender = channel.sender();
        let shared = Arc::clone(&state);
        let server = HttpServer::start(listen, thread_count, move |request| {
            handle(request, &shared, &sender);
        })?;
        let announcer = Announcer::start(server.address(), Arc::clone(&state), channel);
        Ok(Self {
            announcer,
            server,
            state,
        })
    }

    /// Returns the address that the minion listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how the minion treats tasks from now on.
    pub fn control(&self, control: MinionControl) {
        self.state.set_control(control);
    }

    /// Announces that the minion leaves.
    pub fn leave(&self) {
        self.state.leave();
        self.announcer.announce_now();
    }

    /// Returns what the minion ran.
    pub fn starts(&self) -> StartsResponse {
        self.state.starts()
    }
}

fn handle(request: Request, state: &SharedState, announcer: &Sender<Signal>) {
    match (request.method(), path(&request)) {
        (Method::Post, "/run") => run(request, state),
        (Method::Get, "/starts") => respond_json(request, 200, &state.starts()),
        (Method::Post, "/control") => {
            set_control(request, state);
            announce_now(announcer);
        }
        (Method::Post, "/leave") => {
            state.leave();
            announce_now(announcer);
            respond_json(request, 200, &Accepted::new());
        }
        _ => respond_text(request, 404, "use POST /run or GET /starts"),
    }
}

fn set_control(mut request: Request, state: &SharedState) {
    let Some(control) = read_json(&mut request, MAX_BODY_BYTES) else {
        return respond_text(request, 400, "the body is not a minion control");
    };
    state.set_control(control);
    respond_json(request, 200, &Accepted::new());
}

fn run(mut request: Request, state: &SharedState) {
    let Some((task, attempt)) = task_of(&request) else {
        return respond_text(request, 400, "a run names its task and attempt in headers");
    };
    let position = state.begin(task, attempt);
    let body = read_body(&mut request, MAX_BODY_BYTES);
    let control = state.control();
    match control.mode {
        // The task stays among the running ones, since it never ends.
        MinionMode::NeverAnswer => return state.keep_unanswered(request),
        MinionMode::FailEverything => {
            state.end(position);
            return respond_text(request, 500, "the minion fails everything");
        }
        MinionMode::Normal | MinionMode::Slow | MinionMode::BreakOff => {}
    }
    let payload: Option<TaskPayload> = body.and_then(|bytes| serde_json::from_slice(&bytes).ok());
    if let Some(payload) = &payload {
        thread::sleep(run_time(payload, control, state.options.speed_percent));
    }
    state.end(position);
    if control.mode == MinionMode::BreakOff {
        return break_off(request);
    }
    respond_result(request, payload, task);
}

/// Announces more bytes than it sends; without its writer, the connection closes.
fn break_off(request: Request) {
    let mut writer = request.into_writer();
    // A sidecar that is gone does not see the break.
    let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nthe first part");
}

fn respond_result(request: Request, payload: Option<TaskPayload>, task: TaskLabel) {
    match payload {
        Some(payload) if payload.fail => respond_text(request, 500, "the payload asks to fail"),
        Some(payload) => respond_text(request, 200, expected_result(&payload.echo, task.0)),
        None => respond_text(request, 400, "the payload is not of the lab"),
    }
}

fn task_of(request: &Request) -> Option<(TaskLabel, Attempt)> {
    let task = header_value(request, "Knapweedrill-Task")?.parse().ok()?;
    let attempt = header_value(request, "Knapweedrill-Attempt")?
        .parse()
        .ok()?;
    Some((task, attempt))
}

fn run_time(payload: &TaskPayload, control: MinionControl, speed_percent: u32) -> Duration {
    let run_time_percent = match control.mode {
        MinionMode::Slow => control.run_time_percent,
        _ => 100,
    };
    Duration::from_micros(payload.run_us * run_time_percent / u64::from(speed_percent))
}
