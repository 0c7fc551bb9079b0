//! The HTTP interface of the log.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use tiny_http::{Method, Request};

use super::{AppendResponse, LogControl, LogMode, LogRetain, LogStore};
use crate::stand_in::http::{path, query_number, read_body, read_json, respond_json, respond_text};
use crate::stand_in::{Accepted, HttpServer};

const MAX_RECORD_BYTES: u64 = 1 << 20;
const MAX_READ_RECORDS: u64 = 1000;
/// Leaves threads for the control interface while [`LogMode::Slow`] blocks others.
const THREAD_COUNT: usize = 32;

/// An HTTP server of an in-memory log; it stops when dropped.
#[derive(Debug)]
pub struct LogStandIn {
    server: HttpServer,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    store: LogStore,
    control: LogControl,
}

impl LogStandIn {
    /// Starts a log that keeps the newest `retention_count` records.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(listen: SocketAddr, retention_count: usize) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            store: LogStore::new(retention_count),
            control: LogControl::default(),
        }));
        let shared = Arc::clone(&state);
        let server = HttpServer::start(listen, THREAD_COUNT, move |request| {
            handle(request, &shared);
        })?;
        Ok(Self { server, state })
    }

    /// Returns the address that the log listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how the log responds from now on.
    pub fn control(&self, control: LogControl) {
        lock(&self.state).control = control;
    }

    /// Drops the oldest records until at most `record_count` are left.
    pub fn retain(&self, record_count: usize) {
        lock(&self.state).store.retain(record_count);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

fn handle(request: Request, state: &Mutex<State>) {
    match (request.method(), path(&request)) {
        (Method::Post, "/control") => set_control(request, state),
        (Method::Post, "/control/retain") => set_retention(request, state),
        (Method::Post, "/append") => serve_append(request, state),
        (Method::Get, "/records") => serve_read(request, state),
        _ => respond_text(request, 404, "use POST /append or GET /records"),
    }
}

fn set_control(mut request: Request, state: &Mutex<State>) {
    let Some(control) = read_json(&mut request, MAX_RECORD_BYTES) else {
        return respond_text(
            request,
            400,
            "the body is not a valid log control; expected JSON with mode and optional delay_ms",
        );
    };
    lock(state).control = control;
    respond_json(request, 200, &Accepted::new());
}

fn set_retention(mut request: Request, state: &Mutex<State>) {
    let Some(retain) = read_json::<LogRetain>(&mut request, MAX_RECORD_BYTES) else {
        return respond_text(
            request,
            400,
            "the body is not a valid retention; expected JSON with record_count",
        );
    };
    lock(state).store.retain(retain.record_count);
    respond_json(request, 200, &Accepted::new());
}

/// Applies the delay of the mode and returns the mode, or `None` if the log is down.
fn apply_mode(state: &Mutex<State>) -> Option<LogMode> {
    let control = lock(state).control;
    match control.mode {
        LogMode::Down => return None,
        LogMode::Slow => thread::sleep(Duration::from_millis(control.delay_ms)),
        LogMode::Up | LogMode::LoseAnswers => {}
    }
    Some(control.mode)
}

fn serve_append(mut request: Request, state: &Mutex<State>) {
    let Some(mode) = apply_mode(state) else {
        return respond_text(request, 503, "the log is down");
    };
    let body = read_body(&mut request, MAX_RECORD_BYTES);
    let Some(body) = body.and_then(|bytes| String::from_utf8(bytes).ok()) else {
        return respond_text(
            request,
            400,
            "the body is not a valid record; expected UTF-8 text of at most 1 MiB",
        );
    };
    let offset = lock(state).store.append(body);
    match mode {
        // Dropping the writer closes the connection without a response.
        LogMode::LoseAnswers => drop(request.into_writer()),
        _ => respond_json(request, 200, &AppendResponse { offset }),
    }
}

fn serve_read(request: Request, state: &Mutex<State>) {
    if apply_mode(state).is_none() {
        return respond_text(request, 503, "the log is down");
    }
    let from = query_number(&request, "from").unwrap_or(0);
    let max = query_number(&request, "max").unwrap_or(MAX_READ_RECORDS);
    let max_count = max.min(MAX_READ_RECORDS) as usize;
    let response = lock(state).store.read(from, max_count);
    respond_json(request, 200, &response);
}
