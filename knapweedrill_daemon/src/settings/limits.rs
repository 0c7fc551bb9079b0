//! Limits on memory, time and connections.

use std::time::Duration;

use knapweedrill::ini::IniReader;
use knapweedrill_derive::value;

const DEFAULT_SHUTDOWN_DEADLINE: Duration = Duration::from_millis(20_000);
const DEFAULT_KEY_RETENTION: Duration = Duration::from_millis(300_000);
const DEFAULT_TOKEN_ROTATION_INTERVAL: Duration = Duration::from_millis(60_000);
const DEFAULT_ANSWER_BYTES: u64 = 32 << 20;
const DEFAULT_EVENT_COUNT: u32 = 20_000;
const DEFAULT_REQUEST_BYTES: u64 = 16 << 20;
const DEFAULT_CONNECTION_COUNT: u32 = 4_096;
const DEFAULT_PREFETCH_COUNT: u32 = 1;

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;
/// Upper bound of the settings in bytes, 1 TiB.
const MEMORY_BYTES_MAX: u64 = 1 << 40;

/// Limits on memory, time and connections, the section `[limits]`.
#[value]
pub struct LimitSettings {
    /// How long a graceful shutdown may take.
    pub shutdown_deadline: Duration,
    /// How long an entry keeps idempotency keys after their owner token was superseded, and how
    /// long a sidecar remembers which tasks it started; at least `token_rotation_interval`.
    pub key_retention: Duration,
    /// The interval at which an entry mints a new owner token, which starts a new generation of
    /// keys.
    pub token_rotation_interval: Duration,
    /// The maximum size of all answers that an entry keeps for resubmissions, in bytes.
    pub answer_bytes: u64,
    /// The number of most recent events that the process keeps for the timeline.
    pub event_count: u32,
    /// The maximum size of an HTTP request body, in bytes.
    pub request_bytes: u64,
    /// The maximum number of HTTP requests in flight.
    pub connection_count: u32,
    /// The maximum number of tasks that a sidecar accepts beyond its free slots.
    pub prefetch_count: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            shutdown_deadline: DEFAULT_SHUTDOWN_DEADLINE,
            key_retention: DEFAULT_KEY_RETENTION,
            token_rotation_interval: DEFAULT_TOKEN_ROTATION_INTERVAL,
            answer_bytes: DEFAULT_ANSWER_BYTES,
            event_count: DEFAULT_EVENT_COUNT,
            request_bytes: DEFAULT_REQUEST_BYTES,
            connection_count: DEFAULT_CONNECTION_COUNT,
            prefetch_count: DEFAULT_PREFETCH_COUNT,
        }
    }
}

impl LimitSettings {
    pub(super) fn read(reader: &mut IniReader) -> Self {
        let mut section = reader.section("limits");
        let limits = Self {
            shutdown_deadline: section.milliseconds_or(
                "shutdown_deadline_ms",
                1..=DAY_MS,
                DEFAULT_SHUTDOWN_DEADLINE,
            ),
            key_retention: section.milliseconds_or(
                "kept_keys_ms",
                1..=DAY_MS,
                DEFAULT_KEY_RETENTION,
            ),
            token_rotation_interval: section.milliseconds_or(
                "generation_ms",
                1..=DAY_MS,
                DEFAULT_TOKEN_ROTATION_INTERVAL,
            ),
            answer_bytes: section.number_or(
                "answer_bytes",
                0..=MEMORY_BYTES_MAX,
                DEFAULT_ANSWER_BYTES,
            ),
            event_count: section.number_u32_or("event_count", 0..=10_000_000, DEFAULT_EVENT_COUNT),
            request_bytes: section.number_or(
                "request_bytes",
                1..=MEMORY_BYTES_MAX,
                DEFAULT_REQUEST_BYTES,
            ),
            connection_count: section.number_u32_or(
                "connection_count",
                1..=1_000_000,
                DEFAULT_CONNECTION_COUNT,
            ),
            prefetch_count: section.number_u32_or(
                "prefetch_count",
                0..=1_000,
                DEFAULT_PREFETCH_COUNT,
            ),
        };
        section.require_at_least(
            "kept_keys_ms",
            limits.key_retention,
            "generation_ms",
            limits.token_rotation_interval,
        );
        section.finish();
        limits
    }
}
