//! A simulated run of entries and sidecars under faults.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedrill::common::{Incarnation, RequestId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::caller::{Observations, OutcomeCounts};
use super::network::Network;
use super::node::Node;
use super::{Faults, Timing};

const ENTRY_COUNT: usize = 3;
const SIDECAR_COUNT: usize = 3;
const STEP: Duration = Duration::from_millis(5);
const HEARTBEAT_STEPS: u32 = 40;
const TICK_STEPS: u32 = 10;

/// A simulated run of entries and sidecars under faults.
pub(crate) struct World {
    pub(super) now: Instant,
    pub(super) random: StdRng,
    pub(super) faults: Faults,
    pub(super) timing: Timing,
    pub(super) nodes: BTreeMap<Incarnation, Node>,
    pub(super) network: Network,
    pub(super) frozen_until: BTreeMap<Incarnation, Instant>,
    pub(super) lost_sidecars: Vec<(Incarnation, Instant)>,
    pub(super) observations: Observations,
    pub(super) next_incarnation: Incarnation,
    pub(super) next_request: RequestId,
    pub(super) step_count: u32,
}

impl World {
    pub(crate) fn new(seed: u64, faults: Faults, timing: Timing) -> Self {
        let mut world = Self {
            now: Instant::now(),
            random: StdRng::seed_from_u64(seed),
            faults,
            timing,
            nodes: BTreeMap::new(),
            network: Network::default(),
            frozen_until: BTreeMap::new(),
            lost_sidecars: Vec::new(),
            observations: Observations::default(),
            next_incarnation: 1,
            next_request: 1,
            step_count: 0,
        };
        for _ in 0..ENTRY_COUNT {
            world.add_entry();
        }
        for _ in 0..SIDECAR_COUNT {
            world.add_sidecar();
        }
        world
    }

    /// Runs with faults and load, and then without both, so that all requests can be answered.
    ///
    /// A request that is still pending afterwards is a violation.
    pub(crate) fn run(&mut self, load_duration: Duration, drain_duration: Duration) {
        let end = self.now + load_duration;
        while self.now < end {
            self.inject_faults();
            self.issue_requests();
            self.step();
        }
        let end = self.now + drain_duration;
        while self.now < end {
            self.step();
        }
        for call in self.observations.pending.values() {
            let text = format!("a call about job {} was never answered", call.job);
            self.observations.violations.push(text);
        }
    }

    /// Returns the violations of the guarantees.
    pub(crate) fn violations(&self) -> &[String] {
        &self.observations.violations
    }

    /// Returns the number of responses by outcome.
    pub(crate) fn outcome_counts(&self) -> OutcomeCounts {
        self.observations.outcome_counts
    }

    fn step(&mut self) {
        self.now += STEP;
        self.step_count += 1;
        let now = self.now;
        self.frozen_until.retain(|_, until| *until > now);
        let frozen = self.frozen_until.clone();
        self.network.reopen(now, |node| frozen.contains_key(&node));
        if self.step_count.is_multiple_of(HEARTBEAT_STEPS) {
            self.send_heartbeats();
        }
        if self.step_count.is_multiple_of(TICK_STEPS) {
            self.tick();
        }
        self.end_calls();
        let is_frozen = |node| frozen.contains_key(&node);
        while let Some((from, to, delivery)) =
            self.network.next_due(now, &mut self.random, is_frozen)
        {
            self.deliver(from, to, delivery);
        }
    }

    pub(super) fn is_frozen(&self, node: Incarnation) -> bool {
        self.frozen_until.contains_key(&node)
    }

    pub(super) fn chance(&mut self, in_ten_thousand: u32) -> bool {
        self.random.random_range(0..10_000) < in_ten_thousand
    }

    pub(super) fn choose(&mut self, candidates: &[Incarnation]) -> Option<Incarnation> {
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.random.random_range(0..candidates.len())])
    }

    pub(super) fn entries(&self) -> Vec<Incarnation> {
        let entries = self.nodes.iter();
        let entries = entries.filter(|(_, node)| matches!(node, Node::Entry { .. }));
        entries.map(|(incarnation, _)| *incarnation).collect()
    }

    pub(super) fn sidecars(&self) -> Vec<Incarnation> {
        let sidecars = self.nodes.iter();
        let sidecars = sidecars.filter(|(_, node)| matches!(node, Node::Sidecar { .. }));
        sidecars.map(|(incarnation, _)| *incarnation).collect()
    }
}
