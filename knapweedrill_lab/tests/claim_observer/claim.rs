use std::fmt::{Display, Formatter};

use knapweedrill::dispatch::message::{PlacementOutcome, RunEnd};

/// A claim that a placement is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Claim {
    /// A report of the sidecar.
    Reported(PlacementOutcome),
    /// The entry gave the placement up as lost, as its sidecar is silent or gone.
    Lost,
}

impl Claim {
    /// Returns the name of the kind, for counts by kind.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Self::Reported(PlacementOutcome::Refused(_)) => "refused",
            Self::Reported(PlacementOutcome::Ended { end, .. }) => match end {
                RunEnd::Done => "done",
                RunEnd::Failed => "failed",
                RunEnd::Stopped => "stopped",
                RunEnd::Lost => "lost",
                RunEnd::Crashed => "crashed",
                RunEnd::CrashedUnconfirmed => "crashed unconfirmed",
            },
            Self::Lost => "lost with its sidecar",
        }
    }
}

impl Display for Claim {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Reported(outcome) => write!(formatter, "reported as {outcome:?}"),
            Self::Lost => write!(formatter, "given up as lost by its entry"),
        }
    }
}
