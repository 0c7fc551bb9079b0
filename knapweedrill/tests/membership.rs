//! Tests of membership: discovery by heartbeats, failure detection and subsetting.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::common::{HybridTime, Incarnation};
use knapweedrill::membership::{
    ConfigurationSource, EntryHeartbeatData, EntryMembership, FailureDetector, MembershipChange,
    MembershipSettings, OutgoingDatagram, SidecarHeartbeatData, SidecarMembership,
    choose_by_rendezvous,
};
use knapweedrill::message::{
    Datagram, DatagramBody, EntryHeartbeat, PROTOCOL_VERSION, PeerAddress, Role, SlotReport,
};
use knapweedrill::minion::{Announcement, MinionState};
use proptest::prelude::*;
use test_case::test_case;

const TICK: Duration = Duration::from_millis(50);
/// The default minimum of the suspicion timeout.
const SUSPICION_TIMEOUT_MIN: Duration = Duration::from_millis(1200);
/// The time within which the silence of a process must be detected.
const DETECTION_TIME_MAX: Duration = Duration::from_secs(3);

fn address(incarnation: Incarnation) -> SocketAddr {
    ([127, 0, 0, 1], incarnation as u16).into()
}

fn entry_address(incarnation: Incarnation) -> PeerAddress {
    PeerAddress {
        incarnation,
        name: format!("e{incarnation}"),
        role: Role::Entry,
        failure_domain: "a".into(),
        link_address: address(incarnation),
        http_address: address(incarnation),
    }
}

fn announcement(sidecar: Incarnation) -> Announcement {
    Announcement {
        name: format!("s{sidecar}"),
        sidecar,
        link_address: address(sidecar),
        http_address: address(sidecar),
        service: "service".into(),
        worker: "worker".into(),
        failure_domain: "a".into(),
        slots: 8,
        speed_hint_percent: 100,
        state: MinionState::Serving,
    }
}

fn entry(incarnation: Incarnation, seeds: &[Incarnation]) -> EntryMembership {
    let seeds = seeds.iter().map(|seed| address(*seed)).collect();
    let settings = MembershipSettings::default();
    EntryMembership::new(entry_address(incarnation), seeds, settings)
}

fn sidecar(incarnation: Incarnation, seeds: &[Incarnation]) -> SidecarMembership {
    let seeds = seeds.iter().map(|seed| address(*seed)).collect();
    let settings = MembershipSettings::default();
    SidecarMembership::new(announcement(incarnation), seeds, settings)
}

fn entry_data() -> EntryHeartbeatData {
    EntryHeartbeatData {
        clock: HybridTime::default(),
        configuration: None,
        is_stopping: false,
        answers_for: Vec::new(),
    }
}

fn sidecar_data() -> SidecarHeartbeatData {
    SidecarHeartbeatData {
        clock: HybridTime::default(),
        configuration: None,
        report: SlotReport::default(),
    }
}

fn datagram(sender: Incarnation, sequence: u64, body: DatagramBody) -> Datagram {
    Datagram {
        protocol_version: PROTOCOL_VERSION,
        sender,
        sequence,
        clock: HybridTime::default(),
        configuration: None,
        body,
    }
}

fn announce(sender: Incarnation, sequence: u64) -> Datagram {
    let body = DatagramBody::Announce {
        announcement: announcement(sender),
        report: SlotReport::default(),
    };
    datagram(sender, sequence, body)
}

fn entry_heartbeat(sender: Incarnation) -> EntryHeartbeat {
    EntryHeartbeat {
        own: entry_address(sender),
        is_stopping: false,
        known: Vec::new(),
        answers_for: Vec::new(),
    }
}

fn heartbeat(sender: Incarnation, sequence: u64) -> Datagram {
    datagram(
        sender,
        sequence,
        DatagramBody::Entry(entry_heartbeat(sender)),
    )
}

