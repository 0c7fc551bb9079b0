//! The loop of the control thread.

use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use eyre::WrapErr;

use super::ControlEvent;
use crate::http::HttpServer;
use crate::telemetry::{Metrics, Timer};

/// How often time-outs are looked at.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// How many events are dealt with before their effects are sent.
const BATCH_EVENT_COUNT: usize = 256;

/// How long the requests in flight at the end of a planned stop have to be answered.
const LAST_ANSWERS_GRACE: Duration = Duration::from_secs(2);

/// Whether a process goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It goes on.
    Running,
    /// A planned stop has come to its end.
    Stopped,
}

/// The control state of a process.
pub trait Control {
    /// Takes in one event.
    fn handle(&mut self, event: ControlEvent, now: Instant);

    /// Does what is due.
    fn tick(&mut self, now: Instant);

    /// Sends what the events at hand gave rise to.
    fn flush(&mut self, now: Instant) -> Progress;
}

/// The name of the control thread, by which its processor time can be told apart.
const THREAD_NAME: &str = "control";

/// Runs the control state on a thread of its own until it has stopped or nobody can send events
/// any more.
///
/// A state that has stopped goes on until the HTTP server, which refuses new requests from then
/// on, has none in flight.
///
/// # Errors
///
/// Fails if the thread can't be started.
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
            .spawn_scoped(scope, move || run_rounds(control, events, metrics, http))
            .wrap_err("can't start the control thread")?;
        thread
            .join()
            .unwrap_or_else(|panic| std::panic::resume_unwind(panic));
        Ok(())
    })
}

fn run_rounds(
    control: &mut impl Control,
    events: &Receiver<ControlEvent>,
    metrics: &Metrics,
    http: &HttpServer,
) {
    let mut last_answers_until = None;
    let mut next_tick = Instant::now();
    loop {
        let wait = next_tick.saturating_duration_since(Instant::now());
        let event = events.recv_timeout(wait);
        let began = Instant::now();
        match event {
            Ok(event) => {
                let now = began;
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
        let progress = control.flush(now);
        metrics.record_duration(Timer::ControlRound, began.elapsed());
        if progress == Progress::Stopped {
            let until = *last_answers_until.get_or_insert(now + LAST_ANSWERS_GRACE);
            http.reject_requests();
            if http.accepted_count() == 0 || now >= until {
                return;
            }
        }
    }
}
