//! Advertising of queued work to sidecars.
//!
//! An entry advertises to each sidecar a share of its queued tasks, in proportion to the slots. The
//! sidecar counts its share down as it issues credits. An update is sent only when the share of a
//! flow is used up while tasks still wait, or when no task of an advertised flow waits any more.
//! This keeps both the number of messages and the number of unused credits low.

mod sidecar_demands;

use std::collections::{BTreeMap, HashMap};

use crate::common::Incarnation;
use crate::contract::Flow;
use crate::message::Demand;

pub use sidecar_demands::SidecarDemands;

/// The number of sidecars that a flow is advertised to even if it has fewer tasks.
const RECIPIENT_COUNT_MIN: u32 = 3;

/// The sidecars that are eligible for a flow.
#[derive(Debug, Clone, Copy, Default)]
struct FlowRecipients {
    slot_count: u32,
    sidecar_count: u32,
}

/// Tracks the demand that was advertised to each sidecar and computes the updates to send.
#[derive(Debug, Default)]
pub struct DemandTracker {
    /// The remaining number of tasks that was advertised to each sidecar, by flow.
    advertised: HashMap<Incarnation, BTreeMap<Flow, u32>>,
}

impl DemandTracker {
    /// Creates a tracker with no advertised demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Resets the demand that was advertised to a sidecar, so that it is sent again in full.
    pub fn reset_sidecar(&mut self, sidecar: Incarnation) {
        self.advertised.remove(&sidecar);
    }

    /// Subtracts tasks that were handed to a sidecar from its advertised demand.
    pub fn tasks_handed_out(&mut self, sidecar: Incarnation, flow: &Flow, handed_out_count: u32) {
        let advertised = self.advertised.get_mut(&sidecar);
        if let Some(task_count) = advertised.and_then(|advertised| advertised.get_mut(flow)) {
            *task_count = task_count.saturating_sub(handed_out_count);
        }
    }

    /// Removes the advertised demand of a flow after a credit for it was returned.
    ///
    /// The sidecar takes a returned credit as a sign that the flow has no demand left.
    pub fn remove_flow(&mut self, sidecar: Incarnation, flow: &Flow) {
        if let Some(advertised) = self.advertised.get_mut(&sidecar) {
            advertised.remove(flow);
        }
    }

    /// Returns the updates to send, each with the complete demand for its sidecar.
    ///
    /// `waiting` lists every sidecar with a link session, the preferred ones first, each with all
    /// queued tasks that may run there. An ejected or draining sidecar is listed without demands.
    pub fn update(&mut self, waiting: &[SidecarDemands]) -> Vec<SidecarDemands> {
        let recipients = eligible_recipients(waiting);
        let mut recipient_counts: HashMap<Flow, u32> = HashMap::new();
        let mut updates = Vec::new();
        for view in waiting {
            let advertised = self.advertised.entry(view.sidecar).or_default();
            let shares = shares(view, advertised, &recipients, &mut recipient_counts);
            if !needs_update(advertised, &shares) {
                continue;
            }
            *advertised = shares.iter().map(flow_count).collect();
            updates.push(SidecarDemands {
                sidecar: view.sidecar,
                slot_count: view.slot_count,
                demands: shares,
            });
        }
        updates
    }
}

fn flow_of(demand: &Demand) -> Flow {
    Flow::new(demand.team.as_str(), demand.class)
}

fn flow_count(demand: &Demand) -> (Flow, u32) {
    (flow_of(demand), demand.task_count)
}

fn eligible_recipients(waiting: &[SidecarDemands]) -> HashMap<Flow, FlowRecipients> {
    let mut recipients: HashMap<Flow, FlowRecipients> = HashMap::new();
    for view in waiting {
        for demand in &view.demands {
            let flow_recipients = recipients.entry(flow_of(demand)).or_default();
            flow_recipients.slot_count += view.slot_count;
            flow_recipients.sidecar_count += 1;
        }
    }
    recipients
}

/// Returns the share of each flow to advertise to a sidecar.
fn shares(
    view: &SidecarDemands,
    advertised: &BTreeMap<Flow, u32>,
    recipients: &HashMap<Flow, FlowRecipients>,
    recipient_counts: &mut HashMap<Flow, u32>,
) -> Vec<Demand> {
    let mut shares = Vec::with_capacity(view.demands.len());
    for demand in &view.demands {
        let flow = flow_of(demand);
        let flow_recipients = recipients.get(&flow).copied().unwrap_or_default();
        let recipient_count = recipient_counts.entry(flow.clone()).or_default();
        let is_advertised = advertised
            .get(&flow)
            .is_some_and(|task_count| *task_count > 0);
        let wanted_count = demand.task_count.max(RECIPIENT_COUNT_MIN);
        if !is_advertised && *recipient_count >= wanted_count.min(flow_recipients.sidecar_count) {
            continue;
        }
        *recipient_count += 1;
        let weighted_count = u64::from(demand.task_count) * u64::from(view.slot_count);
        let task_count =
            weighted_count.div_ceil(u64::from(flow_recipients.slot_count.max(1))) as u32;
        shares.push(Demand {
            task_count: task_count.max(1),
            ..demand.clone()
        });
    }
    shares
}

fn needs_update(advertised: &BTreeMap<Flow, u32>, shares: &[Demand]) -> bool {
    let is_used_up = shares.iter().any(|share| {
        advertised
            .get(&flow_of(share))
            .is_none_or(|count| *count == 0)
    });
    let is_stale = advertised
        .iter()
        .filter(|(_, task_count)| **task_count > 0)
        .any(|(flow, _)| !shares.iter().any(|share| flow_of(share) == *flow));
    is_used_up || is_stale
}
