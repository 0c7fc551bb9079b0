//! The event loop of the control thread.

use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use eyre::WrapErr;

use super::ControlEvent;
use crate::http::HttpServer;
use crate::telemetry::{Metrics, Timer};

/// The interval at which timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The number of queued events that are processed after the first before the resulting messages
/// are sent.
const BATCH_EVENT_COUNT: usize = 256;

/// How long the control loop waits for HTTP requests in flight at the end of a graceful shutdown.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether the control loop continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The process is running or shutting down.
    Running,
    /// The graceful shutdown is complete except for HTTP requests in flight.
    Stopped,
}

/// The state of a process that is owned by the control thread and driven by its event loop.
pub trait Control {
    /// Processes an event.
    fn handle(&mut self, event: ControlEvent, now: Instant);

    /// Runs the timers that are due.
    fn tick(&mut self, now: Instant);

    /// Sends the messages and responses that result from the events processed so far.
    fn flush(&mut self, now: Instant) -> RunState;
}

/// The name of the control thread, under which profilers and `/proc` report its processor time.
const THREAD_NAME: &str = "control";

/// Runs the event loop on a thread of its own until the graceful shutdown is complete or all
/// senders of events have been dropped.
///
/// Once `control` has stopped, the HTTP server rejects new requests, and the loop continues until
/// none is in flight, or until `IN_FLIGHT_TIMEOUT` has passed.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
///
/// # Panics
///
/// Panics if the control thread does.
pub fn run(
    control: &mut (impl Control + Send),
    events: &Receiver<ControlEvent>,
    metrics: &Metrics,
    http: &HttpServer,
) -> eyre::Result<()> {
    thread::scope(|scope| {
        let thread = thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn_scoped(scope, move || run_loop(control, events, metrics, http))
            .wrap_err("cannot start the control thread")?;
        thread
            .join()
            .unwrap_or_else(|panic| std::panic::resume_unwind(panic));
        Ok(())
    })
}

fn run_loop(
    control: &mut impl Control,
    events: &Receiver<ControlEvent>,
    metrics: &Metrics,
    http: &HttpServer,
) {
    let mut in_flight_deadline = None;
    let mut next_tick = Instant::now();
    loop {
        let wait = next_tick.saturating_duration_since(Instant::now());
        let event = events.recv_timeout(wait);
        let started_at = Instant::now();
        match event {
            Ok(event) => {
                let now = started_at;
                control.handle(event, now);
                for event in events.try_iter().take(BATCH_EVENT_COUNT) {
                    control.handle(event, now);
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        if now >= next_tick {
            control.tick(now);
            next_tick = now + TICK_INTERVAL;
        }
        let run_state = control.flush(now);
        metrics.record_duration(Timer::ControlRound, started_at.elapsed());
        if run_state == RunState::Stopped {
            let deadline = *in_flight_deadline.get_or_insert(now + IN_FLIGHT_TIMEOUT);
            http.reject_requests();
            if http.accepted_count() == 0 || now >= deadline {
                return;
            }
        }
    }
}
