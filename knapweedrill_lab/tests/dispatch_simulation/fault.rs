/// A fault of a node or a minion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// The node neither sends nor receives datagrams.
    Isolate,
    /// The process on the node does not run, as under SIGSTOP.
    Freeze,
    /// The process on the node is killed and started again later.
    Kill,
    /// The minion loses its runs and starts anew.
    MinionCrash,
    MinionDrain,
}
