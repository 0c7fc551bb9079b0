//! Intervals of heartbeats and pings, and the silence timeout.

use std::time::Duration;

use knapweedrill::ini::IniReader;
use knapweedrill_derive::value;

const DEFAULT_HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);
const DEFAULT_PING_INTERVAL: Duration = Duration::from_millis(250);
const DEFAULT_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

const MINUTE_MS: u64 = 60_000;

/// Intervals of heartbeats and pings, and the silence timeout, the section `[timing]`.
#[value]
pub struct TimingSettings {
    /// The interval between two heartbeats.
    pub heartbeat_period: Duration,
    /// The interval between two pings on a link.
    pub ping_interval: Duration,
    /// How long a link may receive nothing before it is replaced; at least `ping_interval`.
    pub silence_timeout: Duration,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            heartbeat_period: DEFAULT_HEARTBEAT_PERIOD,
            ping_interval: DEFAULT_PING_INTERVAL,
            silence_timeout: DEFAULT_SILENCE_TIMEOUT,
        }
    }
}

impl TimingSettings {
    pub(super) fn read(reader: &mut IniReader) -> Self {
        let mut section = reader.section("timing");
        let timing = Self {
            heartbeat_period: section.milliseconds_or(
                "heartbeat_ms",
                1..=MINUTE_MS,
                DEFAULT_HEARTBEAT_PERIOD,
            ),
            ping_interval: section.milliseconds_or("ping_ms", 1..=MINUTE_MS, DEFAULT_PING_INTERVAL),
            silence_timeout: section.milliseconds_or(
                "silent_ms",
                1..=MINUTE_MS,
                DEFAULT_SILENCE_TIMEOUT,
            ),
        };
        section.require_at_least(
            "silent_ms",
            timing.silence_timeout,
            "ping_ms",
            timing.ping_interval,
        );
        section.finish();
        timing
    }
}
