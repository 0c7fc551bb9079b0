use knapweedrill::dispatch::sidecar::RunKey;

/// Why a claim that a placement is over is false.
#[derive(Debug, Clone, Copy)]
pub(super) enum Contradiction {
    /// Its minion runs it.
    Running {
        run: RunKey,
        started_ms: u64,
        order_sent_ms: u64,
    },
    /// An order on its way would start it.
    Startable {
        run: RunKey,
        execute_at_ms: u64,
        order_sent_ms: u64,
    },
}

impl Contradiction {
    pub(super) fn order_sent_ms(&self) -> u64 {
        match self {
            Self::Running { order_sent_ms, .. } | Self::Startable { order_sent_ms, .. } => {
                *order_sent_ms
            }
        }
    }
}
