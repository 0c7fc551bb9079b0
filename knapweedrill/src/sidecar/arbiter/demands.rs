//! What the entries would run.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::common::Incarnation;
use crate::contract::Flow;
use crate::message::Demand;

/// How many times in a row an entry may be served out of turn.
const OUT_OF_TURN_MAX: u32 = 4;

/// The waiting tasks of one flow.
#[derive(Debug, Default)]
struct FlowDemand {
    /// The tasks that wait at each entry and have no credit yet; never zero.
    entries: BTreeMap<Incarnation, u32>,
    /// The entry that was served last.
    last_served: Option<Incarnation>,
    /// How many times in a row an entry was served out of turn.
    out_of_turn_count: u32,
}

/// What the entries would run, without what they have credits for.
#[derive(Debug, Default)]
pub(super) struct Demands {
    flows: BTreeMap<Flow, FlowDemand>,
    /// The entries that let a credit lapse and were not heard of since; they get none.
    silent: BTreeSet<Incarnation>,
}

impl Demands {
    /// Replaces all that `entry` demanded; `covered_count` tells its credits for a flow.
    pub(super) fn replace(
        &mut self,
        entry: Incarnation,
        demands: Vec<Demand>,
        covered_count: impl Fn(&Flow) -> u32,
    ) {
        self.remove_entry(entry);
        for demand in demands {
            let flow = Flow::new(demand.team, demand.class);
            let task_count = demand.task_count.saturating_sub(covered_count(&flow));
            if task_count > 0 {
                let flow_demand = self.flows.entry(flow).or_default();
                flow_demand.entries.insert(entry, task_count);
            }
        }
        self.flows
            .retain(|_, flow_demand| !flow_demand.entries.is_empty());
    }

    /// Drops all that `entry` demanded.
    pub(super) fn remove_entry(&mut self, entry: Incarnation) {
        self.silent.remove(&entry);
        for flow_demand in self.flows.values_mut() {
            flow_demand.entries.remove(&entry);
        }
    }

    /// Drops what `entry` demanded of a flow.
    pub(super) fn withdraw(&mut self, entry: Incarnation, flow: &Flow) {
        if let Some(flow_demand) = self.flows.get_mut(flow) {
            flow_demand.entries.remove(&entry);
        }
    }

    /// Notes that a credit of `entry` lapsed; the task it was for still waits there.
    pub(super) fn lapsed(&mut self, entry: Incarnation, flow: &Flow) {
        self.silent.insert(entry);
        let flow_demand = self.flows.entry(flow.clone()).or_default();
        *flow_demand.entries.entry(entry).or_default() += 1;
    }

    /// Notes that `entry` was heard of.
    pub(super) fn heard(&mut self, entry: Incarnation) {
        self.silent.remove(&entry);
    }

    fn is_heard(&self, entry: Incarnation) -> bool {
        !self.silent.contains(&entry)
    }

    /// Returns the flows with waiting tasks.
    pub(super) fn flows(&self) -> impl Iterator<Item = &Flow> {
        self.flows
            .iter()
            .filter(|(_, demand)| demand.entries.keys().any(|entry| self.is_heard(*entry)))
            .map(|(flow, _)| flow)
    }

    /// Returns how many tasks of a flow wait at all entries.
    pub(super) fn task_count(&self, flow: &Flow) -> u32 {
        let Some(flow_demand) = self.flows.get(flow) else {
            return 0;
        };
        flow_demand
            .entries
            .iter()
            .filter(|(entry, _)| self.is_heard(**entry))
            .map(|(_, task_count)| task_count)
            .sum()
    }

    /// Takes one task off what `entry` demands of a flow.
    pub(super) fn take_from(&mut self, entry: Incarnation, flow: &Flow) {
        let Some(flow_demand) = self.flows.get_mut(flow) else {
            return;
        };
        if let Some(task_count) = flow_demand.entries.get_mut(&entry) {
            *task_count -= 1;
            if *task_count == 0 {
                flow_demand.entries.remove(&entry);
            }
        }
    }

    /// Takes one task of a flow, from the entries in turn.
    ///
    /// The entry that a message goes to anyway is served out of turn, though not for ever, since
    /// its credit then costs no message.
    pub(super) fn take(
        &mut self,
        flow: &Flow,
        reported_to: Option<Incarnation>,
    ) -> Option<Incarnation> {
        let flow_demand = self.flows.get_mut(flow)?;
        let is_heard = |entry: &&Incarnation| !self.silent.contains(entry);
        let out_of_turn = reported_to
            .filter(|entry| flow_demand.entries.contains_key(entry) && is_heard(&entry))
            .filter(|_| flow_demand.out_of_turn_count < OUT_OF_TURN_MAX);
        if let Some(entry) = out_of_turn {
            flow_demand.out_of_turn_count += 1;
            self.take_from(entry, flow);
            return Some(entry);
        }
        let after = flow_demand
            .last_served
            .map_or(Bound::Unbounded, Bound::Excluded);
        let later = flow_demand.entries.range((after, Bound::Unbounded));
        let entry = later
            .map(|(entry, _)| entry)
            .find(is_heard)
            .or_else(|| flow_demand.entries.keys().find(is_heard))
            .copied()?;
        flow_demand.last_served = Some(entry);
        flow_demand.out_of_turn_count = 0;
        self.take_from(entry, flow);
        Some(entry)
    }
}
