//! Requests whose owner is unreachable are resolved by fencing the job at the sidecars.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::contract::{OwnerToken, roster_digest};
use knapweedrill::entry::{
    CallerRequest, CallerResponse, Entry, EntryAction, EntryEvent, EntrySettings, Requester,
};
use knapweedrill::job::{Failure, JobSpec, Refusal, TaskSpec};
use knapweedrill::message::{FenceReport, Message, Role, RosterNotice};
use knapweedrill::minion::{Announcement, MinionState};

const OWNER: u64 = 1;
const ENTRY: u64 = 2;
const SIDECARS: [u64; 2] = [11, 12];
const TIMEOUT: Duration = Duration::from_secs(2);

/// An entry that knows the roster of an unreachable owner and is connected to its sidecars.
struct TestEntry {
    entry: Entry,
    now: Instant,
    actions: Vec<EntryAction>,
}

impl TestEntry {
    fn new() -> Self {
        let now = Instant::now();
        let settings = EntrySettings::new()
            .owner_grace(TIMEOUT)
            .fence_timeout(TIMEOUT);
        let mut test_entry = Self {
            entry: Entry::new(ENTRY, settings, now),
            now,
            actions: Vec::new(),
        };
        for sidecar in SIDECARS {
            let announcement = announcement(sidecar);
            test_entry.handle(EntryEvent::MinionAnnounced { announcement });
            test_entry.handle(EntryEvent::PeerConnected {
                peer: sidecar,
                role: Role::Sidecar,
            });
        }
        test_entry.connect_owner();
        test_entry.handle(EntryEvent::Message {
            peer: OWNER,
            message: Message::Roster(RosterNotice {
                owner: OWNER,
                digest: token().roster,
                sidecars: SIDECARS.to_vec(),
            }),
        });
        test_entry.handle(EntryEvent::PeerDisconnected { peer: OWNER });
        test_entry.actions.clear();
        test_entry
    }

    fn handle(&mut self, event: EntryEvent) {
        self.entry.handle(event, self.now, &mut self.actions);
    }

    fn connect_owner(&mut self) {
        self.handle(EntryEvent::PeerConnected {
            peer: OWNER,
            role: Role::Entry,
        });
    }

    fn submit(&mut self, request: u64) {
        self.handle(EntryEvent::Request {
            requester: Requester::Caller { request },
            request: submission(),
        });
    }

    fn advance(&mut self, duration: Duration) {
        self.now += duration;
        self.handle(EntryEvent::Tick);
    }

    fn report_fenced(&mut self, sidecar: u64, may_have_started: bool) {
        let report = FenceReport {
            sidecar,
            job: submission().job_id(),
            may_have_started,
        };
        self.handle(EntryEvent::Message {
            peer: sidecar,
            message: Message::Fenced(report),
        });
    }

    fn response(&self, request: u64) -> Option<&CallerResponse> {
        self.actions.iter().find_map(|action| match action {
            EntryAction::Respond {
                request: responded,
                response,
            } if *responded == request => Some(response),
            _ => None,
        })
    }

    fn is_sent(&self, peer: u64, matches_message: impl Fn(&Message) -> bool) -> bool {
        self.actions.iter().any(|action| {
            matches!(action, EntryAction::Send { peer: to, message }
                if *to == peer && matches_message(message))
        })
    }
}

fn announcement(sidecar: u64) -> Announcement {
    let address: SocketAddr = "127.0.0.1:7001".parse().expect("a valid address");
    Announcement {
        name: format!("sidecar-{sidecar}"),
        sidecar,
        link_address: address,
        http_address: address,
        service: "embossing".to_owned(),
        worker: "worker-1".to_owned(),
        failure_domain: "fd-1".to_owned(),
        slots: 8,
        speed_hint_percent: 100,
        state: MinionState::Serving,
    }
}

fn token() -> OwnerToken {
    OwnerToken {
        incarnation: OWNER,
        generation: 3,
        roster: roster_digest(SIDECARS),
    }
}