/// A simulated network that drops only datagrams to or from isolated processes.
struct Simulation {
    now: Instant,
    entries: Vec<(Incarnation, EntryMembership)>,
    sidecars: Vec<(Incarnation, SidecarMembership)>,
    isolated: Vec<Incarnation>,
    changes: Vec<(Incarnation, MembershipChange)>,
}

impl Simulation {
    /// Creates processes that have the first entry as their only seed.
    fn new(entries: &[Incarnation], sidecars: &[Incarnation]) -> Self {
        let seeds = &entries[..1];
        Self {
            now: Instant::now(),
            entries: entries.iter().map(|id| (*id, entry(*id, seeds))).collect(),
            sidecars: sidecars
                .iter()
                .map(|id| (*id, sidecar(*id, seeds)))
                .collect(),
            isolated: Vec::new(),
            changes: Vec::new(),
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            for outgoing in self.outgoing() {
                self.deliver(&outgoing);
            }
            self.tick();
        }
    }

    fn outgoing(&mut self) -> Vec<OutgoingDatagram> {
        let now = self.now;
        let entries = self.entries.iter_mut();
        let mut outgoing: Vec<OutgoingDatagram> = entries
            .filter_map(|(_, entry)| entry.next_heartbeat(&entry_data(), now))
            .collect();
        let sidecars = self.sidecars.iter_mut();
        outgoing.extend(
            sidecars.filter_map(|(_, sidecar)| sidecar.next_heartbeat(&sidecar_data(), now)),
        );
        outgoing
    }

    fn deliver(&mut self, outgoing: &OutgoingDatagram) {
        let OutgoingDatagram {
            recipients,
            datagram,
        } = outgoing;
        if self.isolated.contains(&datagram.sender) {
            return;
        }
        for (id, entry) in &mut self.entries {
            if recipients.contains(&address(*id)) && !self.isolated.contains(id) {
                let changes = entry.handle(datagram, self.now);
                self.changes
                    .extend(changes.into_iter().map(|change| (*id, change)));
            }
        }
        for (id, sidecar) in &mut self.sidecars {
            if recipients.contains(&address(*id)) && !self.isolated.contains(id) {
                let changes = sidecar.handle(datagram, self.now);
                self.changes
                    .extend(changes.into_iter().map(|change| (*id, change)));
            }
        }
    }

    fn tick(&mut self) {
        for (id, entry) in &mut self.entries {
            let changes = entry.tick(self.now);
            self.changes
                .extend(changes.into_iter().map(|change| (*id, change)));
        }
        for (id, sidecar) in &mut self.sidecars {
            let changes = sidecar.tick(self.now);
            self.changes
                .extend(changes.into_iter().map(|change| (*id, change)));
        }
    }

    fn assert_complete(&self) {
        for (id, entry) in &self.entries {
            assert_eq!(
                entry.entries().count(),
                self.entries.len() - 1,
                "entry {id}"
            );
            assert_eq!(entry.minions().count(), self.sidecars.len(), "entry {id}");
        }
        for (id, sidecar) in &self.sidecars {
            assert_eq!(
                sidecar.entries().count(),
                self.entries.len(),
                "sidecar {id}"
            );
        }
    }

    fn lost_count(&self) -> usize {
        let is_lost = |change: &MembershipChange| {
            matches!(
                change,
                MembershipChange::EntryLost { .. } | MembershipChange::MinionLost { .. }
            )
        };
        self.changes
            .iter()
            .filter(|(_, change)| is_lost(change))
            .count()
    }
}

#[test]
fn all_processes_find_each_other_from_one_seed_and_stay_live() {
    let mut simulation = Simulation::new(&[1, 2, 3], &[11, 12, 13, 14, 15, 16, 17, 18, 19, 20]);
    simulation.run(Duration::from_secs(5));
    simulation.assert_complete();
    simulation.run(Duration::from_secs(60));
    simulation.assert_complete();
    assert_eq!(simulation.lost_count(), 0);
}

