//! A sidecar process that starts beside a running minion, after all processes of the system were
//! killed: it takes tasks as soon as the recorded minion has answered, and never on the word of a
//! record alone.

use std::time::{Duration, Instant};

use knapweedrill::dispatch::message::{MinionAvailability, MinionProfile};
use knapweedrill::dispatch::sidecar::{
    HoldAnswer, HoldCall, HoldFailure, KnownMinion, MinionHeartbeat, Sidecar, SidecarAction,
    SidecarEndpoint, SidecarSettings, StoredRecord,
};
use knapweedrill::dispatch::{Resources, SidecarRecord};

const MS: Duration = Duration::from_millis(1);
const STARTED_UNIX_MS: u64 = 50;

struct Restart {
    now: Instant,
    sidecar: Sidecar,
}

impl Restart {
    /// Creates a sidecar process that has read the record of the one before.
    fn new() -> Self {
        let now = Instant::now();
        let mut sidecar = Sidecar::new(SidecarSettings::default(), 1);
        sidecar.entry_connected(7, now);
        let known = KnownMinion {
            profile: profile("minion", "recorded"),
            started_unix_ms: STARTED_UNIX_MS,
        };
        sidecar.restore_minion(known, now);
        Self { now, sidecar }
    }

    /// Lets a millisecond pass and returns the hold call that it brings, if it brings one.
    fn next_hold(&mut self) -> Option<HoldCall> {
        self.now += MS;
        self.sidecar.tick(self.now);
        let actions = self.sidecar.take_actions().into_iter();
        let mut holds = actions.filter_map(|action| match action {
            SidecarAction::Hold(call) => Some(call),
            _ => None,
        });
        holds.next()
    }

    fn answer_hold(&mut self, started_unix_ms: u64) {
        let call = self.next_hold().expect("the recorded minion is asked");
        let answer = HoldAnswer {
            clock_ms: 1_000,
            started_unix_ms,
            running: Vec::new(),
            ended: Vec::new(),
            malformed_ends: Vec::new(),
            has_more: false,
        };
        self.sidecar
            .hold_answered(call.call, Some(answer), self.now);
    }

    fn send_heartbeat(&mut self, instance: &str, started_unix_ms: u64) {
        let heartbeat = MinionHeartbeat {
            profile: profile(instance, "reported"),
            started_unix_ms,
            sequence: 9,
            is_draining: false,
        };
        self.sidecar.heartbeat_received(heartbeat, self.now);
    }

    fn availability(&self) -> MinionAvailability {
        self.sidecar.status().availability
    }

    fn label(&self) -> Option<&str> {
        Some(self.sidecar.minion()?.labels[0].as_str())
    }
}

fn profile(instance: &str, label: &str) -> MinionProfile {
    MinionProfile {
        instance: instance.into(),
        service: "service".into(),
        capacity: Resources {
            cpu_millicores: 1_000,
            memory_mib: 1_000,
            accelerator_count: 0,
        },
        labels: vec![label.into()],
        failure_domain: "zone-a".into(),
    }
}

#[test]
fn minion_takes_tasks_once_it_has_answered_and_before_its_next_heartbeat() {
    let mut restart = Restart::new();
    assert_eq!(restart.availability(), MinionAvailability::Unavailable);
    assert_eq!(restart.label(), None, "a record alone is not announced");
    restart.answer_hold(STARTED_UNIX_MS);
    assert_eq!(restart.availability(), MinionAvailability::Ready);
    assert_eq!(restart.label(), Some("recorded"));
    restart.send_heartbeat("minion", STARTED_UNIX_MS);
    assert_eq!(restart.availability(), MinionAvailability::Ready);
    assert_eq!(restart.label(), Some("reported"));
}

#[test]
fn minion_that_has_restarted_since_takes_no_tasks_before_its_heartbeat() {
    // Its next life may be of another kind, for which the recorded labels are wrong.
    for started_unix_ms in [STARTED_UNIX_MS + 1, STARTED_UNIX_MS - 1, 0] {
        let mut restart = Restart::new();
        restart.answer_hold(started_unix_ms);
        assert_eq!(restart.availability(), MinionAvailability::Unavailable);
        assert_eq!(restart.label(), None);
        restart.send_heartbeat("minion", started_unix_ms);
        restart.answer_hold(started_unix_ms);
        assert_eq!(restart.availability(), MinionAvailability::Ready);
        assert_eq!(restart.label(), Some("reported"));
    }
}

