use std::collections::HashMap;

use rand::RngExt;
use smallvec::SmallVec;

use super::Simulation;

/// By how much late datagrams are delayed, in milliseconds.
const LATE_DATAGRAM_DELAY_MS: std::ops::Range<u64> = 500..5_000;

/// Faults of the links between nodes; shares are in permille.
#[derive(Debug, Default)]
pub(crate) struct LinkFaults {
    /// Datagrams that arrive twice.
    pub(crate) duplicate_permille: u32,
    /// Datagrams that arrive seconds late, overtaken by others.
    pub(crate) late_permille: u32,
    /// Until when the link from one node to another is cut, in milliseconds.
    cut_until_ms: HashMap<(usize, usize), u64>,
}

impl Simulation {
    /// Drops the datagrams from one node to another; the other direction works on.
    pub(crate) fn cut_link(&mut self, from: usize, to: usize, for_ms: u64) {
        self.record_event(None, format!("link {from} -> {to} cut for {for_ms} ms"));
        self.links
            .cut_until_ms
            .insert((from, to), self.now_ms + for_ms);
    }

    /// Returns whether the link from one node to another is cut.
    pub(super) fn is_link_cut(&self, from: usize, to: usize) -> bool {
        let until_ms = self.links.cut_until_ms.get(&(from, to));
        until_ms.is_some_and(|until_ms| *until_ms > self.now_ms)
    }

    /// Returns the delays with which the copies of a datagram arrive, in milliseconds.
    pub(super) fn draw_delays_ms(&mut self) -> SmallVec<[u64; 2]> {
        let copy_count = if self.draw_permille(self.links.duplicate_permille) {
            2
        } else {
            1
        };
        let mut delays_ms = SmallVec::new();
        for _ in 0..copy_count {
            let delay_max_ms = self.faults.datagram_delay_max_ms;
            let mut delay_ms = 1 + self.random.random_range(0..=delay_max_ms);
            if self.draw_permille(self.links.late_permille) {
                delay_ms += self.random.random_range(LATE_DATAGRAM_DELAY_MS);
            }
            delays_ms.push(delay_ms);
        }
        delays_ms
    }

    /// Draws nothing for a share of 0, so that the other draws of a seed stay as they are.
    fn draw_permille(&mut self, permille: u32) -> bool {
        permille > 0 && self.random.random_range(0..1_000) < permille
    }
}
