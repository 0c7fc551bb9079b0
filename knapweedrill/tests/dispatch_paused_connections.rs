//! Requests that reach an entry after it has stood still.

use std::time::{Duration, Instant};

use knapweedrill::dispatch::JobName;
use knapweedrill::dispatch::entry::{
    Answer, Entry, EntryAction, EntrySettings, Pause, RefusalReason,
};
use knapweedrill::dispatch::message::Role;
use knapweedrill::dispatch::session::{Identity, SessionSettings, Sessions};
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);
const JOB: JobName = JobName(1);

/// Returns an entry that has just woken up after a pause.
fn woken_entry(pause: Duration, now: Instant) -> Entry {
    let own = Identity {
        incarnation: 1,
        role: Role::Entry,
        started_at: now,
    };
    let sessions = Sessions::new(own, SessionSettings::default());
    let mut entry = Entry::new(EntrySettings::default(), sessions);
    let pause = Pause {
        duration: pause,
        suspended: Duration::ZERO,
    };
    entry.handle_pause(pause, now);
    entry
}

/// Guards against two runs of a task: a request that was sent while its entry stood still arrives
/// some time after the entry has woken up, and the end of its connection later still, while the
/// caller is back at another entry.
#[test_case(0, 300, true; "on a connection from before the pause")]
#[test_case(3_250, 300, true; "on a connection that waited to be accepted")]
#[test_case(0, 3_050, true; "after a long retransmission delay")]
#[test_case(3_350, 300, false; "on a new connection")]
#[test_case(0, 3_150, false; "after the longest retransmission delay")]
fn request_that_may_have_been_sent_during_a_pause_is_refused(
    accepted_at_ms: u32,
    arrived_after_ms: u32,
    is_refused: bool,
) {
    let started_at = Instant::now();
    let pause = 3_100 * MS;
    let woken_at = started_at + pause;
    let mut entry = woken_entry(pause, woken_at);
    let accepted_at = started_at + accepted_at_ms * MS;
    let now = woken_at + arrived_after_ms * MS;
    assert_eq!(entry.refuse_paused(7, JOB, accepted_at, now), is_refused);
    let refusals = entry.take_actions().into_iter().filter(|action| {
        let EntryAction::Answer { caller, answer, .. } = action else {
            return false;
        };
        let reason = RefusalReason::StoodStill;
        *caller == 7 && matches!(answer, Answer::Refused { reason: given, .. } if *given == reason)
    });
    assert_eq!(refusals.count(), usize::from(is_refused));
}

/// Guards against refusals after pauses so short that no caller can be back elsewhere.
#[test]
fn request_after_a_short_pause_is_not_refused() {
    let started_at = Instant::now();
    let woken_at = started_at + 500 * MS;
    let mut entry = woken_entry(500 * MS, woken_at);
    assert!(!entry.refuse_paused(7, JOB, started_at, woken_at + MS));
    assert_eq!(entry.take_actions(), []);
}
