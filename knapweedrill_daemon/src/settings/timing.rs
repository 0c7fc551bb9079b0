//! The spacing of heartbeats and pings.

use std::time::Duration;

use knapweedrill::ini::IniReader;
use knapweedrill_derive::value;

/// The time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// The time between two pings on a link.
const PING: Duration = Duration::from_millis(250);
/// The time after which a silent link is replaced.
const SILENT: Duration = Duration::from_millis(1_000);

const MINUTE_MS: u64 = 60_000;

/// The spacing of heartbeats and pings.
#[value]
pub struct TimingSettings {
    /// The time between two heartbeats.
    pub heartbeat: Duration,
    /// The time between two pings on a link.
    pub ping: Duration,
    /// The time after which a silent link is replaced; not less than `ping`.
    pub silent: Duration,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            heartbeat: HEARTBEAT,
            ping: PING,
            silent: SILENT,
        }
    }
}

impl TimingSettings {
    pub(super) fn read(reader: &mut IniReader) -> Self {
        let mut section = reader.section("timing");
        let timing = Self {
            heartbeat: section.milliseconds_or("heartbeat_ms", 1..=MINUTE_MS, HEARTBEAT),
            ping: section.milliseconds_or("ping_ms", 1..=MINUTE_MS, PING),
            silent: section.milliseconds_or("silent_ms", 1..=MINUTE_MS, SILENT),
        };
        section.require_at_least("silent_ms", timing.silent, "ping_ms", timing.ping);
        section.finish();
        timing
    }
}
