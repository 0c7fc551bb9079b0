//! Builder for a cluster of processes.

use knapweedrill::common::ServiceName;
use knapweedrill::entry::PlacementPolicy;

const DEFAULT_SERVICE: &str = "embossing";
const DEFAULT_ENTRY_COUNT: usize = 2;
const DEFAULT_FAILURE_DOMAIN_COUNT: usize = 3;
const DEFAULT_RETENTION_RECORDS: usize = 100_000;

/// A configuration with one service, a normal and an urgent kind of work, and two teams.
pub const DEFAULT_CONFIGURATION: &str = "\
[service embossing]
ejected_max_percent = 50
[kind proof]
service = embossing
class = normal
idempotent = true
deadline_ms = 30000
[kind release]
service = embossing
class = urgent
idempotent = false
deadline_ms = 30000
[team tin-a]
share_percent = 25
cap_percent = 100
[team tin-b]
share_percent = 25
cap_percent = 100
[limits]
tasks_per_job = 1000
queued_tasks = 100000
";

/// Properties of a minion of a cluster; a builder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MinionSpec {
    pub(super) service: ServiceName,
    pub(super) slot_count: u32,
    pub(super) speed_percent: u32,
    pub(super) failure_domain: Option<usize>,
}

impl MinionSpec {
    /// Creates a minion of the service `embossing` with 8 slots and a speed of 100 %.
    pub fn new() -> Self {
        Self {
            service: DEFAULT_SERVICE.into(),
            slot_count: 8,
            speed_percent: 100,
            failure_domain: None,
        }
    }

    /// Sets the service that the minion offers.
    pub fn service(mut self, service: impl Into<ServiceName>) -> Self {
        self.service = service.into();
        self
    }

    /// Sets the number of tasks that the minion runs concurrently.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slot_count = slots;
        self
    }

    /// Sets the speed in percent; at 200, tasks take half of their nominal run time.
    pub fn speed_percent(mut self, speed_percent: u32) -> Self {
        self.speed_percent = speed_percent;
        self
    }

    /// Sets the number of the failure domain, which is assigned round-robin by default.
    pub fn failure_domain(mut self, number: usize) -> Self {
        self.failure_domain = Some(number);
        self
    }
}

impl Default for MinionSpec {
    fn default() -> Self {
        Self::new()
    }
}

/// Builder for a [`Cluster`](super::Cluster).
#[derive(Debug, Clone)]
pub struct ClusterBuilder {
    pub(super) entry_count: usize,
    pub(super) minions: Vec<MinionSpec>,
    pub(super) failure_domain_count: usize,
    pub(super) retention_records: usize,
    pub(super) configuration: Option<String>,
    pub(super) placement: PlacementPolicy,
    pub(super) has_proxies: bool,
}

impl ClusterBuilder {
    /// Creates a builder with two entries, no minions and three failure domains.
    pub fn new() -> Self {
        Self {
            entry_count: DEFAULT_ENTRY_COUNT,
            minions: Vec::new(),
            failure_domain_count: DEFAULT_FAILURE_DOMAIN_COUNT,
            retention_records: DEFAULT_RETENTION_RECORDS,
            configuration: Some(DEFAULT_CONFIGURATION.to_owned()),
            placement: PlacementPolicy::default(),
            has_proxies: false,
        }
    }

    /// Sets the number of entries.
    pub fn entries(mut self, count: usize) -> Self {
        self.entry_count = count;
        self
    }

    /// Adds a minion.
    pub fn minion(mut self, minion: MinionSpec) -> Self {
        self.minions.push(minion);
        self
    }

    /// Adds `count` minions with the same properties.
    pub fn minions(mut self, count: usize, minion: &MinionSpec) -> Self {
        self.minions
            .extend(std::iter::repeat_n(minion.clone(), count));
        self
    }

    /// Sets the number of failure domains; daemons are assigned to them round-robin.
    ///
    /// # Panics
    ///
    /// Panics if `count` is 0.
    pub fn failure_domains(mut self, count: usize) -> Self {
        assert!(count > 0, "a cluster needs at least one failure domain");
        self.failure_domain_count = count;
        self
    }

    /// Puts proxies in front of the links of all daemons and in front of the minions.
    pub fn proxies(mut self) -> Self {
        self.has_proxies = true;
        self
    }

    /// Sets how many records the log retains.
    pub fn retention_records(mut self, count: usize) -> Self {
        self.retention_records = count;
        self
    }

    /// Sets the configuration that is applied when the cluster starts.
    pub fn configuration(mut self, text: impl Into<String>) -> Self {
        self.configuration = Some(text.into());
        self
    }

    /// Sets the placement policy of the entries.
    pub fn placement(mut self, placement: PlacementPolicy) -> Self {
        self.placement = placement;
        self
    }

    /// Starts the cluster without a configuration and without waiting for processes to be ready.
    pub fn without_configuration(mut self) -> Self {
        self.configuration = None;
        self
    }
}

impl Default for ClusterBuilder {
    fn default() -> Self {
        Self::new()
    }
}
