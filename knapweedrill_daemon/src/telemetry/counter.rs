//! The counters that a process publishes.

macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $variant:ident = $name:literal,)+) => {
        /// A monotonic count since the start of the process.
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
    /// Submissions that attached to a job in flight with the same idempotency key.
    JobsAttached = "jobs.attached",
    /// Requests relayed to the owner of the job.
    JobsRelayed = "jobs.relayed",
    /// Jobs that completed.
    JobsCompleted = "jobs.completed",
    /// Jobs that failed.
    JobsFailed = "jobs.failed",
    /// Jobs that ended without being run.
    JobsNotRun = "jobs.not_run",
    /// Jobs that a client cancelled.
    JobsCancelled = "jobs.cancelled",
    /// Requests rejected by admission control: queue full or estimated wait too long.
    AdmissionRefused = "admission.refused",

    /// Tasks sent to a sidecar.
    TasksHandedOut = "tasks.handed_out",
    /// Tasks started on a minion.
    TasksStarted = "tasks.started",
    /// Tasks that returned a result.
    TasksDone = "tasks.done",
    /// Tasks that ended in a failure.
    TasksFailed = "tasks.failed",
    /// Attempts that a sidecar refused and fenced, so that they can't start later.
    TasksFenced = "tasks.fenced",
    /// Starts refused because the task had been started before.
    StartsRefused = "tasks.starts_refused",
    /// Jobs that were fenced at a sidecar, which starts no more tasks of them.
    JobsFenced = "jobs.fenced",
    /// Credits returned because no task was waiting for them.
    CreditsReturned = "credits.returned",
    /// Messages of a kind that is not valid for the sender's role.
    MessagesUnexpected = "messages.unexpected",
    /// Task reports dropped because they came too late or match no task in flight.
    ResultsDropped = "tasks.results_dropped",

    /// Control messages sent.
    ControlMessagesSent = "control.messages_sent",
    /// Bytes of control messages sent.
    ControlBytesSent = "control.bytes_sent",
    /// Control messages received.
    ControlMessagesReceived = "control.messages_received",
    /// Bytes of control messages received.
    ControlBytesReceived = "control.bytes_received",
    /// Task traffic messages sent: tasks, results and callers' requests.
    TaskMessagesSent = "task_traffic.messages_sent",
    /// Bytes of task traffic sent.
    TaskBytesSent = "task_traffic.bytes_sent",
    /// Task traffic messages received: tasks, results and callers' requests.
    TaskMessagesReceived = "task_traffic.messages_received",
    /// Bytes of task traffic received.
    TaskBytesReceived = "task_traffic.bytes_received",
    /// Messages sent that start tasks.
    StartMessages = "messages.start",
    /// Messages sent that report tasks.
    ReportsMessages = "messages.reports",
    /// Messages sent that report demand and aren't piggybacked on a start.
    DemandsMessages = "messages.demands",
    /// Messages sent that grant credits and aren't piggybacked on a report.
    SlotsMessages = "messages.slots",
    /// Messages sent that return credits.
    ReturnCreditMessages = "messages.return_credit",
    /// Messages sent that cancel jobs.
    CancelMessages = "messages.cancel",
    /// Messages sent that resolve tasks whose state is unknown, or fence jobs.
    SettleMessages = "messages.settle",
    /// Messages sent that relay callers' requests and answers.
    RelayMessages = "messages.relay",
    /// Messages sent that hand kept idempotency keys over to another entry.
    HandOverMessages = "messages.hand_over",
    /// Messages sent that carry rosters.
    RosterMessages = "messages.roster",
    /// Messages sent that request or carry configurations.
    ConfigurationMessages = "messages.configuration",
    /// Messages sent that open sessions or keep them alive.
    SessionMessages = "messages.session",
    /// Bytes sent in messages that start tasks.
    StartBytes = "bytes.start",
    /// Bytes sent in messages that report tasks.
    ReportsBytes = "bytes.reports",
    /// Bytes sent in messages that report demand and aren't piggybacked on a start.
    DemandsBytes = "bytes.demands",
    /// Bytes sent in messages that grant credits and aren't piggybacked on a report.
    SlotsBytes = "bytes.slots",
    /// Bytes sent in messages that return credits.
    ReturnCreditBytes = "bytes.return_credit",
    /// Bytes sent in messages that cancel jobs.
    CancelBytes = "bytes.cancel",
    /// Bytes sent in messages that resolve tasks whose state is unknown, or fence jobs.
    SettleBytes = "bytes.settle",
    /// Bytes sent in messages that relay callers' requests and answers.
    RelayBytes = "bytes.relay",
    /// Bytes sent in messages that hand kept idempotency keys over to another entry.
    HandOverBytes = "bytes.hand_over",
    /// Bytes sent in messages that carry rosters.
    RosterBytes = "bytes.roster",
    /// Bytes sent in messages that request or carry configurations.
    ConfigurationBytes = "bytes.configuration",
    /// Bytes sent in messages that open sessions or keep them alive.
    SessionBytes = "bytes.session",
    /// Heartbeat datagrams sent.
    DatagramsSent = "datagrams.sent",
    /// Bytes of heartbeat datagrams sent.
    DatagramBytesSent = "datagrams.bytes_sent",
    /// Heartbeat datagrams received.
    DatagramsReceived = "datagrams.received",
    /// Bytes of heartbeat datagrams received from entries.
    EntryDatagramBytesReceived = "datagrams.entry_bytes_received",
    /// Bytes of heartbeat datagrams received from sidecars.
    SidecarDatagramBytesReceived = "datagrams.sidecar_bytes_received",
    /// Messages without effect: refused starts and returned credits.
    MessagesWasted = "messages.wasted",

    /// Link sessions opened.
    SessionsOpened = "link.sessions_opened",
    /// Link sessions closed or fenced.
    SessionsClosed = "link.sessions_closed",
    /// Connections replaced because nothing was received within the silence timeout.
    ConnectionsSilent = "link.connections_silent",
    /// Frames dropped because their session was fenced or closed.
    FramesFenced = "link.frames_fenced",
    /// Frames that failed to decode.
    FramesMalformed = "link.frames_malformed",
    /// Inbound link connections refused because the connection limit was reached.
    ConnectionsRefused = "link.connections_refused",
    /// Heartbeat datagrams that failed to decode.
    DatagramsMalformed = "membership.datagrams_malformed",
    /// Heartbeat datagrams dropped because a newer one had been received.
    DatagramsStale = "membership.datagrams_stale",

    /// Minions ejected by outlier detection because of their failures.
    MinionsEjected = "minions.ejected",
    /// Ejected minions that were readmitted.
    MinionsReadmitted = "minions.readmitted",

    /// Appends to the platform's log service.
    LogAppends = "log.appends",
    /// Failed calls to the platform's log service.
    LogErrors = "log.errors",
    /// Configurations that came into force.
    ConfigurationsInForce = "configuration.in_force",
    /// Configuration records that were rejected.
    ConfigurationsRejected = "configuration.rejected",

    /// HTTP requests received.
    HttpRequests = "http.requests",
    /// HTTP requests refused because too many were in flight.
    HttpOverloaded = "http.overloaded",
    /// HTTP requests refused because they were malformed, oversized or too slow.
    HttpRefused = "http.refused",
    /// Replacements of the HTTP accept loop by its watchdog.
    HttpRestarts = "http.restarts",
}
