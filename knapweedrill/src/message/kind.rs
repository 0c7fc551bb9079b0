//! Kinds of messages, as traffic metrics distinguish them.

use knapweedrill_derive::key;

use super::Message;

/// The kind of a message on a link, as traffic metrics distinguish it.
#[key]
pub enum MessageKind {
    /// Starts tasks.
    Start,
    /// Reports the outcomes of tasks.
    Reports,
    /// Updates the demands without starting a task.
    Demands,
    /// Grants credits without reporting a task.
    Slots,
    /// Returns credits.
    ReturnCredit,
    /// Cancels a job.
    Cancel,
    /// Reconciles tasks in doubt or fences a job.
    Settle,
    /// Relays a caller's request or the response to it.
    Relay,
    /// Hands over retained keys.
    HandOver,
    /// Announces the sidecars that a roster digest denotes.
    Roster,
    /// Requests or carries a configuration.
    Configuration,
    /// Opens a session or keeps it alive.
    Session,
}

impl MessageKind {
    /// All kinds, in the order of their discriminants.
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

    /// Returns whether messages of this kind carry tasks, results or callers' requests.
    ///
    /// All other kinds count as control traffic.
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
            Self::Reconcile(_) | Self::Reconciled(_) | Self::Fence { .. } | Self::Fenced(_) => {
                MessageKind::Settle
            }
            Self::Relay(_) | Self::RelayResponse(_) => MessageKind::Relay,
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
