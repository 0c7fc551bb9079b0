//! What an entry tells each sidecar of the work that waits.
//!
//! Each sidecar is told a part of what waits, by its slots, and counts it down as it issues
//! credits. A sidecar hears again only when its part has run out while work still waits, or when
//! nothing waits of what it was told. So demands cost few messages, and few credits go unused.

mod sidecar_demands;

use std::collections::{BTreeMap, HashMap};

use crate::common::Incarnation;
use crate::contract::Flow;
use crate::message::Demand;

pub use sidecar_demands::SidecarDemands;

/// How many sidecars at least hear of a flow, however few its tasks.
const SPREAD_MIN_COUNT: u32 = 3;

/// The part of a flow that one sidecar may be told.
#[derive(Debug, Clone, Copy, Default)]
struct FlowSpread {
    slot_count: u32,
    sidecar_count: u32,
}

/// Keeps what each sidecar was told, and tells what it has to hear.
#[derive(Debug, Default)]
pub struct DemandBoard {
    told: HashMap<Incarnation, BTreeMap<Flow, u32>>,
}

impl DemandBoard {
    /// Creates a board that has told nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets what a sidecar was told, when a link session opens or ends.
    pub fn session_changed(&mut self, sidecar: Incarnation) {
        self.told.remove(&sidecar);
    }

    /// Counts down when tasks were handed to the sidecar.
    pub fn used(&mut self, sidecar: Incarnation, flow: &Flow, used_count: u32) {
        let told = self.told.get_mut(&sidecar);
        if let Some(task_count) = told.and_then(|told| told.get_mut(flow)) {
            *task_count = task_count.saturating_sub(used_count);
        }
    }

    /// Notes that a credit of a flow goes back, by which the sidecar takes the demand for gone.
    pub fn withdrawn(&mut self, sidecar: Incarnation, flow: &Flow) {
        if let Some(told) = self.told.get_mut(&sidecar) {
            told.remove(flow);
        }
    }

    /// Returns what has to be told now, whole for each sidecar that has to hear something.
    ///
    /// `waiting` lists every sidecar with a link session, the preferred ones first, each with all
    /// that waits and may run there. An ejected or leaving one is listed without demands.
    pub fn update(&mut self, waiting: &[SidecarDemands]) -> Vec<SidecarDemands> {
        let spreads = spreads(waiting);
        let mut heard: HashMap<Flow, u32> = HashMap::new();
        let mut updates = Vec::new();
        for view in waiting {
            let told = self.told.entry(view.sidecar).or_default();
            let parts = parts(view, told, &spreads, &mut heard);
            if !has_to_hear(told, &parts) {
                continue;
            }
            *told = parts.iter().map(flow_count).collect();
            updates.push(SidecarDemands {
                sidecar: view.sidecar,
                slot_count: view.slot_count,
                demands: parts,
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

fn spreads(waiting: &[SidecarDemands]) -> HashMap<Flow, FlowSpread> {
    let mut spreads: HashMap<Flow, FlowSpread> = HashMap::new();
    for view in waiting {
        for demand in &view.demands {
            let spread = spreads.entry(flow_of(demand)).or_default();
            spread.slot_count += view.slot_count;
            spread.sidecar_count += 1;
        }
    }
    spreads
}

/// Returns the part of each flow that a sidecar is to be told.
fn parts(
    view: &SidecarDemands,
    told: &BTreeMap<Flow, u32>,
    spreads: &HashMap<Flow, FlowSpread>,
    heard: &mut HashMap<Flow, u32>,
) -> Vec<Demand> {
    let mut parts = Vec::with_capacity(view.demands.len());
    for demand in &view.demands {
        let flow = flow_of(demand);
        let spread = spreads.get(&flow).copied().unwrap_or_default();
        let heard_count = heard.entry(flow.clone()).or_default();
        let was_told = told.get(&flow).is_some_and(|task_count| *task_count > 0);
        let spread_count = demand.task_count.max(SPREAD_MIN_COUNT);
        if !was_told && *heard_count >= spread_count.min(spread.sidecar_count) {
            continue;
        }
        *heard_count += 1;
        let part = u64::from(demand.task_count) * u64::from(view.slot_count);
        let task_count = part.div_ceil(u64::from(spread.slot_count.max(1))) as u32;
        parts.push(Demand {
            task_count: task_count.max(1),
            ..demand.clone()
        });
    }
    parts
}

fn has_to_hear(told: &BTreeMap<Flow, u32>, parts: &[Demand]) -> bool {
    let is_short = parts
        .iter()
        .any(|part| told.get(&flow_of(part)).is_none_or(|count| *count == 0));
    let is_stale = told
        .iter()
        .filter(|(_, task_count)| **task_count > 0)
        .any(|(flow, _)| !parts.iter().any(|part| flow_of(part) == *flow));
    is_short || is_stale
}
