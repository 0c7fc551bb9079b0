//! The loop of the control thread.

use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};

use super::ControlEvent;

/// How often time-outs are looked at.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// How many events are dealt with before their effects are sent.
const BATCH_EVENT_COUNT: usize = 256;

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

/// Runs the control state until it has stopped or nobody can send events any more.
pub fn run(control: &mut impl Control, events: &Receiver<ControlEvent>) {
    let mut next_tick = Instant::now();
    loop {
        let wait = next_tick.saturating_duration_since(Instant::now());
        match events.recv_timeout(wait) {
            Ok(event) => {
                let now = Instant::now();
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
        if control.flush(now) == Progress::Stopped {
            return;
        }
    }
}
