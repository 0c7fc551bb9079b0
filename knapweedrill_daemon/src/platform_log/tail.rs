//! Tails the log.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use eyre::WrapErr;
use knapweedrill::common::LogOffset;

use super::{LogPage, PlatformLog};

/// Interval between polls at the end of the log.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Upper bound of the exponential backoff after failed polls.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// The result of a poll.
#[derive(Debug)]
pub enum TailEvent {
    /// The log responded; the page may be empty.
    Page(LogPage),
    /// The read failed.
    Unreachable,
}

/// Starts a thread that tails the log from its oldest kept record.
///
/// The thread ends at the next poll after `is_stopped` is set.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub fn tail(
    log: Arc<dyn PlatformLog>,
    is_stopped: Arc<AtomicBool>,
    on_event: impl Fn(TailEvent) + Send + 'static,
) -> eyre::Result<()> {
    thread::Builder::new()
        .name("log-tail".into())
        .spawn(move || poll(&*log, &is_stopped, &on_event))
        .wrap_err("can't start the thread that tails the log")?;
    Ok(())
}

fn poll(log: &dyn PlatformLog, is_stopped: &AtomicBool, on_event: &impl Fn(TailEvent)) {
    let mut next_offset: LogOffset = 0;
    let mut pause = POLL_INTERVAL;
    while !is_stopped.load(Ordering::Acquire) {
        match log.read(next_offset) {
            Ok(page) => {
                pause = POLL_INTERVAL;
                let is_at_end = page.is_at_end();
                next_offset = page
                    .records
                    .last()
                    .map_or(next_offset, |record| record.offset + 1);
                on_event(TailEvent::Page(page));
                if !is_at_end {
                    continue;
                }
            }
            Err(_) => {
                on_event(TailEvent::Unreachable);
                pause = (pause * 2).min(BACKOFF_MAX);
            }
        }
        thread::sleep(jittered(pause));
    }
}

/// Adds a jitter of 25 % so that processes don't poll in lockstep.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.75..1.25))
}
