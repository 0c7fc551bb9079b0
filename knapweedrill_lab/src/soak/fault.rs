//! The kinds of faults that a soak test injects.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use super::SoakOptions;

/// A process under test, by its role and index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Target {
    Entry(u8),
    Sidecar(u8),
}

/// A fault. A black hole affects only the connections that are open when it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// The process is killed, and restarted at the end.
    Kill(Target),
    /// The process is terminated gracefully, and restarted at the end.
    Stop(Target),
    /// The process is suspended.
    Freeze(Target),
    /// Some datagrams from and to an entry are dropped, duplicated or reordered.
    DegradeDatagrams(u8),
    /// All datagrams from and to an entry are dropped.
    DropDatagrams(u8),
    /// All datagrams to an entry are dropped.
    DropInboundDatagrams(u8),
    /// The connections of a process to the store become black holes.
    BlackholeStore(Target),
    /// The connections of a process to the store are closed, and so are new ones.
    DisconnectStore(Target),
    /// The store rejects all requests.
    StoreUnavailable,
    /// The store does not respond to requests.
    StoreUnresponsive,
    /// The store compacts its records to the newest one of each key.
    CompactStore,
    /// A minion loses responses to orders, and carries out some start orders late.
    LoseOrderResponses(u8),
    /// A minion fails most tasks.
    FailTasks(u8),
    /// A minion does not respond to holds.
    IgnoreHolds(u8),
    /// The connections of a sidecar to its minion become black holes.
    BlackholeMinion(u8),
    /// The connections of a sidecar to its minion become black holes for requests only.
    BlackholeMinionRequests(u8),
    /// The connections of a sidecar to its minion are closed, and so are new ones.
    DisconnectMinion(u8),
    /// Requests and responses between a sidecar and its minion are delayed.
    SlowMinion(u8),
    /// The connections of callers to an entry are closed, and so are new ones.
    DisconnectCallers(u8),
    /// The connections of callers to an entry become black holes.
    BlackholeCallers(u8),
    /// The operator writes a new configuration.
    ChangeConfiguration,
}

/// The latency that a fault adds to a connection or to reordered datagrams.
pub(super) const ADDED_LATENCY: Duration = Duration::from_millis(25);

const KIND_COUNT: u32 = 21;

impl Fault {
    /// Returns a random fault.
    pub(super) fn random(rng: &mut StdRng, options: &SoakOptions) -> Self {
        let entry = rng.random_range(0..options.entry_count);
        let minion = rng.random_range(0..options.minion_count);
        let target = match rng.random_range(0..3) {
            0 => Target::Entry(entry),
            _ => Target::Sidecar(minion),
        };
        match rng.random_range(0..KIND_COUNT) {
            0 => Self::Kill(target),
            1 => Self::Stop(target),
            2 | 3 => Self::Freeze(target),
            4 => Self::DegradeDatagrams(entry),
            5 => Self::DropDatagrams(entry),
            6 => Self::DropInboundDatagrams(entry),
            7 => Self::BlackholeStore(target),
            8 => Self::DisconnectStore(target),
            9 => Self::StoreUnavailable,
            10 => Self::StoreUnresponsive,
            11 => Self::CompactStore,
            12 => Self::LoseOrderResponses(minion),
            13 => Self::FailTasks(minion),
            14 => Self::IgnoreHolds(minion),
            15 => Self::BlackholeMinion(minion),
            16 => Self::BlackholeMinionRequests(minion),
            17 => Self::DisconnectMinion(minion),
            18 => Self::SlowMinion(minion),
            19 if rng.random_bool(0.5) => Self::DisconnectCallers(entry),
            19 => Self::BlackholeCallers(entry),
            _ => Self::ChangeConfiguration,
        }
    }
}
