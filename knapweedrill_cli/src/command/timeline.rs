//! The events of all processes in causal order.

use knapweedrill::common::{Incarnation, JobId, ProcessName};
use knapweedrill::event::{Event, EventKind};

/// Which events a time line shows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum TimelineFilter {
    /// All.
    #[default]
    All,
    /// Those of one job.
    Job(JobId),
    /// Those of the minion beside the sidecar of that name.
    Minion(ProcessName),
    /// Those of the configuration and the log.
    Configuration,
}

/// Merges the events of several processes in causal order and keeps those that the filter shows.
pub fn merge(events: impl IntoIterator<Item = Event>, filter: &TimelineFilter) -> Vec<Event> {
    let mut events: Vec<Event> = events.into_iter().collect();
    // Events of one process keep their order, since the sort is stable.
    events.sort_by_key(|event| (event.at, event.incarnation));
    let sidecars = match filter {
        TimelineFilter::Minion(name) => incarnations(&events, name),
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

fn incarnations(events: &[Event], name: &str) -> Vec<Incarnation> {
    let mut incarnations: Vec<Incarnation> = events
        .iter()
        .filter(|event| event.process == name)
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