#[test]
fn silent_minion_is_lost_after_the_minimum_timeout_and_found_again() {
    let mut simulation = Simulation::new(&[1, 2], &[11]);
    simulation.run(Duration::from_secs(20));
    simulation.isolated = vec![11];
    simulation.run(SUSPICION_TIMEOUT_MIN + Duration::from_millis(400));
    for (_, entry) in &simulation.entries {
        assert_eq!(entry.minions().count(), 0);
    }
    simulation.isolated.clear();
    simulation.run(Duration::from_secs(5));
    simulation.assert_complete();
}

#[test]
fn one_lost_heartbeat_makes_no_process_suspect() {
    let mut simulation = Simulation::new(&[1, 2], &[11]);
    simulation.run(Duration::from_secs(20));
    simulation.isolated = vec![11];
    simulation.run(Duration::from_millis(400));
    simulation.isolated.clear();
    simulation.run(Duration::from_secs(5));
    assert_eq!(simulation.lost_count(), 0);
}

#[test]
fn silence_is_detected_in_time_after_earlier_lost_heartbeats() {
    let mut simulation = Simulation::new(&[1, 2], &[11]);
    for _ in 0..10 {
        simulation.run(Duration::from_secs(2));
        simulation.isolated = vec![11];
        simulation.run(Duration::from_millis(400));
        simulation.isolated.clear();
    }
    simulation.isolated = vec![11];
    simulation.run(DETECTION_TIME_MAX);
    for (_, entry) in &simulation.entries {
        assert_eq!(entry.minions().count(), 0);
    }
}

#[test]
fn pause_of_the_receiver_loses_no_live_minion() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    entry.handle(&announce(11, 1), now);
    assert!(entry.tick(now).is_empty());
    let resumed_at = now + Duration::from_secs(30);
    assert!(entry.tick(resumed_at).is_empty());
    entry.handle(&announce(11, 2), resumed_at);
    assert!(entry.tick(resumed_at + TICK).is_empty());
    assert_eq!(entry.minions().count(), 1);
}

#[test]
fn pause_of_the_receiver_delays_detection_by_the_minimum_timeout_only() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    entry.handle(&announce(11, 1), now);
    entry.tick(now);
    let resumed_at = now + Duration::from_secs(30);
    assert!(entry.tick(resumed_at).is_empty());
    let later = resumed_at + SUSPICION_TIMEOUT_MIN - Duration::from_millis(100);
    assert!(entry.tick(later).is_empty());
    let lost = MembershipChange::MinionLost { sidecar: 11 };
    assert_eq!(entry.tick(later + Duration::from_millis(100)), [lost]);
}

#[test]
fn partitioned_entries_reconnect_without_a_seed() {
    let mut simulation = Simulation::new(&[1, 2, 3], &[11]);
    simulation.run(Duration::from_secs(5));
    // The first entry is the only seed of the others and has no seed itself.
    simulation.isolated = vec![1];
    simulation.run(Duration::from_secs(60));
    assert_eq!(simulation.entries[0].1.entries().count(), 0);
    simulation.isolated.clear();
    simulation.run(Duration::from_secs(10));
    simulation.assert_complete();
}

#[test_case(5; "duplicated")]
#[test_case(4; "reordered")]
fn stale_announcement_changes_nothing(sequence: u64) {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    assert_eq!(entry.handle(&announce(11, 5), now).len(), 2);
    assert!(entry.handle(&announce(11, sequence), now).is_empty());
}

#[test]
fn stale_announcement_does_not_revive_a_lost_minion() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    entry.handle(&announce(11, 5), now);
    let later = now + Duration::from_secs(30);
    let lost = MembershipChange::MinionLost { sidecar: 11 };
    assert_eq!(entry.tick(later), [lost]);
    assert!(entry.handle(&announce(11, 5), later).is_empty());
    assert!(!entry.handle(&announce(11, 6), later).is_empty());
}

