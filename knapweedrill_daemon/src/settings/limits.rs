//! Bounds on memory, time and connections.

use std::time::Duration;

use knapweedrill::ini::IniReader;
use knapweedrill_derive::value;

/// The time that a planned stop may take.
const SHUTDOWN_DEADLINE: Duration = Duration::from_millis(20_000);
/// The time for which keys of ended jobs are kept.
const KEPT_KEYS: Duration = Duration::from_millis(300_000);
/// The time after which an entry mints a new owner token.
const GENERATION: Duration = Duration::from_millis(60_000);
/// The bytes of answers that are kept.
const ANSWER_BYTES: u64 = 32 << 20;
/// The events that are kept for the time line.
const EVENT_COUNT: u32 = 20_000;
/// The largest body of a request, in bytes.
const REQUEST_BYTES: u64 = 16 << 20;
/// The connections that are open at once.
const CONNECTION_COUNT: u32 = 4_096;
/// The tasks that wait in a sidecar for the next free slot.
const PREFETCH_COUNT: u32 = 1;

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;
const MEMORY_BYTES_MAX: u64 = 1 << 40;

/// Bounds on memory, time and connections of one process.
#[value]
pub struct LimitSettings {
    /// The time that a planned stop may take.
    pub shutdown_deadline: Duration,
    /// The time for which keys of ended jobs are kept; not less than `generation`.
    pub kept_keys: Duration,
    /// The time after which an entry mints a new owner token.
    pub generation: Duration,
    /// The bytes of answers that are kept.
    pub answer_bytes: u64,
    /// The events that are kept for the time line.
    pub event_count: u32,
    /// The largest body of a request, in bytes.
    pub request_bytes: u64,
    /// The connections that are open at once.
    pub connection_count: u32,
    /// The tasks that wait in a sidecar for the next free slot.
    pub prefetch_count: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            shutdown_deadline: SHUTDOWN_DEADLINE,
            kept_keys: KEPT_KEYS,
            generation: GENERATION,
            answer_bytes: ANSWER_BYTES,
            event_count: EVENT_COUNT,
            request_bytes: REQUEST_BYTES,
            connection_count: CONNECTION_COUNT,
            prefetch_count: PREFETCH_COUNT,
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
                SHUTDOWN_DEADLINE,
            ),
            kept_keys: section.milliseconds_or("kept_keys_ms", 1..=DAY_MS, KEPT_KEYS),
            generation: section.milliseconds_or("generation_ms", 1..=DAY_MS, GENERATION),
            answer_bytes: section.number_or("answer_bytes", 0..=MEMORY_BYTES_MAX, ANSWER_BYTES),
            event_count: section.number_u32_or("event_count", 0..=10_000_000, EVENT_COUNT),
            request_bytes: section.number_or("request_bytes", 1..=MEMORY_BYTES_MAX, REQUEST_BYTES),
            connection_count: section.number_u32_or(
                "connection_count",
                1..=1_000_000,
                CONNECTION_COUNT,
            ),
            prefetch_count: section.number_u32_or("prefetch_count", 0..=1_000, PREFETCH_COUNT),
        };
        section.require_at_least(
            "kept_keys_ms",
            limits.kept_keys,
            "generation_ms",
            limits.generation,
        );
        section.finish();
        limits
    }
}
