//! A stamp of a hybrid logical clock.

use knapweedrill_derive::key;

/// A stamp of a hybrid logical clock; stamps order events of all processes causally.
///
/// Source: Kulkarni et al., "Logical Physical Clocks", 2014.
#[key]
#[derive(Default)]
pub struct HybridTime {
    /// Wall-clock part in microseconds since the Unix epoch.
    pub wall_us: u64,
    /// Counts the events that share the wall-clock part.
    pub logical_count: u32,
}
