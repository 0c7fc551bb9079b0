//! Entries and sidecars find each other by heartbeats, and lose who falls silent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::common::{HybridTime, Incarnation};
use knapweedrill::membership::{
    Arrivals, ConfigurationSource, EntryMembership, EntryNews, MembershipChange,
    MembershipSettings, Outgoing, SidecarMembership, SidecarNews, choose,
};
use knapweedrill::message::{
    Datagram, DatagramBody, EntryHeartbeat, PROTOCOL_VERSION, PeerAddress, Role, SlotReport,
};
use knapweedrill::minion::{Announcement, MinionState};
use proptest::prelude::*;
use test_case::test_case;

const TICK: Duration = Duration::from_millis(50);
/// The shortest silence that is suspect.
const FLOOR: Duration = Duration::from_millis(1200);
/// How long after it fell silent or changed a process may be taken for what it was.
const BOUND: Duration = Duration::from_secs(3);

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

fn entry_news() -> EntryNews {
    EntryNews {
        clock: HybridTime::default(),
        configuration: None,
        is_stopping: false,
        answers_for: Vec::new(),
    }
}

fn sidecar_news() -> SidecarNews {
    SidecarNews {
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

fn entry_beat(sender: Incarnation) -> EntryHeartbeat {
    EntryHeartbeat {
        own: entry_address(sender),
        is_stopping: false,
        known: Vec::new(),
        answers_for: Vec::new(),
    }
}

fn beat(sender: Incarnation, sequence: u64) -> Datagram {
    datagram(sender, sequence, DatagramBody::Entry(entry_beat(sender)))
}

/// Processes on a network that loses nothing but what goes to or from the cut ones.
struct World {
    now: Instant,
    entries: Vec<(Incarnation, EntryMembership)>,
    sidecars: Vec<(Incarnation, SidecarMembership)>,
    cut: Vec<Incarnation>,
    changes: Vec<(Incarnation, MembershipChange)>,
}

impl World {
    /// Creates a world in which all know the first entry only.
    fn new(entries: &[Incarnation], sidecars: &[Incarnation]) -> Self {
        let seeds = &entries[..1];
        Self {
            now: Instant::now(),
            entries: entries.iter().map(|id| (*id, entry(*id, seeds))).collect(),
            sidecars: sidecars
                .iter()
                .map(|id| (*id, sidecar(*id, seeds)))
                .collect(),
            cut: Vec::new(),
            changes: Vec::new(),
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            for outgoing in self.outgoing() {
                self.arrive(&outgoing);
            }
            self.tick();
        }
    }

    fn outgoing(&mut self) -> Vec<Outgoing> {
        let now = self.now;
        let entries = self.entries.iter_mut();
        let mut outgoing: Vec<Outgoing> = entries
            .filter_map(|(_, entry)| entry.beat(&entry_news(), now))
            .collect();
        let sidecars = self.sidecars.iter_mut();
        outgoing.extend(sidecars.filter_map(|(_, sidecar)| sidecar.beat(&sidecar_news(), now)));
        outgoing
    }

    fn arrive(&mut self, outgoing: &Outgoing) {
        let Outgoing { to, datagram } = outgoing;
        if self.cut.contains(&datagram.sender) {
            return;
        }
        for (id, entry) in &mut self.entries {
            if to.contains(&address(*id)) && !self.cut.contains(id) {
                let changes = entry.handle(datagram, self.now);
                self.changes
                    .extend(changes.into_iter().map(|change| (*id, change)));
            }
        }
        for (id, sidecar) in &mut self.sidecars {
            if to.contains(&address(*id)) && !self.cut.contains(id) {
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
fn all_find_each_other_from_one_seed_and_stay() {
    let mut world = World::new(&[1, 2, 3], &[11, 12, 13, 14, 15, 16, 17, 18, 19, 20]);
    world.run(Duration::from_secs(5));
    world.assert_complete();
    world.run(Duration::from_secs(60));
    world.assert_complete();
    assert_eq!(world.lost_count(), 0);
}

#[test]
fn silent_minion_is_lost_within_the_floor_and_found_again() {
    let mut world = World::new(&[1, 2], &[11]);
    world.run(Duration::from_secs(20));
    world.cut = vec![11];
    world.run(FLOOR + Duration::from_millis(400));
    for (_, entry) in &world.entries {
        assert_eq!(entry.minions().count(), 0);
    }
    world.cut.clear();
    world.run(Duration::from_secs(5));
    world.assert_complete();
}

#[test]
fn one_lost_heartbeat_makes_nobody_suspect() {
    let mut world = World::new(&[1, 2], &[11]);
    world.run(Duration::from_secs(20));
    world.cut = vec![11];
    world.run(Duration::from_millis(400));
    world.cut.clear();
    world.run(Duration::from_secs(5));
    assert_eq!(world.lost_count(), 0);
}

#[test]
fn silence_is_noticed_within_the_bound_whatever_was_lost_before() {
    let mut world = World::new(&[1, 2], &[11]);
    for _ in 0..10 {
        world.run(Duration::from_secs(2));
        world.cut = vec![11];
        world.run(Duration::from_millis(400));
        world.cut.clear();
    }
    world.cut = vec![11];
    world.run(BOUND);
    for (_, entry) in &world.entries {
        assert_eq!(entry.minions().count(), 0);
    }
}

#[test]
fn pause_of_the_listener_loses_nobody_who_still_beats() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    entry.handle(&announce(11, 1), now);
    assert!(entry.tick(now).is_empty());
    let woken = now + Duration::from_secs(30);
    assert!(entry.tick(woken).is_empty());
    entry.handle(&announce(11, 2), woken);
    assert!(entry.tick(woken + TICK).is_empty());
    assert_eq!(entry.minions().count(), 1);
}

#[test]
fn pause_of_the_listener_hides_no_dead_minion_for_long() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    entry.handle(&announce(11, 1), now);
    entry.tick(now);
    let woken = now + Duration::from_secs(30);
    assert!(entry.tick(woken).is_empty());
    let later = woken + FLOOR - Duration::from_millis(100);
    assert!(entry.tick(later).is_empty());
    let lost = MembershipChange::MinionLost { sidecar: 11 };
    assert_eq!(entry.tick(later + Duration::from_millis(100)), [lost]);
}

#[test]
fn parted_entries_meet_again_without_a_seed() {
    let mut world = World::new(&[1, 2, 3], &[11]);
    world.run(Duration::from_secs(5));
    // The first entry is the only seed of the others and has none itself.
    world.cut = vec![1];
    world.run(Duration::from_secs(60));
    assert_eq!(world.entries[0].1.entries().count(), 0);
    world.cut.clear();
    world.run(Duration::from_secs(10));
    world.assert_complete();
}

#[test_case(5; "doubled")]
#[test_case(4; "reordered")]
fn late_announcement_changes_nothing(sequence: u64) {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    assert_eq!(entry.handle(&announce(11, 5), now).len(), 2);
    assert!(entry.handle(&announce(11, sequence), now).is_empty());
}

#[test]
fn late_announcement_does_not_bring_a_lost_minion_back() {
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
        .beat(&sidecar_news(), now)
        .expect("the first is due");
    entry.handle(&first.datagram, now);
    assert_eq!(sidecar.beat(&sidecar_news(), now), None);
    let mut leaving = announcement(11);
    leaving.state = MinionState::Leaving;
    sidecar.announce(leaving.clone());
    let second = sidecar
        .beat(&sidecar_news(), now)
        .expect("the change is due");
    let changes = entry.handle(&second.datagram, now);
    assert_eq!(changes[0], MembershipChange::MinionChanged(leaving));
}

#[test]
fn entry_replies_at_once_to_a_new_sidecar() {
    let now = Instant::now();
    let mut entry = entry(1, &[9]);
    entry.beat(&entry_news(), now);
    entry.handle(&announce(11, 1), now);
    let reply = entry.beat(&entry_news(), now).expect("the reply is due");
    assert_eq!(reply.to, [address(11)]);
}

#[test]
fn stop_is_told_to_everyone_at_once() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    for sender in 11..30 {
        entry.handle(&announce(sender, 1), now);
    }
    entry.handle(&beat(2, 1), now);
    entry.beat(&entry_news(), now);
    let mut news = entry_news();
    news.is_stopping = true;
    let told = entry.beat(&news, now).expect("the stop is due");
    assert_eq!(told.to.len(), 20);
    assert_eq!(entry.beat(&news, now), None);
}

#[test]
fn stop_and_succession_are_told_once() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    entry.handle(&beat(2, 1), now);
    let mut said = entry_beat(2);
    said.is_stopping = true;
    said.answers_for = vec![3];
    let first = datagram(2, 2, DatagramBody::Entry(said.clone()));
    let stopping = MembershipChange::EntryStopping { entry: 2 };
    let answers_for = MembershipChange::AnswersFor {
        successor: 2,
        stopped: 3,
    };
    assert_eq!(entry.handle(&first, now), [stopping, answers_for]);
    let second = datagram(2, 3, DatagramBody::Entry(said));
    assert!(entry.handle(&second, now).is_empty());
}

#[test]
fn entry_told_of_is_not_found_until_it_is_heard() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    let mut said = entry_beat(2);
    said.known = vec![entry_address(3), entry_address(1)];
    let told = datagram(2, 1, DatagramBody::Entry(said));
    let found = MembershipChange::EntryFound(entry_address(2));
    assert_eq!(entry.handle(&told, now), [found]);
    let outgoing = entry.beat(&entry_news(), now).expect("the first is due");
    assert_eq!(outgoing.to, [address(2), address(3)]);
    let found = MembershipChange::EntryFound(entry_address(3));
    assert_eq!(entry.handle(&beat(3, 1), now), [found]);
}

#[test]
fn datagram_that_names_another_sender_is_ignored() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    let mut forged = announce(11, 1);
    forged.sender = 12;
    assert!(entry.handle(&forged, now).is_empty());
    let mut forged = beat(2, 1);
    forged.sender = 3;
    assert!(entry.handle(&forged, now).is_empty());
    assert!(entry.handle(&beat(1, 1), now).is_empty());
}

