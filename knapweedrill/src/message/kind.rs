//! The kinds of messages, by which traffic is counted.

use knapweedrill_derive::key;

use super::Message;

/// The kind of a message on a link.
#[key]
pub enum MessageKind {
    /// Starts tasks.
    Start,
    /// Reports tasks.
    Reports,
    /// Tells what waits, without a task to carry it.
    Demands,
    /// Grants credits, without a report to carry them.
    Slots,
    /// Returns credits.
    ReturnCredit,
    /// Cancels a job.
    Cancel,
    /// Settles tasks in doubt or fences a job.
    Settle,
    /// Passes a caller's request or its answer on.
    Relay,
    /// Hands kept keys over.
    HandOver,
    /// Tells a roster.
    Roster,
    /// Asks for a configuration or carries one.
    Configuration,
    /// Opens a session or keeps it.
    Session,
}

impl MessageKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 12] = [
        Self::Start,
        Self::Reports,
        Self::Demands,
        Self::Slots,
        Self::ReturnCredit,
        Self::Cancel,
        Self::Settle,
        Self::Relay,
        Self::HandOver,
        Self::Roster,
        Self::Configuration,
        Self::Session,
    ];

    /// Returns whether messages of the kind carry tasks, results or callers' requests.
    ///
    /// Everything else is control traffic.
    pub fn is_task_traffic(self) -> bool {
        matches!(
            self,
            Self::Start | Self::Reports | Self::Cancel | Self::Relay
        )
    }
}

impl Message {
    /// Returns the kind of the message.
    pub fn kind(&self) -> MessageKind {
        match self {
            Self::Start { .. } => MessageKind::Start,
            Self::Reports { .. } => MessageKind::Reports,
            Self::Demands(_) => MessageKind::Demands,
            Self::Slots { .. } => MessageKind::Slots,
            Self::ReturnCredit(_) => MessageKind::ReturnCredit,
            Self::Cancel(_) => MessageKind::Cancel,
            Self::Reconcile(_) | Self::Verdicts(_) | Self::Fence { .. } | Self::Fenced(_) => {
                MessageKind::Settle
            }
            Self::Relay(_) | Self::RelayAnswer(_) => MessageKind::Relay,
            Self::HandOver(_) | Self::HandOverTaken { .. } | Self::AnswersFor { .. } => {
                MessageKind::HandOver
            }
            Self::Roster(_) => MessageKind::Roster,
            Self::ConfigurationPull { .. } | Self::ConfigurationPush { .. } => {
                MessageKind::Configuration
            }
            Self::Hello(_) | Self::Ping | Self::Pong => MessageKind::Session,
        }
    }
}
