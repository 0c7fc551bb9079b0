//! Events of several processes are merged in causal order.

use knapweedrill::common::HybridTime;
use knapweedrill::event::{Event, EventKind};
use knapweedrill_cli::command::{TimelineFilter, merge_events};

fn event(wall_us: u64, logical_count: u32, process: &str, kind: EventKind) -> Event {
    Event {
        at: HybridTime {
            wall_us,
            logical_count,
        },
        process: process.to_owned(),
        incarnation: process.len() as u64,
        kind,
    }
}

fn events() -> Vec<Event> {
    vec![
        event(5, 1, "entry", EventKind::JobCompleted { job: 1 }),
        event(
            5,
            0,
            "sidecar",
            EventKind::JobFenced {
                job: 2,
                may_have_started: false,
            },
        ),
        event(2, 0, "entry", EventKind::JobAttached { job: 1 }),
        event(
            3,
            0,
            "entry",
            EventKind::ConfigurationInForce { version: 7 },
        ),
        event(4, 0, "entry", EventKind::MinionEjected { sidecar: 7 }),
    ]
}

fn stamps(filter: &TimelineFilter) -> Vec<(u64, u32)> {
    let merged = merge_events(events(), filter);
    merged
        .iter()
        .map(|e| (e.at.wall_us, e.at.logical_count))
        .collect()
}

#[test]
fn events_are_in_causal_order() {
    assert_eq!(
        stamps(&TimelineFilter::All),
        [(2, 0), (3, 0), (4, 0), (5, 0), (5, 1)]
    );
}

#[test]
fn filter_selects_events_of_a_job_the_configuration_or_a_minion() {
    assert_eq!(stamps(&TimelineFilter::Job(1)), [(2, 0), (5, 1)]);
    assert_eq!(stamps(&TimelineFilter::Configuration), [(3, 0)]);
    let minion = TimelineFilter::Minion("sidecar".to_owned());
    assert_eq!(stamps(&minion), [(4, 0), (5, 0)]);
}