#[test]
fn newest_configuration_is_known() {
    let now = Instant::now();
    let mut entry = entry(1, &[]);
    let mut newer = beat(2, 1);
    newer.configuration = Some(7);
    entry.handle(&newer, now);
    let mut newest = announce(11, 1);
    newest.configuration = Some(8);
    entry.handle(&newest, now);
    let source = ConfigurationSource {
        peer: 11,
        version: 8,
    };
    assert_eq!(entry.ahead(None), Some(source));
    assert_eq!(entry.ahead(Some(7)), Some(source));
    assert_eq!(entry.ahead(Some(8)), None);
}

#[test]
fn sidecar_announces_to_a_bounded_number_of_entries() {
    let now = Instant::now();
    let mut sidecar = sidecar(100, &[]);
    for sender in 1..=20 {
        sidecar.handle(&beat(sender, 1), now);
    }
    let outgoing = sidecar
        .beat(&sidecar_news(), now)
        .expect("the first is due");
    assert_eq!(outgoing.to.len(), 8);
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
                    other => prop_assert!(false, "unexpected: {:?}", other),
                }
            }
            prop_assert_eq!(membership.minions().count(), live.len());
        }
    }

    #[test]
    fn suspicion_stays_within_its_bounds(spacings_ms in proptest::collection::vec(0_u64..20_000, 0..100)) {
        let settings = MembershipSettings::default();
        let mut now = Instant::now();
        let mut arrivals = Arrivals::new(Duration::from_millis(400), now);
        for spacing_ms in spacings_ms {
            now += Duration::from_millis(spacing_ms);
            arrivals.arrived(now);
            let timeout = arrivals.timeout(&settings);
            prop_assert!(timeout >= FLOOR);
            prop_assert!(timeout <= Duration::from_secs(10));
            prop_assert!(!arrivals.is_suspect(&settings, now + FLOOR));
            prop_assert!(arrivals.is_suspect(&settings, now + Duration::from_millis(10_001)));
        }
    }

    #[test]
    fn steady_heartbeats_are_never_suspect(spacing_ms in 50_u64..800, jitter_percent in 0_u64..30) {
        let settings = MembershipSettings::default();
        let mut now = Instant::now();
        let mut arrivals = Arrivals::new(Duration::from_millis(400), now);
        for step in 0..500 {
            let extra_ms = spacing_ms * jitter_percent * (step % 3) / 200;
            now += Duration::from_millis(spacing_ms + extra_ms);
            prop_assert!(step < 20 || !arrivals.is_suspect(&settings, now));
            arrivals.arrived(now);
        }
    }

    #[test]
    fn choice_changes_little_when_a_candidate_goes(
        chooser: u64,
        candidates in proptest::collection::btree_set(any::<u64>(), 10..60),
        gone in 0_usize..10,
    ) {
        let before = choose(chooser, candidates.iter().copied(), 8);
        let gone = *candidates.iter().nth(gone).expect("there are ten");
        let left = candidates.iter().copied().filter(|candidate| *candidate != gone);
        let after = choose(chooser, left, 8);
        prop_assert_eq!(after.len(), 8);
        let kept_count = before.iter().filter(|chosen| after.contains(chosen)).count();
        prop_assert!(kept_count >= 7);
        prop_assert!(before.contains(&gone) || kept_count == 8);
    }
}
