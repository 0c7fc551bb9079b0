//! Merges the events of all processes into a timeline.

use knapweedrill::common::{Incarnation, JobId, ProcessName};
use knapweedrill::event::{Event, EventKind};

/// Selects the events that a timeline shows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum TimelineFilter {
    /// All events.
    #[default]
    All,
    /// The events of one job and its tasks.
    Job(JobId),
    /// The events of the sidecar with this name, and those of other processes about it or its
    /// minion.
    Minion(ProcessName),
    /// Changes of the configuration and of the availability of the log.
    Configuration,
}

/// Merges the events of several processes in causal order and returns those that `filter` selects.
pub fn merge_events(
    events: impl IntoIterator<Item = Event>,
    filter: &TimelineFilter,
) -> Vec<Event> {
    let mut events: Vec<Event> = events.into_iter().collect();
    // The sort is stable, so events of one process with equal stamps keep their order.
    events.sort_by_key(|event| (event.at, event.incarnation));
    let sidecars = match filter {
        TimelineFilter::Minion(name) => incarnations_of_process(&events, name),
        _ => Vec::new(),
    };
    events.retain(|event| match filter {
        TimelineFilter::All => true,
        TimelineFilter::Job(job) => job_of(&event.kind) == Some(*job),
        TimelineFilter::Minion(_) => {
            sidecars.contains(&event.incarnation)
                || sidecar_of(&event.kind).is_some_and(|sidecar| sidecars.contains(&sidecar))
        }
        TimelineFilter::Configuration => is_about_configuration(&event.kind),
    });
    events
}

fn incarnations_of_process(events: &[Event], process: &str) -> Vec<Incarnation> {
    let mut incarnations: Vec<Incarnation> = events
        .iter()
        .filter(|event| event.process == process)
        .map(|event| event.incarnation)
        .collect();
    incarnations.dedup();
    incarnations
}

fn job_of(kind: &EventKind) -> Option<JobId> {
    match kind {
        EventKind::JobAccepted { job, .. }
        | EventKind::JobAttached { job }
        | EventKind::JobRelayed { job, .. }
        | EventKind::JobCompleted { job }
        | EventKind::JobFailed { job, .. }
        | EventKind::JobNotRun { job, .. }
        | EventKind::JobFenced { job, .. } => Some(*job),
        EventKind::TaskHandedOut { task, .. }
        | EventKind::TaskStarted { task, .. }
        | EventKind::TaskEnded { task, .. }
        | EventKind::TaskFenced { task, .. } => Some(task.job),
        _ => None,
    }
}

fn sidecar_of(kind: &EventKind) -> Option<Incarnation> {
    match kind {
        EventKind::TaskHandedOut { sidecar, .. }
        | EventKind::MinionChanged { sidecar, .. }
        | EventKind::MinionEjected { sidecar }
        | EventKind::MinionReadmitted { sidecar } => Some(*sidecar),
        EventKind::SessionOpened { peer, .. }
        | EventKind::SessionClosed { peer, .. }
        | EventKind::PeerFound { peer, .. }
        | EventKind::PeerLost { peer } => Some(*peer),
        _ => None,
    }
}

fn is_about_configuration(kind: &EventKind) -> bool {
    matches!(
        kind,
        EventKind::ConfigurationInForce { .. }
            | EventKind::ConfigurationRejected { .. }
            | EventKind::LogLost
            | EventKind::LogFound
    )
}
