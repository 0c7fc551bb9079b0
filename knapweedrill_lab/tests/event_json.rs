//! Tests of the JSON form of events, in which the harness collects them from daemons.

use knapweedrill::common::HybridTime;
use knapweedrill::event::{Event, EventKind};
use knapweedrill::job::{Failure, TaskId};
use test_case::test_case;

#[test_case(EventKind::ProcessStarted; "without fields")]
#[test_case(
    EventKind::TaskStarted {
        task: TaskId { owner: u64::MAX, job: u128::MAX, index: 3 },
        attempt: 0,
    };
    "with a task"
)]
#[test_case(
    EventKind::JobFailed { job: u128::MAX, failure: Failure::TaskLost { index: 1 } };
    "with a failure"
)]
#[test_case(EventKind::ConfigurationInForce { version: 5 }; "with a version")]
fn an_event_round_trips_through_json(kind: EventKind) {
    let event = Event {
        at: HybridTime {
            wall_us: 1,
            logical_count: 2,
        },
        process: "entry-0".into(),
        incarnation: u64::MAX,
        kind,
    };
    let text = serde_json::to_string(&event).expect("an event has a JSON form");
    let read: Event = serde_json::from_str(&text).expect("the JSON form can be read back");
    assert_eq!(read, event);
}
