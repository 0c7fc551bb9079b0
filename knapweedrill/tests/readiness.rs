//! Readiness of an entry: it accepts jobs once it is connected to the known sidecars.

use std::time::{Duration, Instant};

use knapweedrill::common::Incarnation;
use knapweedrill::contract::Configuration;
use knapweedrill::entry::{Entry, EntryEvent, EntrySettings};
use knapweedrill::message::Role;
use knapweedrill::minion::{Announcement, MinionState};

const LINK_WAIT_MAX: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(1);

/// An entry with a simulated clock.
struct TestEntry {
    entry: Entry,
    now: Instant,
}

impl TestEntry {
    fn new() -> Self {
        let now = Instant::now();
        let entry = Entry::new(1, EntrySettings::new(), now);
        Self { entry, now }
    }

    fn handle(&mut self, event: EntryEvent) {
        self.entry.handle(event, self.now, &mut Vec::new());
    }

    fn configure(&mut self) {
        self.handle(EntryEvent::ConfigurationChanged {
            version: 1,
            configuration: Configuration::default(),
        });
    }

    fn announce(&mut self, sidecar: Incarnation) {
        let announcement = announcement(sidecar);
        self.handle(EntryEvent::MinionAnnounced { announcement });
    }

    fn connect(&mut self, peer: Incarnation) {
        let role = Role::Sidecar;
        self.handle(EntryEvent::PeerConnected { peer, role });
    }

    fn advance(&mut self, duration: Duration) {
        self.now += duration;
        self.handle(EntryEvent::Tick);
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
fn entry_is_ready_once_all_known_sidecars_are_connected() {
    let mut entry = TestEntry::new();
    entry.announce(11);
    entry.announce(12);
    entry.configure();
    entry.connect(11);
    entry.advance(TICK);
    entry.assert_ready(false);
    entry.connect(12);
    entry.advance(TICK);
    entry.assert_ready(true);
}

#[test]
fn entry_without_a_configuration_is_not_ready() {
    let mut entry = TestEntry::new();
    entry.announce(11);
    entry.connect(11);
    entry.advance(LINK_WAIT_MAX * 2);
    entry.assert_ready(false);
    entry.configure();
    entry.advance(TICK);
    entry.assert_ready(true);
}

#[test]
fn wait_for_links_starts_with_the_first_configuration() {
    let mut entry = TestEntry::new();
    entry.advance(LINK_WAIT_MAX);
    entry.configure();
    entry.advance(LINK_WAIT_MAX / 2);
    entry.configure();
    entry.advance(LINK_WAIT_MAX / 2 - TICK);
    entry.assert_ready(false);
    entry.advance(TICK);
    entry.assert_ready(true);
}

#[test]
fn unreachable_sidecar_delays_readiness_by_at_most_the_link_wait() {
    let mut entry = TestEntry::new();
    entry.announce(11);
    entry.announce(12);
    entry.connect(11);
    entry.configure();
    entry.advance(LINK_WAIT_MAX - TICK);
    entry.assert_ready(false);
    entry.advance(TICK);
    entry.assert_ready(true);
}

#[test]
fn lost_sidecar_does_not_delay_readiness() {
    let mut entry = TestEntry::new();
    entry.announce(11);
    entry.announce(12);
    entry.connect(11);
    entry.configure();
    entry.handle(EntryEvent::MinionLost { sidecar: 12 });
    entry.advance(TICK);
    entry.assert_ready(true);
}

#[test]
fn entry_stays_ready_after_a_disconnect_until_it_stops() {
    let mut entry = TestEntry::new();
    entry.announce(11);
    entry.connect(11);
    entry.configure();
    entry.advance(TICK);
    entry.handle(EntryEvent::PeerDisconnected { peer: 11 });
    entry.announce(12);
    entry.advance(TICK);
    entry.assert_ready(true);
    entry.handle(EntryEvent::Stop);
    entry.assert_ready(false);
}
