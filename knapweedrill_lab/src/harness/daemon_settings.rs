//! The settings file of a daemon.

use std::fmt::Write as _;
use std::net::SocketAddr;

use knapweedrill::common::{ProcessName, ServiceName};
use knapweedrill::entry::PlacementPolicy;
use knapweedrill::failure_domain::FailureDomainName;
use knapweedrill::worker::WorkerName;

use crate::load::policy_name;

const DEFAULT_FAILURE_DOMAIN: &str = "fd-1";
/// How many tasks may queue at a sidecar under early binding.
const EARLY_PREFETCH_COUNT: u32 = 1_000;
const DEFAULT_WORKER: &str = "worker-1";

/// What a daemon is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DaemonRole {
    /// Takes callers' requests; reads the log at this address.
    Entry {
        /// The address of the log.
        log: SocketAddr,
    },
    /// Stands beside a minion of this service.
    Sidecar {
        /// The service.
        service: ServiceName,
    },
}

/// The settings of a daemon; a builder.
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
    /// Creates the settings of a daemon that listens on `http` and `link`.
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

    /// Sets the address at which others are told to reach the links.
    pub fn link_advertised(mut self, address: SocketAddr) -> Self {
        self.link_advertised = Some(address);
        self
    }

    /// Sets the link addresses of the entries that the daemon asks first.
    pub fn seeds(mut self, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.seeds = seeds.into_iter().collect();
        self
    }

    /// Sets how tasks are placed.
    pub fn placement(mut self, placement: PlacementPolicy) -> Self {
        self.placement = placement;
        self
    }

    /// Returns the text of the settings file.
    pub fn to_ini(&self) -> String {
        let mut text = String::new();
        self.write_ini(&mut text)
            .expect("a string takes any text written to it");
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

    /// Writes how tasks are placed, unless by default; under early binding they queue at the sidecars.
    fn write_policy(&self, text: &mut String) -> std::fmt::Result {
        match &self.role {
            DaemonRole::Entry { .. } if self.placement != PlacementPolicy::default() => {
                let placement = policy_name(self.placement);
                writeln!(text, "[policy]\nplacement = {placement}")
            }
            DaemonRole::Sidecar { .. } if !self.placement.is_late_binding() => {
                writeln!(text, "[limits]\nprefetch_count = {EARLY_PREFETCH_COUNT}")
            }
            DaemonRole::Entry { .. } | DaemonRole::Sidecar { .. } => Ok(()),
        }
    }
}