fn submission() -> CallerRequest {
    CallerRequest::Submit {
        token: token(),
        key: "order-1".to_owned(),
        spec: JobSpec {
            team: "tin-a".to_owned(),
            kind: "release".to_owned(),
            class: None,
            deadline: None,
            idempotent: None,
            tasks: vec![TaskSpec {
                payload: vec![1],
                hint: None,
            }],
        },
        wait: Duration::from_secs(30),
    }
}

fn not_run() -> CallerResponse {
    CallerResponse::not_run(Refusal::OwnerLost, Some(Duration::ZERO))
}

fn owner_lost() -> CallerResponse {
    CallerResponse::failed(Failure::OwnerLost)
}

#[test]
fn request_waits_for_the_owner_to_reconnect_within_the_grace_period() {
    let mut test_entry = TestEntry::new();
    test_entry.submit(1);
    test_entry.advance(TIMEOUT / 2);
    assert_eq!(test_entry.response(1), None);
    test_entry.connect_owner();
    assert!(test_entry.is_sent(OWNER, |message| matches!(message, Message::Relay(_))));
}

#[test]
fn not_run_requires_the_confirmation_of_every_sidecar_in_the_roster() {
    let mut test_entry = TestEntry::new();
    test_entry.submit(1);
    test_entry.advance(TIMEOUT);
    for sidecar in SIDECARS {
        assert!(test_entry.is_sent(sidecar, |message| matches!(message, Message::Fence { .. })));
    }
    test_entry.report_fenced(SIDECARS[0], false);
    assert_eq!(test_entry.response(1), None);
    test_entry.report_fenced(SIDECARS[1], false);
    assert_eq!(test_entry.response(1), Some(&not_run()));
}

#[test]
fn job_fails_if_a_sidecar_may_have_started_a_task() {
    let mut test_entry = TestEntry::new();
    test_entry.submit(1);
    test_entry.advance(TIMEOUT);
    test_entry.report_fenced(SIDECARS[0], false);
    test_entry.report_fenced(SIDECARS[1], true);
    assert_eq!(test_entry.response(1), Some(&owner_lost()));
}

#[test]
fn job_fails_if_a_sidecar_does_not_respond_to_the_fence() {
    let mut test_entry = TestEntry::new();
    test_entry.submit(1);
    test_entry.advance(TIMEOUT);
    test_entry.report_fenced(SIDECARS[0], false);
    test_entry.advance(TIMEOUT);
    assert_eq!(test_entry.response(1), Some(&owner_lost()));
}

#[test]
fn job_fails_if_a_sidecar_in_the_roster_is_unreachable() {
    let mut test_entry = TestEntry::new();
    test_entry.handle(EntryEvent::PeerDisconnected { peer: SIDECARS[1] });
    test_entry.submit(1);
    test_entry.advance(TIMEOUT);
    assert_eq!(test_entry.response(1), Some(&owner_lost()));
}

#[test]
fn reconnected_owner_is_asked_about_a_job_with_an_unknown_outcome() {
    let mut test_entry = TestEntry::new();
    test_entry.submit(1);
    test_entry.advance(TIMEOUT);
    test_entry.report_fenced(SIDECARS[0], true);
    assert_eq!(test_entry.response(1), Some(&owner_lost()));
    test_entry.connect_owner();
    test_entry.submit(2);
    assert_eq!(test_entry.response(2), None);
    assert!(test_entry.is_sent(OWNER, |message| matches!(message, Message::Relay(_))));
}

#[test]
fn not_run_is_final_after_the_owner_reconnects() {
    let mut test_entry = TestEntry::new();
    test_entry.submit(1);
    test_entry.advance(TIMEOUT);
    for sidecar in SIDECARS {
        test_entry.report_fenced(sidecar, false);
    }
    test_entry.connect_owner();
    test_entry.submit(2);
    assert_eq!(test_entry.response(2), Some(&not_run()));
}
