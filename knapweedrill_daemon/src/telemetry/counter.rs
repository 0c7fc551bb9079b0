//! The counters of a process.

macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $variant:ident = $name:literal,)+) => {
        /// What a process counts; every counter only rises.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Counter {
            $($(#[doc = $doc])+ $variant,)+
        }

        impl Counter {
            /// All counters.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// Returns the name under which the counter is published.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

counters! {
    /// Jobs that this entry accepted as their owner.
    JobsAccepted = "jobs.accepted",
    /// Resubmissions that attached to a job.
    JobsAttached = "jobs.attached",
    /// Requests that were passed on to the owner of the job.
    JobsRelayed = "jobs.relayed",
    /// Jobs that ended complete.
    JobsCompleted = "jobs.completed",
    /// Jobs that ended failed.
    JobsFailed = "jobs.failed",
    /// Jobs that were not run.
    JobsNotRun = "jobs.not_run",
    /// Jobs that a client cancelled.
    JobsCancelled = "jobs.cancelled",
    /// Requests refused since the queues were full or the wait too long.
    AdmissionRefused = "admission.refused",

    /// Tasks that were handed to a sidecar.
    TasksHandedOut = "tasks.handed_out",
    /// Tasks that were started on a minion.
    TasksStarted = "tasks.started",
    /// Tasks that returned a result.
    TasksDone = "tasks.done",
    /// Tasks that ended in a failure.
    TasksFailed = "tasks.failed",
    /// Attempts that a sidecar refused and fenced.
    TasksFenced = "tasks.fenced",
    /// Starts of tasks that had been started before; refused.
    StartsRefused = "tasks.starts_refused",
    /// Jobs that a sidecar was asked to start nothing more of.
    JobsFenced = "jobs.fenced",
    /// Credits that no task was waiting for.
    CreditsReturned = "credits.returned",
    /// Messages that a process of the sender's role does not send.
    MessagesUnexpected = "messages.unexpected",
    /// Results that came too late or belonged to no task in flight.
    ResultsDropped = "tasks.results_dropped",

    /// Control messages that were sent.
    ControlMessagesSent = "control.messages_sent",
    /// Bytes of control messages that were sent.
    ControlBytesSent = "control.bytes_sent",
    /// Control messages that were received.
    ControlMessagesReceived = "control.messages_received",
    /// Bytes of control messages that were received.
    ControlBytesReceived = "control.bytes_received",
    /// Messages that carried tasks or results and were sent.
    TaskMessagesSent = "task_traffic.messages_sent",
    /// Bytes of messages that carried tasks or results and were sent.
    TaskBytesSent = "task_traffic.bytes_sent",
    /// Messages that carried tasks or results and were received.
    TaskMessagesReceived = "task_traffic.messages_received",
    /// Bytes of messages that carried tasks or results and were received.
    TaskBytesReceived = "task_traffic.bytes_received",
    /// Messages sent that start tasks.
    StartMessages = "messages.start",
    /// Messages sent that report tasks.
    ReportsMessages = "messages.reports",
    /// Messages sent that tell what waits, without a task to carry it.
    DemandsMessages = "messages.demands",
    /// Messages sent that grant credits, without a report to carry them.
    SlotsMessages = "messages.slots",
    /// Messages sent that return credits.
    ReturnCreditMessages = "messages.return_credit",
    /// Messages sent that cancel jobs.
    CancelMessages = "messages.cancel",
    /// Messages sent that settle tasks in doubt and fence jobs.
    SettleMessages = "messages.settle",
    /// Messages sent that pass callers' requests and answers on.
    RelayMessages = "messages.relay",
    /// Messages sent that hand kept keys over.
    HandOverMessages = "messages.hand_over",
    /// Messages sent that tell rosters.
    RosterMessages = "messages.roster",
    /// Messages sent that ask for configurations or carry them.
    ConfigurationMessages = "messages.configuration",
    /// Messages sent that open sessions and keep them.
    SessionMessages = "messages.session",
    /// Bytes sent in messages that start tasks.
    StartBytes = "bytes.start",
    /// Bytes sent in messages that report tasks.
    ReportsBytes = "bytes.reports",
    /// Bytes sent in messages that tell what waits, without a task to carry it.
    DemandsBytes = "bytes.demands",
    /// Bytes sent in messages that grant credits, without a report to carry them.
    SlotsBytes = "bytes.slots",
    /// Bytes sent in messages that return credits.
    ReturnCreditBytes = "bytes.return_credit",
    /// Bytes sent in messages that cancel jobs.
    CancelBytes = "bytes.cancel",
    /// Bytes sent in messages that settle tasks in doubt and fence jobs.
    SettleBytes = "bytes.settle",
    /// Bytes sent in messages that pass callers' requests and answers on.
    RelayBytes = "bytes.relay",
    /// Bytes sent in messages that hand kept keys over.
    HandOverBytes = "bytes.hand_over",
    /// Bytes sent in messages that tell rosters.
    RosterBytes = "bytes.roster",
    /// Bytes sent in messages that ask for configurations or carry them.
    ConfigurationBytes = "bytes.configuration",
    /// Bytes sent in messages that open sessions and keep them.
    SessionBytes = "bytes.session",
    /// Heartbeats that were sent.
    DatagramsSent = "datagrams.sent",
    /// Bytes of heartbeats that were sent.
    DatagramBytesSent = "datagrams.bytes_sent",
    /// Heartbeats that were received.
    DatagramsReceived = "datagrams.received",
    /// Bytes of heartbeats of entries that were received.
    EntryDatagramBytesReceived = "datagrams.entry_bytes_received",
    /// Bytes of heartbeats of sidecars that were received.
    SidecarDatagramBytesReceived = "datagrams.sidecar_bytes_received",
    /// Messages that had no effect: bounced starts and returned credits.
    MessagesWasted = "messages.wasted",

    /// Link sessions that opened.
    SessionsOpened = "link.sessions_opened",
    /// Link sessions that closed or were fenced.
    SessionsClosed = "link.sessions_closed",
    /// Connections that were replaced since they had gone silent.
    ConnectionsSilent = "link.connections_silent",
    /// Frames that were dropped since their session was fenced.
    FramesFenced = "link.frames_fenced",
    /// Frames that could not be decoded.
    FramesMalformed = "link.frames_malformed",
    /// Inbound connections that were refused since there were too many.
    ConnectionsRefused = "link.connections_refused",
    /// Datagrams that could not be decoded.
    DatagramsMalformed = "membership.datagrams_malformed",
    /// Datagrams that were older than what had been received.
    DatagramsStale = "membership.datagrams_stale",

    /// Minions that were ejected for their failures.
    MinionsEjected = "minions.ejected",
    /// Ejected minions that were readmitted.
    MinionsReadmitted = "minions.readmitted",

    /// Appends to the log of the platform.
    LogAppends = "log.appends",
    /// Calls to the log of the platform that failed.
    LogErrors = "log.errors",
    /// Configurations that came into force.
    ConfigurationsInForce = "configuration.in_force",
    /// Records of the log that were void.
    ConfigurationsRejected = "configuration.rejected",

    /// HTTP requests that were received.
    HttpRequests = "http.requests",
    /// HTTP requests that were refused since too many were in flight.
    HttpOverloaded = "http.overloaded",
    /// HTTP requests that were refused as malformed, oversized or too slow.
    HttpRefused = "http.refused",
    /// HTTP accept loops that were replaced.
    HttpRestarts = "http.restarts",
}
