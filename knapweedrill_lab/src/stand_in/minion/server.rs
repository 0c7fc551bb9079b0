//! The HTTP interface of a minion's stand-in.

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
/// Threads beyond two per slot. They run tasks beyond the slots, so that a sidecar that starts too
/// many is detected, and serve the control interface.
const SPARE_THREADS: usize = 16;

/// A minion that runs simulated tasks; it stops when dropped.
#[derive(Debug)]
pub struct MinionStandIn {
    // Fields are dropped in order: the announcer has to stop before the server.
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

    /// Sets how the minion responds to tasks from now on.
    pub fn control(&self, control: MinionControl) {
        self.state.set_control(control);
    }

    /// Announces that the minion is leaving.
    pub fn leave(&self) {
        self.state.leave();
        self.announcer.announce_now();
    }

    /// Returns the tasks started so far.
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
        return respond_text(
            request,
            400,
            "the body is not a valid minion control; expected JSON with mode",
        );
    };
    state.set_control(control);
    respond_json(request, 200, &Accepted::new());
}

fn run(mut request: Request, state: &SharedState) {
    let Some((task, attempt)) = task_from_headers(&request) else {
        return respond_text(
            request,
            400,
            "the header Knapweedrill-Task or Knapweedrill-Attempt is missing or invalid",
        );
    };
    let start_index = state.record_start(task, attempt);
    let body = read_body(&mut request, MAX_BODY_BYTES);
    let control = state.control();
    match control.mode {
        // The task never ends, so it stays counted as running.
        MinionMode::NeverAnswer => return state.keep_unanswered(request),
        MinionMode::FailEverything => {
            state.record_end(start_index);
            return respond_text(request, 500, "the minion is set to fail all tasks");
        }
        MinionMode::Normal | MinionMode::Slow | MinionMode::BreakOff => {}
    }
    let payload: Option<TaskPayload> = body.and_then(|bytes| serde_json::from_slice(&bytes).ok());
    if let Some(payload) = &payload {
        thread::sleep(run_time(payload, control, state.options.speed_percent));
    }
    state.record_end(start_index);
    if control.mode == MinionMode::BreakOff {
        return send_truncated_response(request);
    }
    respond_result(request, payload, task);
}

/// Sends fewer bytes than the Content-Length says; dropping the writer closes the connection.
fn send_truncated_response(request: Request) {
    let mut writer = request.into_writer();
    // An error means that the sidecar has closed the connection.
    let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nthe first part");
}

fn respond_result(request: Request, payload: Option<TaskPayload>, task: TaskLabel) {
    match payload {
        Some(payload) if payload.fail => {
            respond_text(request, 500, "the payload requests a failure")
        }
        Some(payload) => respond_text(request, 200, expected_result(&payload.echo, task.0)),
        None => respond_text(
            request,
            400,
            "the payload is not a valid task payload of the lab",
        ),
    }
}

fn task_from_headers(request: &Request) -> Option<(TaskLabel, Attempt)> {
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
