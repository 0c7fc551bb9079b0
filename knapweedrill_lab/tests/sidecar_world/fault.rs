/// A fault that is drawn at random.
#[derive(Debug, Clone, Copy)]
pub(super) enum Fault {
    FreezeSidecar,
    KillSidecar,
    CrashMinion,
    /// The minion restarts under its name within a few milliseconds.
    RestartMinion,
    SilenceEntry,
    DisconnectEntry,
    StopAll,
    /// Orders and holds are carried out late.
    DelayCalls,
    /// Answers are lost.
    LoseAnswers,
    /// Answers take up to 30 ms.
    SlowAnswers,
    /// The next order, stop or hold crashes the minion.
    CrashAtNextCall,
    /// The minion drains and deregisters, and ends up to seconds later with what it still runs.
    Leave,
    /// Starts and stops are carried out seconds late and without an answer, holds as usual.
    DelayOrders,
    /// Another instance sends a heartbeat with a later start.
    ForeignHeartbeat,
}

impl Fault {
    /// The faults of worlds in which minions return under their names.
    pub(super) const USUAL: [Self; 12] = [
        Self::FreezeSidecar,
        Self::KillSidecar,
        Self::CrashMinion,
        Self::RestartMinion,
        Self::SilenceEntry,
        Self::DisconnectEntry,
        Self::StopAll,
        Self::DelayCalls,
        Self::LoseAnswers,
        Self::SlowAnswers,
        Self::CrashAtNextCall,
        Self::ForeignHeartbeat,
    ];

    /// The faults of worlds in which minions leave and return under other names.
    pub(super) const WITH_LEAVES: [Self; 14] = [
        Self::FreezeSidecar,
        Self::KillSidecar,
        Self::CrashMinion,
        Self::RestartMinion,
        Self::SilenceEntry,
        Self::DisconnectEntry,
        Self::StopAll,
        Self::DelayCalls,
        Self::LoseAnswers,
        Self::SlowAnswers,
        Self::CrashAtNextCall,
        Self::Leave,
        Self::DelayOrders,
        Self::ForeignHeartbeat,
    ];
}