#[test]
fn leaving_is_announced_at_once() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    let mut sidecar = sidecar(11, &[1]);
    let first = sidecar
        .next_heartbeat(&sidecar_data(), now)
        .expect("the first heartbeat is due");
    entry.handle(&first.datagram, now);
    assert_eq!(sidecar.next_heartbeat(&sidecar_data(), now), None);
    let mut leaving = announcement(11);
    leaving.state = MinionState::Leaving;
    sidecar.announce(leaving.clone());
    let second = sidecar
        .next_heartbeat(&sidecar_data(), now)
        .expect("the changed announcement is due");
    let changes = entry.handle(&second.datagram, now);
    assert_eq!(changes[0], MembershipChange::MinionChanged(leaving));
}

#[test]
fn entry_replies_at_once_to_a_new_sidecar() {
    let now = Instant::now();
    let mut entry = entry(1, &[9]);
    entry.next_heartbeat(&entry_data(), now);
    entry.handle(&announce(11, 1), now);
    let reply = entry
        .next_heartbeat(&entry_data(), now)
        .expect("the heartbeat to the new sidecar is due");
    assert_eq!(reply.recipients, [address(11)]);
}

#[test]
fn stop_is_announced_to_all_at_once() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    for sender in 11..30 {
        entry.handle(&announce(sender, 1), now);
    }
    entry.handle(&heartbeat(2, 1), now);
    entry.next_heartbeat(&entry_data(), now);
    let mut data = entry_data();
    data.is_stopping = true;
    let outgoing = entry
        .next_heartbeat(&data, now)
        .expect("the heartbeat that announces the stop is due");
    assert_eq!(outgoing.recipients.len(), 20);
    assert_eq!(entry.next_heartbeat(&data, now), None);
}

#[test]
fn stop_and_succession_are_reported_once() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    entry.handle(&heartbeat(2, 1), now);
    let mut heartbeat_body = entry_heartbeat(2);
    heartbeat_body.is_stopping = true;
    heartbeat_body.answers_for = vec![3];
    let first = datagram(2, 2, DatagramBody::Entry(heartbeat_body.clone()));
    let stopping = MembershipChange::EntryStopping { entry: 2 };
    let answers_for = MembershipChange::AnswersFor {
        successor: 2,
        stopped: 3,
    };
    assert_eq!(entry.handle(&first, now), [stopping, answers_for]);
    let second = datagram(2, 3, DatagramBody::Entry(heartbeat_body));
    assert!(entry.handle(&second, now).is_empty());
}

#[test]
fn candidate_entry_is_not_found_before_its_first_heartbeat() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    let mut heartbeat_body = entry_heartbeat(2);
    heartbeat_body.known = vec![entry_address(3), entry_address(1)];
    let outgoing = datagram(2, 1, DatagramBody::Entry(heartbeat_body));
    let found = MembershipChange::EntryFound(entry_address(2));
    assert_eq!(entry.handle(&outgoing, now), [found]);
    let outgoing = entry
        .next_heartbeat(&entry_data(), now)
        .expect("the first heartbeat is due");
    assert_eq!(outgoing.recipients, [address(2), address(3)]);
    let found = MembershipChange::EntryFound(entry_address(3));
    assert_eq!(entry.handle(&heartbeat(3, 1), now), [found]);
}

#[test]
fn datagram_that_names_another_sender_is_ignored() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    let mut forged = announce(11, 1);
    forged.sender = 12;
    assert!(entry.handle(&forged, now).is_empty());
    let mut forged = heartbeat(2, 1);
    forged.sender = 3;
    assert!(entry.handle(&forged, now).is_empty());
    assert!(entry.handle(&heartbeat(1, 1), now).is_empty());
}

#[test]
fn newest_configuration_is_found() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    let mut newer = heartbeat(2, 1);
    newer.configuration = Some(7);
    entry.handle(&newer, now);
    let mut newest = announce(11, 1);
    newest.configuration = Some(8);
    entry.handle(&newest, now);
    let source = ConfigurationSource {
        peer: 11,
        version: 8,
    };
    assert_eq!(entry.newer_configuration(None), Some(source));
    assert_eq!(entry.newer_configuration(Some(7)), Some(source));
    assert_eq!(entry.newer_configuration(Some(8)), None);
}

