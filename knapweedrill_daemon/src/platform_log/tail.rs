//! Following the log.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use eyre::WrapErr;
use knapweedrill::common::LogOffset;

use super::{LogPage, PlatformLog};

/// How often the log is asked for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The longest pause after failures.
const POLL_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// What following the log has brought.
#[derive(Debug)]
pub enum LogNews {
    /// The log answered; the page may be empty.
    Page(LogPage),
    /// The log did not answer.
    Unreachable,
}

/// Starts a thread that follows the log from its first kept record on.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub fn tail(
    log: Arc<dyn PlatformLog>,
    is_stopped: Arc<AtomicBool>,
    on_news: impl Fn(LogNews) + Send + 'static,
) -> eyre::Result<()> {
    thread::Builder::new()
        .name("log-tail".into())
        .spawn(move || follow(&*log, &is_stopped, &on_news))
        .wrap_err("can't start the thread that follows the log")?;
    Ok(())
}

fn follow(log: &dyn PlatformLog, is_stopped: &AtomicBool, on_news: &impl Fn(LogNews)) {
    let mut next: LogOffset = 0;
    let mut pause = POLL_INTERVAL;
    while !is_stopped.load(Ordering::Acquire) {
        match log.read(next) {
            Ok(page) => {
                pause = POLL_INTERVAL;
                let is_at_end = page.is_at_end();
                next = page.records.last().map_or(next, |record| record.offset + 1);
                on_news(LogNews::Page(page));
                if !is_at_end {
                    continue;
                }
            }
            Err(_) => {
                on_news(LogNews::Unreachable);
                pause = (pause * 2).min(POLL_INTERVAL_MAX);
            }
        }
        thread::sleep(jittered(pause));
    }
}

/// Spreads the polls of many processes over time.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.75..1.25))
}
