/// A fault of a node or a minion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The node neither sends nor receives datagrams.
    Isolate,
    /// The process on the node does not run, as under SIGSTOP.
    Freeze,
    /// The process on the node is killed and started again later.
    Kill,
    /// The minion loses its runs and starts anew.
    MinionCrash,
    MinionDrain,
    /// The machine stands still, and its steady clock with it.
    Suspend,
    /// The callers of an entry lose their connections.
    DisconnectCallers,
    /// An entry freezes and its callers lose their connections.
    FreezeAndDisconnect,
    /// The machine of an entry is suspended and its callers lose their connections.
    SuspendAndDisconnect,
    /// A minion leaves starts and stops unanswered and carries them out seconds later.
    DelayOrders,
    /// An entry is killed, and most sidecars freeze shortly before they would stop its runs.
    KillThenFreezeSidecars,
}

impl Fault {
    /// All kinds of faults that may be drawn besides the usual ones.
    pub(crate) const ALL_EXTRA: [Self; 6] = [
        Self::Suspend,
        Self::DisconnectCallers,
        Self::FreezeAndDisconnect,
        Self::SuspendAndDisconnect,
        Self::DelayOrders,
        Self::KillThenFreezeSidecars,
    ];
}