#[test]
fn sidecar_announces_to_a_bounded_number_of_entries() {
    let now = Instant::now();
    let mut sidecar = sidecar(100, &[]);
    for sender in 1..=20 {
        sidecar.handle(&heartbeat(sender, 1), now);
    }
    let outgoing = sidecar
        .next_heartbeat(&sidecar_data(), now)
        .expect("the first heartbeat is due");
    assert_eq!(outgoing.recipients.len(), 8);
}

proptest! {
    #[test]
    fn found_and_lost_alternate(
        steps in proptest::collection::vec((0_u64..2000, 1_u64..4, 1_u64..40), 1..200),
    ) {
        let mut now = Instant::now();
        let mut membership = entry(99, &[]);
        let mut live = std::collections::BTreeMap::new();
        let mut newest = std::collections::BTreeMap::new();
        for (wait_ms, sender, sequence) in steps {
            now += Duration::from_millis(wait_ms);
            let mut changes = membership.tick(now);
            let heard = membership.handle(&announce(sender, sequence), now);
            let before = newest.get(&sender).copied().unwrap_or(0);
            prop_assert_eq!(heard.is_empty(), sequence <= before);
            newest.insert(sender, before.max(sequence));
            changes.extend(heard);
            for change in changes {
                match change {
                    MembershipChange::MinionFound(minion) => {
                        prop_assert_eq!(live.insert(minion.sidecar, ()), None);
                    }
                    MembershipChange::MinionLost { sidecar } => {
                        prop_assert_eq!(live.remove(&sidecar), Some(()));
                    }
                    MembershipChange::MinionReported { sidecar, .. } => {
                        prop_assert!(live.contains_key(&sidecar));
                    }
                    other => prop_assert!(false, "unexpected change: {:?}", other),
                }
            }
            prop_assert_eq!(membership.minions().count(), live.len());
        }
    }

    #[test]
    fn suspicion_timeout_stays_within_its_bounds(intervals_ms in proptest::collection::vec(0_u64..20_000, 0..100)) {
        let settings = MembershipSettings::default();
        let mut now = Instant::now();
        let mut detector = FailureDetector::new(Duration::from_millis(400), now);
        for interval_ms in intervals_ms {
            now += Duration::from_millis(interval_ms);
            detector.record_heartbeat(now);
            let timeout = detector.timeout(&settings);
            prop_assert!(timeout >= SUSPICION_TIMEOUT_MIN);
            prop_assert!(timeout <= Duration::from_secs(10));
            prop_assert!(!detector.is_suspect(&settings, now + SUSPICION_TIMEOUT_MIN));
            prop_assert!(detector.is_suspect(&settings, now + Duration::from_millis(10_001)));
        }
    }

    #[test]
    fn steady_heartbeats_are_never_suspect(interval_ms in 50_u64..800, jitter_percent in 0_u64..30) {
        let settings = MembershipSettings::default();
        let mut now = Instant::now();
        let mut detector = FailureDetector::new(Duration::from_millis(400), now);
        for step in 0..500 {
            let extra_ms = interval_ms * jitter_percent * (step % 3) / 200;
            now += Duration::from_millis(interval_ms + extra_ms);
            prop_assert!(step < 20 || !detector.is_suspect(&settings, now));
            detector.record_heartbeat(now);
        }
    }

    #[test]
    fn at_most_one_choice_changes_when_a_candidate_is_removed(
        chooser: u64,
        candidates in proptest::collection::btree_set(any::<u64>(), 10..60),
        removed in 0_usize..10,
    ) {
        let before = choose_by_rendezvous(chooser, candidates.iter().copied(), 8);
        let removed = *candidates.iter().nth(removed).expect("there are at least ten candidates");
        let remaining = candidates.iter().copied().filter(|candidate| *candidate != removed);
        let after = choose_by_rendezvous(chooser, remaining, 8);
        prop_assert_eq!(after.len(), 8);
        let kept_count = before.iter().filter(|chosen| after.contains(chosen)).count();
        prop_assert!(kept_count >= 7);
        prop_assert!(before.contains(&removed) || kept_count == 8);
    }
}
