//! Placement of tasks on minions.

mod candidate;
mod policy;

use std::cmp::Reverse;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use crate::common::Incarnation;

pub use candidate::Candidate;
pub use policy::PlacementPolicy;

/// Chooses the minion for each task according to a policy.
#[derive(Debug)]
pub struct Placer {
    policy: PlacementPolicy,
    random: StdRng,
    last_chosen: Incarnation,
}

impl Placer {
    /// Creates a placer; `seed` makes its random choices reproducible.
    pub fn new(policy: PlacementPolicy, seed: u64) -> Self {
        Self {
            policy,
            random: StdRng::seed_from_u64(seed),
            last_chosen: 0,
        }
    }

    /// Returns the placement policy.
    pub fn policy(&self) -> PlacementPolicy {
        self.policy
    }

    /// Returns the sidecar of the minion for the next task, or `None` if no candidate qualifies.
    ///
    /// The candidates must be minions that the task may run on and that are neither ejected nor
    /// draining. Late-binding policies skip those without a free slot.
    pub fn choose(
        &mut self,
        candidates: impl IntoIterator<Item = Candidate>,
    ) -> Option<Incarnation> {
        let is_late_binding = self.policy.is_late_binding();
        let eligible = candidates
            .into_iter()
            .filter(|candidate| !is_late_binding || candidate.free_count > 0);
        let last_chosen = self.last_chosen;
        let chosen = match self.policy {
            PlacementPolicy::Random | PlacementPolicy::LateBindingNoSpeed => {
                eligible.choose(&mut self.random)
            }
            PlacementPolicy::RoundRobin => eligible
                .min_by_key(|candidate| (candidate.sidecar <= last_chosen, candidate.sidecar)),
            PlacementPolicy::FewestOutstanding => {
                eligible.min_by_key(|candidate| (candidate.load_permille(), candidate.sidecar))
            }
            PlacementPolicy::LateBindingBySpeed => eligible.max_by_key(|candidate| {
                let speed_percent = candidate.assumed_speed_percent();
                (
                    speed_percent,
                    candidate.free_count,
                    Reverse(candidate.sidecar),
                )
            }),
        };
        let sidecar = chosen?.sidecar;
        self.last_chosen = sidecar;
        Some(sidecar)
    }
}
