//! Generation of a daemon's settings file.

use std::fmt::Write as _;
use std::net::SocketAddr;

use knapweedrill::common::{ProcessName, ServiceName};
use knapweedrill::entry::PlacementPolicy;
use knapweedrill::failure_domain::FailureDomainName;
use knapweedrill::worker::WorkerName;

use crate::load::policy_name;

const DEFAULT_FAILURE_DOMAIN: &str = "fd-1";
/// Number of tasks that may queue at a sidecar under early binding.
const EARLY_BINDING_PREFETCH_COUNT: u32 = 1_000;
const DEFAULT_WORKER: &str = "worker-1";

/// The role of a daemon and the settings that only this role has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DaemonRole {
    /// Accepts jobs from callers and reads the configuration from a log.
    Entry {
        /// The address of the log.
        log: SocketAddr,
    },
    /// Starts tasks at the minion beside it.
    Sidecar {
        /// The service that the minion offers.
        service: ServiceName,
    },
}

/// Settings of a daemon; a builder for its settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonSettings {
    name: ProcessName,
    role: DaemonRole,
    worker: WorkerName,
    failure_domain: FailureDomainName,
    http: SocketAddr,
    link: SocketAddr,
    link_advertised: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    placement: PlacementPolicy,
}

impl DaemonSettings {
    /// Creates settings for a daemon with its HTTP interface on `http` and its links on `link`.
    pub fn new(
        name: impl Into<ProcessName>,
        role: DaemonRole,
        http: SocketAddr,
        link: SocketAddr,
    ) -> Self {
        Self {
            name: name.into(),
            role,
            worker: DEFAULT_WORKER.into(),
            failure_domain: DEFAULT_FAILURE_DOMAIN.into(),
            http,
            link,
            link_advertised: None,
            seeds: Vec::new(),
            placement: PlacementPolicy::default(),
        }
    }

    /// Sets the worker that the daemon runs on.
    pub fn worker(mut self, worker: impl Into<WorkerName>) -> Self {
        self.worker = worker.into();
        self
    }

    /// Sets the failure domain of the worker.
    pub fn failure_domain(mut self, failure_domain: impl Into<FailureDomainName>) -> Self {
        self.failure_domain = failure_domain.into();
        self
    }

    /// Sets the link address that the daemon advertises, if it differs from the one it listens on.
    pub fn link_advertised(mut self, address: SocketAddr) -> Self {
        self.link_advertised = Some(address);
        self
    }

    /// Sets the link addresses of the entries through which the daemon discovers the others.
    pub fn seeds(mut self, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.seeds = seeds.into_iter().collect();
        self
    }

    /// Sets the placement policy.
    pub fn placement(mut self, placement: PlacementPolicy) -> Self {
        self.placement = placement;
        self
    }

    /// Returns the settings in INI format.
    pub fn to_ini(&self) -> String {
        let mut text = String::new();
        self.write_ini(&mut text)
            .expect("writing to a String does not fail");
        text
    }

    fn write_ini(&self, text: &mut String) -> std::fmt::Result {
        let role = match self.role {
            DaemonRole::Entry { .. } => "entry",
            DaemonRole::Sidecar { .. } => "sidecar",
        };
        writeln!(text, "[process]\nrole = {role}\nname = {}", self.name)?;
        writeln!(text, "worker = {}", self.worker)?;
        writeln!(text, "failure_domain = {}", self.failure_domain)?;
        writeln!(text, "[listen]\nhttp = {}\nlink = {}", self.http, self.link)?;
        if let Some(address) = self.link_advertised {
            writeln!(text, "link_advertised = {address}")?;
        }
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        writeln!(text, "[seeds]\nentries = {}", seeds.join(", "))?;
        match &self.role {
            DaemonRole::Entry { log } => writeln!(text, "[log]\naddress = {log}")?,
            DaemonRole::Sidecar { service } => writeln!(text, "[minion]\nservice = {service}")?,
        }
        self.write_policy(text)?;
        writeln!(text, "[logging]\nlevel = info\nformat = json")
    }

    /// Writes a non-default placement policy of an entry, and the prefetch limit of a sidecar under
    /// early binding, where tasks queue at the sidecars.
    fn write_policy(&self, text: &mut String) -> std::fmt::Result {
        match &self.role {
            DaemonRole::Entry { .. } if self.placement != PlacementPolicy::default() => {
                let placement = policy_name(self.placement);
                writeln!(text, "[policy]\nplacement = {placement}")
            }
            DaemonRole::Sidecar { .. } if !self.placement.is_late_binding() => {
                writeln!(
                    text,
                    "[limits]\nprefetch_count = {EARLY_BINDING_PREFETCH_COUNT}"
                )
            }
            DaemonRole::Entry { .. } | DaemonRole::Sidecar { .. } => Ok(()),
        }
    }
}
