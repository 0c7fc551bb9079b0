//! The kinds of faults.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use super::SoakOptions;

/// A process, by its role and number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Target {
    Entry(u8),
    Sidecar(u8),
}

/// A fault; those of connections strike the ones that are open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trouble {
    /// The process is killed, and started again at the end.
    Kill(Target),
    /// The process is asked to stop, and started again at the end.
    Stop(Target),
    /// The process stands still.
    Freeze(Target),
    /// Datagrams from and to an entry are lost, doubled and reordered.
    DisturbDatagrams(u8),
    /// No datagram from or to an entry arrives.
    CutDatagrams(u8),
    /// No datagram that others send to an entry arrives.
    CutDatagramsOneWay(u8),
    /// Connections of a process to the store fall silent.
    SilenceStore(Target),
    /// A process can't reach the store.
    CutStore(Target),
    /// The store turns everybody down.
    StoreBusy,
    /// The store carries out and does not answer.
    StoreSilent,
    /// The store forgets what newer records of a key replace.
    CompactStore,
    /// A minion leaves orders unanswered, and carries some out later.
    LoseOrders(u8),
    /// A minion fails tasks.
    FailTasks(u8),
    /// A minion does not answer holds.
    MuteMinion(u8),
    /// Connections of a sidecar to its minion fall silent.
    SilenceMinion(u8),
    /// What a sidecar sends over its connections to its minion is swallowed.
    SilenceMinionOneWay(u8),
    /// A sidecar can't reach its minion.
    CutMinion(u8),
    /// Answers and requests between a sidecar and its minion are slow.
    SlowMinion(u8),
    /// Connections of callers to an entry are closed.
    CutCallers(u8),
    /// Connections of callers to an entry fall silent.
    SilenceCallers(u8),
    /// The operator writes a new configuration.
    Configure,
}

/// How slow a slow connection is.
pub(super) const SLOW: Duration = Duration::from_millis(25);

const KIND_COUNT: u32 = 21;

impl Trouble {
    /// Draws a fault.
    pub(super) fn draw(random: &mut StdRng, options: &SoakOptions) -> Self {
        let entry = random.random_range(0..options.entry_count);
        let minion = random.random_range(0..options.minion_count);
        let target = match random.random_range(0..3) {
            0 => Target::Entry(entry),
            _ => Target::Sidecar(minion),
        };
        match random.random_range(0..KIND_COUNT) {
            0 => Self::Kill(target),
            1 => Self::Stop(target),
            2 | 3 => Self::Freeze(target),
            4 => Self::DisturbDatagrams(entry),
            5 => Self::CutDatagrams(entry),
            6 => Self::CutDatagramsOneWay(entry),
            7 => Self::SilenceStore(target),
            8 => Self::CutStore(target),
            9 => Self::StoreBusy,
            10 => Self::StoreSilent,
            11 => Self::CompactStore,
            12 => Self::LoseOrders(minion),
            13 => Self::FailTasks(minion),
            14 => Self::MuteMinion(minion),
            15 => Self::SilenceMinion(minion),
            16 => Self::SilenceMinionOneWay(minion),
            17 => Self::CutMinion(minion),
            18 => Self::SlowMinion(minion),
            19 if random.random_bool(0.5) => Self::CutCallers(entry),
            19 => Self::SilenceCallers(entry),
            _ => Self::Configure,
        }
    }
}
