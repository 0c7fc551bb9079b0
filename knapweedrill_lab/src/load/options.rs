//! What to run.

use std::time::Duration;

use knapweedrill::entry::PlacementPolicy;
use knapweedrill_derive::value;

use super::Scenario;

const DEFAULT_DURATION: Duration = Duration::from_secs(15);

/// What to run; a builder.
#[value]
pub struct LoadOptions {
    pub(super) scenario: Scenario,
    pub(super) seed: u64,
    pub(super) policy: PlacementPolicy,
    pub(super) duration: Duration,
    pub(super) hint_sigma: f64,
}

impl LoadOptions {
    /// Creates a run of 15 s of a scenario under the default policy, with its own hints.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            scenario,
            seed,
            policy: PlacementPolicy::default(),
            duration: DEFAULT_DURATION,
            hint_sigma: scenario.hint_sigma(),
        }
    }

    /// Sets how tasks are placed.
    pub fn policy(mut self, policy: PlacementPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets for how long jobs arrive.
    pub fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Sets how far hints are off: the standard deviation of the logarithm of their error.
    pub fn hint_sigma(mut self, sigma: f64) -> Self {
        self.hint_sigma = sigma;
        self
    }
}

/// Returns the name of a policy, as in the settings of a daemon.
pub fn policy_name(policy: PlacementPolicy) -> &'static str {
    match policy {
        PlacementPolicy::Random => "random",
        PlacementPolicy::RoundRobin => "round-robin",
        PlacementPolicy::FewestOutstanding => "fewest-outstanding",
        PlacementPolicy::LateBindingNoSpeed => "late-binding",
        PlacementPolicy::LateBindingBySpeed => "late-binding-by-speed",
    }
}

/// Returns the policy of that name.
pub fn policy_named(name: &str) -> Option<PlacementPolicy> {
    let mut policies = PlacementPolicy::ALL.into_iter();
    policies.find(|policy| policy_name(*policy) == name)
}
