//! Requests by signal: SIGTERM stops the process, SIGHUP reloads its settings.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use eyre::WrapErr;

/// The time in which the platform detects that a process is not ready. It probes once a second and
/// acts after two failed probes.
const READINESS_DETECTION_TIME: Duration = Duration::from_millis(2_300);

/// How long before the end of the grace period a stopping process exits by itself.
const STOP_GRACE_MARGIN: Duration = Duration::from_millis(400);

/// How long a stopping process must have been without work before it exits.
const IDLE_BEFORE_EXIT: Duration = Duration::from_millis(1_500);

/// The stop and reload requests of the process, and the progress of a requested stop.
pub(super) struct ProcessSignals {
    stop_flag: Arc<AtomicBool>,
    reload_flag: Arc<AtomicBool>,
    pub(super) grace: Duration,
    stop_requested_at: Option<Instant>,
    last_busy_at: Option<Instant>,
}

impl ProcessSignals {
    /// Registers the signal handlers. `grace` is the grace period of a stop.
    ///
    /// # Errors
    ///
    /// Fails if a handler can't be registered.
    pub(super) fn register(grace: Duration) -> eyre::Result<Self> {
        let stop_flag = Arc::new(AtomicBool::new(false));
        let reload_flag = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(signal_hook::consts::SIGTERM, Arc::clone(&stop_flag))
            .wrap_err("can't register a handler for SIGTERM")?;
        signal_hook::flag::register(signal_hook::consts::SIGHUP, Arc::clone(&reload_flag))
            .wrap_err("can't register a handler for SIGHUP")?;
        Ok(Self {
            stop_flag,
            reload_flag,
            grace,
            stop_requested_at: None,
            last_busy_at: None,
        })
    }

    /// Returns the grace period in milliseconds, at most `u64::MAX`.
    pub(super) fn grace_ms(&self) -> u64 {
        u64::try_from(self.grace.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns true once, at the first call after the process was asked to stop.
    pub(super) fn take_stop_request(&mut self, now: Instant) -> bool {
        if self.stop_requested_at.is_some() || !self.stop_flag.load(Ordering::Relaxed) {
            return false;
        }
        log::info!(grace_ms = self.grace_ms(); "asked to stop");
        self.stop_requested_at = Some(now);
        self.last_busy_at = Some(now);
        true
    }

    /// Returns whether connections of callers may be closed: the platform has had time to route new
    /// connections to other processes, so that callers do not reconnect to this one.
    pub(super) fn should_close_connections(&self, now: Instant) -> bool {
        let is_detected = |at| now.saturating_duration_since(at) >= READINESS_DETECTION_TIME;
        self.stop_requested_at.is_some_and(is_detected)
    }

    /// Returns whether a stopping process is to exit: it was idle for [`IDLE_BEFORE_EXIT`], or the
    /// grace period is almost over.
    pub(super) fn should_exit(&mut self, has_work: bool, now: Instant) -> bool {
        let Some(stop_requested_at) = self.stop_requested_at else {
            return false;
        };
        if has_work {
            self.last_busy_at = Some(now);
        }
        let is_idle = self
            .last_busy_at
            .is_some_and(|at| now.saturating_duration_since(at) >= IDLE_BEFORE_EXIT);
        let stopping_for = now.saturating_duration_since(stop_requested_at);
        is_idle || stopping_for >= self.grace.saturating_sub(STOP_GRACE_MARGIN)
    }

    /// Returns whether the process was asked to reload its settings since the last call.
    pub(super) fn take_reload_request(&self) -> bool {
        self.reload_flag.swap(false, Ordering::Relaxed)
    }
}