#[test]
fn another_instance_at_the_address_is_registered_by_its_first_heartbeat() {
    let failures = [
        HoldFailure::OtherIncarnation,
        HoldFailure::Refused,
        HoldFailure::NoAnswer,
    ];
    for failure in failures {
        let mut restart = Restart::new();
        let call = restart.next_hold().expect("the recorded minion is asked");
        restart.sidecar.hold_failed(call.call, failure, restart.now);
        assert_eq!(restart.availability(), MinionAvailability::Unavailable);
        restart.send_heartbeat("successor", STARTED_UNIX_MS + 900);
        restart.answer_hold(STARTED_UNIX_MS + 900);
        assert_eq!(restart.availability(), MinionAvailability::Ready);
        assert_eq!(restart.label(), Some("reported"));
        assert_eq!(restart.sidecar.status().crashes.count, 0);
    }
}

#[test]
fn minion_that_is_down_for_long_is_no_crash() {
    let mut restart = Restart::new();
    for _ in 0..2_000 {
        if let Some(call) = restart.next_hold() {
            restart
                .sidecar
                .hold_failed(call.call, HoldFailure::Refused, restart.now);
        }
    }
    assert_eq!(restart.availability(), MinionAvailability::Unavailable);
    assert_eq!(restart.sidecar.status().crashes.count, 0);
}

#[test]
fn record_that_is_read_after_the_first_heartbeat_changes_nothing() {
    let mut restart = Restart::new();
    restart.send_heartbeat("successor", STARTED_UNIX_MS + 900);
    restart.answer_hold(STARTED_UNIX_MS + 900);
    let known = KnownMinion {
        profile: profile("minion", "recorded"),
        started_unix_ms: STARTED_UNIX_MS,
    };
    restart.sidecar.restore_minion(known, restart.now);
    assert_eq!(restart.availability(), MinionAvailability::Ready);
    assert_eq!(restart.label(), Some("reported"));
}

#[test]
fn minion_that_leaves_before_it_has_answered_is_forgotten() {
    let mut restart = Restart::new();
    restart.sidecar.minion_left("minion", restart.now);
    assert!(restart.next_hold().is_none());
    assert_eq!(restart.availability(), MinionAvailability::Unavailable);
}

#[test]
fn stored_record_is_read_by_entries_and_by_the_next_process() {
    let sidecar = SidecarRecord {
        vm: "side-1".into(),
        address: "10.0.0.1:7720".parse().expect("the address is valid"),
        service: "service".into(),
        capacity: profile("minion", "a").capacity,
        labels: vec!["a".into()],
    };
    let stored = StoredRecord {
        sidecar: sidecar.clone(),
        instance: "minion".into(),
        failure_domain: "zone-a".into(),
        started_unix_ms: STARTED_UNIX_MS,
        is_draining: false,
    };
    let text = serde_json::to_string(&stored).expect("the record is encoded");
    let read: SidecarRecord = serde_json::from_str(&text).expect("entries read the record");
    assert_eq!(read, sidecar);
    let read: StoredRecord = serde_json::from_str(&text).expect("the next process reads it");
    let known = read.known_minion().expect("the minion is known");
    assert_eq!(known.profile, profile("minion", "a"));
    let draining = StoredRecord {
        is_draining: true,
        ..stored
    };
    assert_eq!(draining.known_minion(), None, "it must get no new tasks");
    // A record of an earlier version names no incarnation.
    let text = serde_json::to_string(&sidecar).expect("the record is encoded");
    let read: StoredRecord = serde_json::from_str(&text).expect("the record is read");
    assert_eq!(read.known_minion(), None);
}

#[test]
fn endpoint_stores_no_minion_that_has_not_answered() {
    let restart = Restart::new();
    let address = "10.0.0.1:7720".parse().expect("the address is valid");
    let identity = knapweedrill::dispatch::session::Identity {
        incarnation: 1,
        role: knapweedrill::dispatch::message::Role::Sidecar,
        started_at: restart.now,
    };
    let sessions = knapweedrill::dispatch::session::Sessions::new(identity, Default::default());
    let endpoint = SidecarEndpoint::new(restart.sidecar, sessions, "side-1".into(), address);
    assert_eq!(endpoint.stored_record(), None);
    assert_eq!(endpoint.sidecar_record(), None);
}
