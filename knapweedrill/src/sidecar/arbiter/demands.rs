//! Demand of the entries for slots.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::common::Incarnation;
use crate::contract::Flow;
use crate::message::Demand;

/// How many times in a row a flow may serve an entry out of turn.
const OUT_OF_TURN_COUNT_MAX: u32 = 4;

/// The demand for one flow.
#[derive(Debug, Default)]
struct FlowDemand {
    /// The number of tasks without a credit that are queued at each entry; never zero.
    entries: BTreeMap<Incarnation, u32>,
    /// The entry that was served last in turn.
    last_served: Option<Incarnation>,
    /// The number of consecutive times that an entry was served out of turn.
    out_of_turn_count: u32,
}

/// The demand of all entries, excluding tasks that they hold credits for.
#[derive(Debug, Default)]
pub(super) struct Demands {
    flows: BTreeMap<Flow, FlowDemand>,
    /// The entries that let a credit expire and have not responded since; they get no credits.
    unresponsive: BTreeSet<Incarnation>,
}

impl Demands {
    /// Replaces the demand of `entry`; `covered_count` returns its outstanding credits for a flow.
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

    /// Removes the demand of `entry`.
    pub(super) fn remove_entry(&mut self, entry: Incarnation) {
        self.unresponsive.remove(&entry);
        for flow_demand in self.flows.values_mut() {
            flow_demand.entries.remove(&entry);
        }
    }

    /// Removes the demand of `entry` for a flow.
    pub(super) fn withdraw(&mut self, entry: Incarnation, flow: &Flow) {
        if let Some(flow_demand) = self.flows.get_mut(flow) {
            flow_demand.entries.remove(&entry);
        }
    }

    /// Records that a credit of `entry` expired; the task it was for is still queued there.
    pub(super) fn credit_expired(&mut self, entry: Incarnation, flow: &Flow) {
        self.unresponsive.insert(entry);
        let flow_demand = self.flows.entry(flow.clone()).or_default();
        *flow_demand.entries.entry(entry).or_default() += 1;
    }

    /// Records that `entry` responded.
    pub(super) fn mark_responsive(&mut self, entry: Incarnation) {
        self.unresponsive.remove(&entry);
    }

    fn is_responsive(&self, entry: Incarnation) -> bool {
        !self.unresponsive.contains(&entry)
    }

    /// Returns the flows that responsive entries demand.
    pub(super) fn flows(&self) -> impl Iterator<Item = &Flow> {
        self.flows
            .iter()
            .filter(|(_, demand)| {
                demand
                    .entries
                    .keys()
                    .any(|entry| self.is_responsive(*entry))
            })
            .map(|(flow, _)| flow)
    }

    /// Returns how many tasks of a flow are queued at responsive entries.
    pub(super) fn task_count(&self, flow: &Flow) -> u32 {
        let Some(flow_demand) = self.flows.get(flow) else {
            return 0;
        };
        flow_demand
            .entries
            .iter()
            .filter(|(entry, _)| self.is_responsive(**entry))
            .map(|(_, task_count)| task_count)
            .sum()
    }

    /// Reduces the demand of `entry` for a flow by one task.
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

    /// Takes one task of a flow from the entries in round-robin order and returns the entry.
    ///
    /// `report_recipient` is served out of turn a limited number of times in a row: it gets a report
    /// anyway, so its credit costs no extra message.
    pub(super) fn take(
        &mut self,
        flow: &Flow,
        report_recipient: Option<Incarnation>,
    ) -> Option<Incarnation> {
        let flow_demand = self.flows.get_mut(flow)?;
        let is_responsive = |entry: &&Incarnation| !self.unresponsive.contains(entry);
        let out_of_turn = report_recipient
            .filter(|entry| flow_demand.entries.contains_key(entry) && is_responsive(&entry))
            .filter(|_| flow_demand.out_of_turn_count < OUT_OF_TURN_COUNT_MAX);
        if let Some(entry) = out_of_turn {
            flow_demand.out_of_turn_count += 1;
            self.take_from(entry, flow);
            return Some(entry);
        }
        let after = flow_demand
            .last_served
            .map_or(Bound::Unbounded, Bound::Excluded);
        let entries_after = flow_demand.entries.range((after, Bound::Unbounded));
        let entry = entries_after
            .map(|(entry, _)| entry)
            .find(is_responsive)
            .or_else(|| flow_demand.entries.keys().find(is_responsive))
            .copied()?;
        flow_demand.last_served = Some(entry);
        flow_demand.out_of_turn_count = 0;
        self.take_from(entry, flow);
        Some(entry)
    }
}
