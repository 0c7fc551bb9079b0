/// The clock that the simulated processes read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum ProcessClock {
    /// A clock that stands still while the machine is suspended, like `Instant::now`.
    Steady,
    /// A clock that goes on while the machine is suspended, like that of the daemon.
    #[default]
    CountsSuspension,
}
