//! Measures how far the traffic thread is behind the event loop.

use std::future::Future;
use std::time::{Duration, Instant};

use crossbeam::channel::Sender;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use super::entry::EntryEvent;

/// The interval of probes while the result matters.
const PROBE_INTERVAL: Duration = Duration::from_millis(40);

/// The lag from which on it is logged.
const LOGGED_LAG_MIN: Duration = Duration::from_millis(150);

/// The shortest time for which a timer of the runtime can wait.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Probes of the traffic thread, sent by the event loop.
#[derive(Debug)]
pub(super) struct TrafficProbe {
    probes: UnboundedSender<u64>,
    last_probe: u64,
    /// When the last probe was sent, until its answer is seen.
    sent_at: Option<Instant>,
    known_at: Instant,
    lag_max: Duration,
    is_behind: bool,
}

impl TrafficProbe {
    /// Creates the probe, and the future that answers it on the traffic thread.
    ///
    /// Answers take the way of the other events, so that they don't overtake departures of callers.
    pub(super) fn new(
        events: Sender<EntryEvent>,
        now: Instant,
    ) -> (Self, impl Future<Output = ()> + Send + 'static) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let probe = Self {
            probes: sender,
            last_probe: 0,
            sent_at: None,
            known_at: now,
            lag_max: Duration::ZERO,
            is_behind: false,
        };
        (probe, answer_probes(receiver, events))
    }

    /// Handles the answer to a probe.
    pub(super) fn record_answer(&mut self, probe: u64, now: Instant) {
        if probe != self.last_probe {
            return;
        }
        if let Some(sent_at) = self.sent_at.take() {
            self.known_at = sent_at;
            let lag = now.saturating_duration_since(sent_at);
            self.lag_max = self.lag_max.max(lag);
            self.log_changes(lag);
        }
    }

    /// Sends a probe if one is due and the result matters, and returns the time until which the
    /// traffic thread has handled everything that had arrived at the process.
    pub(super) fn poll(&mut self, is_needed: bool, now: Instant) -> Instant {
        if let Some(sent_at) = self.sent_at {
            let lag = now.saturating_duration_since(sent_at);
            self.lag_max = self.lag_max.max(lag);
            self.log_changes(lag);
        }
        if self.sent_at.is_none() {
            if !is_needed {
                self.known_at = now;
            } else if now.saturating_duration_since(self.known_at) >= PROBE_INTERVAL {
                self.last_probe += 1;
                self.sent_at = Some(now);
                // The process exits if the traffic thread fails.
                let _ = self.probes.send(self.last_probe);
            }
        }
        self.known_at
    }

    /// Returns the greatest lag since the last call.
    pub(super) fn take_lag_max(&mut self) -> Duration {
        std::mem::take(&mut self.lag_max)
    }

    fn log_changes(&mut self, lag: Duration) {
        let lag_ms = lag.as_millis() as u64;
        let is_outstanding = self.sent_at.is_some();
        if is_outstanding && lag >= LOGGED_LAG_MIN && !self.is_behind {
            self.is_behind = true;
            log::warn!(lag_ms; "traffic thread is behind");
        } else if !is_outstanding && self.is_behind {
            self.is_behind = false;
            log::warn!(lag_ms; "traffic thread has caught up");
        }
    }
}

/// Answers each probe after all connections that were ready when it arrived have been polled.
async fn answer_probes(mut probes: UnboundedReceiver<u64>, events: Sender<EntryEvent>) {
    while let Some(probe) = probes.recv().await {
        // The runtime looks for expired timers after it has looked for ready sockets, and polls
        // tasks in the order in which they became ready.
        tokio::time::sleep(TIMER_RESOLUTION).await;
        // The event loop has ended if this fails, and sends no more probes.
        let _ = events.send(EntryEvent::ProbeAnswered(probe));
    }
}
