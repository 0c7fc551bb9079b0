//! An entry takes jobs once it can hand their tasks to the minions it knows.

use std::time::{Duration, Instant};

use knapweedrill::common::Incarnation;
use knapweedrill::contract::Configuration;
use knapweedrill::entry::{Entry, EntryEvent, EntrySettings};
use knapweedrill::message::Role;
use knapweedrill::minion::{Announcement, MinionState};

const LINK_GRACE: Duration = Duration::from_secs(2);
const MOMENT: Duration = Duration::from_millis(1);

/// An entry whose clock is moved by hand.
struct Clocked {
    entry: Entry,
    now: Instant,
}

impl Clocked {
    fn new() -> Self {
        let now = Instant::now();
        let entry = Entry::new(1, EntrySettings::new(), now);
        Self { entry, now }
    }

    fn tell(&mut self, event: EntryEvent) {
        self.entry.handle(event, self.now, &mut Vec::new());
    }

    fn configure(&mut self) {
        self.tell(EntryEvent::ConfigurationChanged {
            version: 1,
            configuration: Configuration::default(),
        });
    }

    fn hear(&mut self, sidecar: Incarnation) {
        let announcement = announcement(sidecar);
        self.tell(EntryEvent::MinionAnnounced { announcement });
    }

    fn link(&mut self, peer: Incarnation) {
        let role = Role::Sidecar;
        self.tell(EntryEvent::PeerConnected { peer, role });
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.tell(EntryEvent::Tick);
    }

    fn assert_ready(&self, expected: bool) {
        assert_eq!(self.entry.is_ready(), expected);
        assert_eq!(self.entry.owner_token().is_some(), expected);
    }
}

fn announcement(sidecar: Incarnation) -> Announcement {
    let address = ([127, 0, 0, 1], 9000).into();
    Announcement {
        name: format!("sidecar-{sidecar}"),
        sidecar,
        link_address: address,
        http_address: address,
        service: "embossing".to_owned(),
        worker: "worker-1".to_owned(),
        failure_domain: "a".to_owned(),
        slots: 8,
        speed_hint_percent: 100,
        state: MinionState::Serving,
    }
}

#[test]
fn ready_as_soon_as_every_known_minion_is_linked() {
    let mut clocked = Clocked::new();
    clocked.hear(11);
    clocked.hear(12);
    clocked.configure();
    clocked.link(11);
    clocked.pass(MOMENT);
    clocked.assert_ready(false);
    clocked.link(12);
    clocked.pass(MOMENT);
    clocked.assert_ready(true);
}

#[test]
fn links_alone_do_not_make_ready_without_a_configuration() {
    let mut clocked = Clocked::new();
    clocked.hear(11);
    clocked.link(11);
    clocked.pass(LINK_GRACE * 2);
    clocked.assert_ready(false);
    clocked.configure();
    clocked.pass(MOMENT);
    clocked.assert_ready(true);
}

#[test]
fn grace_runs_from_the_first_configuration() {
    let mut clocked = Clocked::new();
    clocked.pass(LINK_GRACE);
    clocked.configure();
    clocked.pass(LINK_GRACE / 2);
    clocked.configure();
    clocked.pass(LINK_GRACE / 2 - MOMENT);
    clocked.assert_ready(false);
    clocked.pass(MOMENT);
    clocked.assert_ready(true);
}

#[test]
fn a_minion_out_of_reach_delays_readiness_by_the_grace_at_most() {
    let mut clocked = Clocked::new();
    clocked.hear(11);
    clocked.hear(12);
    clocked.link(11);
    clocked.configure();
    clocked.pass(LINK_GRACE - MOMENT);
    clocked.assert_ready(false);
    clocked.pass(MOMENT);
    clocked.assert_ready(true);
}

#[test]
fn a_lost_minion_is_not_waited_for() {
    let mut clocked = Clocked::new();
    clocked.hear(11);
    clocked.hear(12);
    clocked.link(11);
    clocked.configure();
    clocked.tell(EntryEvent::MinionLost { sidecar: 12 });
    clocked.pass(MOMENT);
    clocked.assert_ready(true);
}

#[test]
fn readiness_outlasts_the_loss_of_links() {
    let mut clocked = Clocked::new();
    clocked.hear(11);
    clocked.link(11);
    clocked.configure();
    clocked.pass(MOMENT);
    clocked.tell(EntryEvent::PeerDisconnected { peer: 11 });
    clocked.hear(12);
    clocked.pass(MOMENT);
    clocked.assert_ready(true);
    clocked.tell(EntryEvent::Stop);
    clocked.assert_ready(false);
}
