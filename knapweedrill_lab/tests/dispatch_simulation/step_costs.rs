use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use knapweedrill::dispatch::Packet;
use knapweedrill::dispatch::entry::{EntryAction, TaskPlacement};
use knapweedrill::dispatch::sidecar::SidecarAction;
use rand::RngExt;

use super::Simulation;
use super::claims::SidecarOutput;

/// How long a slow round of an event loop takes, in milliseconds.
const SLOW_ROUND_MS: RangeInclusive<u64> = 1..=400;

/// What a round of an event loop sends at its end.
#[derive(Debug, Default)]
pub(super) struct RoundOutput {
    pub(super) datagrams: Vec<(SocketAddr, Packet)>,
    pub(super) sidecar_actions: Vec<SidecarAction>,
    pub(super) entry_actions: Vec<EntryAction>,
    /// What a sidecar claims and orders.
    pub(super) claims: SidecarOutput,
    /// The placements that an entry has given up as lost.
    pub(super) lost: Vec<TaskPlacement>,
}

/// The time that the rounds of event loops take. Input waits meanwhile.
#[derive(Debug, Default)]
pub(crate) struct StepCosts {
    /// The share of rounds that are slow, in permille.
    pub(crate) slow_round_permille: u32,
    /// For each node in a slow round: until when it lasts in milliseconds, the generation of the
    /// process, and what it has yet to send.
    busy: HashMap<usize, (u64, u64, RoundOutput)>,
}

impl Simulation {
    pub(super) fn has_step_costs(&self) -> bool {
        self.step_costs.slow_round_permille > 0
    }

    /// Returns whether the event loop of a node is within a slow round.
    pub(super) fn is_in_slow_round(&self, node: usize) -> bool {
        let busy = self.step_costs.busy.get(&node);
        busy.is_some_and(|(until_ms, ..)| *until_ms > self.now_ms)
    }

    /// Sends the output of a slow round that has ended.
    pub(super) fn end_slow_round(&mut self, index: usize) {
        let Some((_, generation, output)) = self.step_costs.busy.remove(&index) else {
            return;
        };
        if generation == self.process_generations[index] {
            self.send_output(index, output);
        }
    }

    /// Sends the output of a round, or holds it back until the round ends if it is a slow one.
    pub(super) fn end_round(&mut self, index: usize, output: RoundOutput) {
        if self.draw_is_slow_round() {
            self.begin_slow_round(index, output);
        } else {
            self.send_output(index, output);
        }
    }

    /// Lets the event loop stand still between two events of a batch, or after the last one: the
    /// state is changed, but nothing is sent yet. Returns whether it does.
    pub(super) fn stand_still_within_batch(&mut self, index: usize) -> bool {
        if self.nodes[index].inbox.is_empty() || !self.draw_is_slow_round() {
            return false;
        }
        let count = self.random.random_range(1..=self.nodes[index].inbox.len());
        let now = self.process_now(index);
        let node = &mut self.nodes[index];
        let events: Vec<_> = node.inbox.drain(..count).collect();
        for (from, packet) in events {
            if let Some(entry) = &mut node.entry {
                entry.receive(from, packet, now);
            } else if let Some(endpoint) = &mut node.sidecar {
                endpoint.sidecar_mut().tick(now);
                endpoint.receive(from, packet, now);
            }
        }
        self.begin_slow_round(index, RoundOutput::default());
        true
    }

    fn draw_is_slow_round(&mut self) -> bool {
        self.has_step_costs()
            && self.random.random_range(0..1_000) < self.step_costs.slow_round_permille
    }

    fn begin_slow_round(&mut self, index: usize, output: RoundOutput) {
        let until_ms = self.now_ms + self.random.random_range(SLOW_ROUND_MS);
        let generation = self.process_generations[index];
        let busy = (until_ms, generation, output);
        self.step_costs.busy.insert(index, busy);
        let node = &mut self.nodes[index];
        node.frozen_until_ms = node.frozen_until_ms.max(until_ms);
    }
}
