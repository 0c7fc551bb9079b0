//! A request whose owner is out of reach is settled by the sidecars.

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
const RELAY: u64 = 2;
const SIDECARS: [u64; 2] = [11, 12];
const GRACE: Duration = Duration::from_secs(2);

/// An entry that knows the sidecars and the roster of an owner that it cannot reach.
struct Relay {
    entry: Entry,
    now: Instant,
    actions: Vec<EntryAction>,
}

impl Relay {
    fn new() -> Self {
        let now = Instant::now();
        let settings = EntrySettings::new().owner_grace(GRACE).fence_timeout(GRACE);
        let mut relay = Self {
            entry: Entry::new(RELAY, settings, now),
            now,
            actions: Vec::new(),
        };
        for sidecar in SIDECARS {
            let announcement = announcement(sidecar);
            relay.tell(EntryEvent::MinionAnnounced { announcement });
            relay.tell(EntryEvent::PeerConnected {
                peer: sidecar,
                role: Role::Sidecar,
            });
        }
        relay.owner_up();
        relay.tell(EntryEvent::Message {
            peer: OWNER,
            message: Message::Roster(RosterNotice {
                owner: OWNER,
                digest: token().roster,
                sidecars: SIDECARS.to_vec(),
            }),
        });
        relay.tell(EntryEvent::PeerDisconnected { peer: OWNER });
        relay.actions.clear();
        relay
    }

    fn tell(&mut self, event: EntryEvent) {
        self.entry.handle(event, self.now, &mut self.actions);
    }

    fn owner_up(&mut self) {
        self.tell(EntryEvent::PeerConnected {
            peer: OWNER,
            role: Role::Entry,
        });
    }

    fn submit(&mut self, request: u64) {
        self.tell(EntryEvent::Request {
            requester: Requester::Caller { request },
            request: submission(),
        });
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        self.tell(EntryEvent::Tick);
    }

    fn fenced(&mut self, sidecar: u64, may_have_started: bool) {
        let report = FenceReport {
            sidecar,
            job: submission().job_id(),
            may_have_started,
        };
        self.tell(EntryEvent::Message {
            peer: sidecar,
            message: Message::Fenced(report),
        });
    }

    fn answer(&self, request: u64) -> Option<&CallerResponse> {
        self.actions.iter().find_map(|action| match action {
            EntryAction::Respond {
                request: answered,
                response,
            } if *answered == request => Some(response),
            _ => None,
        })
    }

    fn is_sent(&self, peer: u64, is_wanted: impl Fn(&Message) -> bool) -> bool {
        self.actions.iter().any(|action| {
            matches!(action, EntryAction::Send { peer: to, message }
                if *to == peer && is_wanted(message))
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
fn nothing_is_said_before_the_owner_has_had_time_to_come_back() {
    let mut relay = Relay::new();
    relay.submit(1);
    relay.wait(GRACE / 2);
    assert_eq!(relay.answer(1), None);
    relay.owner_up();
    assert!(relay.is_sent(OWNER, |message| matches!(message, Message::Relay(_))));
}

#[test]
fn not_run_takes_the_word_of_every_sidecar_that_the_token_names() {
    let mut relay = Relay::new();
    relay.submit(1);
    relay.wait(GRACE);
    for sidecar in SIDECARS {
        assert!(relay.is_sent(sidecar, |message| matches!(message, Message::Fence { .. })));
    }
    relay.fenced(SIDECARS[0], false);
    assert_eq!(relay.answer(1), None);
    relay.fenced(SIDECARS[1], false);
    assert_eq!(relay.answer(1), Some(&not_run()));
}

#[test]
fn one_sidecar_that_may_have_started_something_makes_it_a_failure() {
    let mut relay = Relay::new();
    relay.submit(1);
    relay.wait(GRACE);
    relay.fenced(SIDECARS[0], false);
    relay.fenced(SIDECARS[1], true);
    assert_eq!(relay.answer(1), Some(&owner_lost()));
}

#[test]
fn a_sidecar_that_does_not_answer_makes_it_a_failure() {
    let mut relay = Relay::new();
    relay.submit(1);
    relay.wait(GRACE);
    relay.fenced(SIDECARS[0], false);
    relay.wait(GRACE);
    assert_eq!(relay.answer(1), Some(&owner_lost()));
}

#[test]
fn a_sidecar_that_is_out_of_reach_makes_it_a_failure() {
    let mut relay = Relay::new();
    relay.tell(EntryEvent::PeerDisconnected { peer: SIDECARS[1] });
    relay.submit(1);
    relay.wait(GRACE);
    assert_eq!(relay.answer(1), Some(&owner_lost()));
}

#[test]
fn an_owner_that_comes_back_answers_for_a_job_whose_fate_was_unknown() {
    let mut relay = Relay::new();
    relay.submit(1);
    relay.wait(GRACE);
    relay.fenced(SIDECARS[0], true);
    assert_eq!(relay.answer(1), Some(&owner_lost()));
    relay.owner_up();
    relay.submit(2);
    assert_eq!(relay.answer(2), None);
    assert!(relay.is_sent(OWNER, |message| matches!(message, Message::Relay(_))));
}

#[test]
fn not_run_stands_when_the_owner_comes_back() {
    let mut relay = Relay::new();
    relay.submit(1);
    relay.wait(GRACE);
    for sidecar in SIDECARS {
        relay.fenced(sidecar, false);
    }
    relay.owner_up();
    relay.submit(2);
    assert_eq!(relay.answer(2), Some(&not_run()));
}
