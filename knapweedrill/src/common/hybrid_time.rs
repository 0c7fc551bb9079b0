//! A timestamp of a hybrid logical clock.

use knapweedrill_derive::key;

/// A timestamp of a hybrid logical clock. Timestamps order the events of all processes causally.
///
/// Source: Kulkarni et al., "Logical Physical Clocks", 2014.
#[key]
#[derive(Default)]
pub struct HybridTime {
    /// The wall-clock part, in microseconds since the Unix epoch.
    pub wall_us: u64,
    /// The position of the event among those with the same wall-clock part.
    pub logical_count: u32,
}
