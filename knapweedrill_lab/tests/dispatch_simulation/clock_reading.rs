/// How often a simulated sidecar reads its clock. Entries read it for each event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum ClockReading {
    /// Before it handles each event.
    #[default]
    PerEvent,
    /// Once before it handles all events that have arrived by then or arrive meanwhile.
    PerBatch,
}
