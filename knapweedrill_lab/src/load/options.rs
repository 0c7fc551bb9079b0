//! The options of a load run.

use std::time::Duration;

use knapweedrill::entry::PlacementPolicy;
use knapweedrill_derive::value;

use super::Scenario;

const DEFAULT_DURATION: Duration = Duration::from_secs(15);

/// The options of a load run, as a builder.
#[value]
pub struct LoadOptions {
    pub(super) scenario: Scenario,
    pub(super) seed: u64,
    pub(super) policy: PlacementPolicy,
    pub(super) duration: Duration,
    pub(super) hint_sigma: f64,
}

impl LoadOptions {
    /// Creates the options of a 15 s run under the default policy.
    ///
    /// The error of the run-time hints is the scenario's own.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            scenario,
            seed,
            policy: PlacementPolicy::default(),
            duration: DEFAULT_DURATION,
            hint_sigma: scenario.hint_sigma(),
        }
    }

    /// Sets the placement policy.
    pub fn policy(mut self, policy: PlacementPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the time during which jobs arrive.
    pub fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Sets the error of the run-time hints, as the standard deviation of the natural logarithm
    /// of hint over run time.
    pub fn hint_sigma(mut self, sigma: f64) -> Self {
        self.hint_sigma = sigma;
        self
    }
}

/// Returns the name of a policy, as it is written in the settings of a daemon.
pub fn policy_name(policy: PlacementPolicy) -> &'static str {
    match policy {
        PlacementPolicy::Random => "random",
        PlacementPolicy::RoundRobin => "round-robin",
        PlacementPolicy::FewestOutstanding => "fewest-outstanding",
        PlacementPolicy::LateBindingNoSpeed => "late-binding",
        PlacementPolicy::LateBindingBySpeed => "late-binding-by-speed",
    }
}

/// Returns the policy of a name, or `None` if there is none.
pub fn policy_from_name(name: &str) -> Option<PlacementPolicy> {
    let mut policies = PlacementPolicy::ALL.into_iter();
    policies.find(|policy| policy_name(*policy) == name)
}
