//! Entries tell each other the configuration and where sidecars are, whatever the network does.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::dispatch::configuration::{Configuration, Queue, Terms};
use knapweedrill::dispatch::entry::{Entry, EntrySettings, Source};
use knapweedrill::dispatch::message::Role;
use knapweedrill::dispatch::session::{Identity, SessionSettings, Sessions};
use knapweedrill::dispatch::{Packet, Place, Room};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

const TICK_INTERVAL: Duration = Duration::from_millis(10);

fn entry_address(index: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(index).expect("few entries");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn place(index: u16) -> Place {
    Place {
        vm: format!("vm-{index}"),
        address: SocketAddr::from(([127, 0, 0, 2], 20_000 + index)),
        service: "service".into(),
        capacity: Room {
            cpu_millicores: 64_000,
            memory_mib: 131_072,
            accelerator_count: 0,
        },
        labels: vec!["a".into(), format!("rack-{}", index / 20)],
    }
}

fn configuration(version: u64, queue_count: usize) -> Configuration {
    let queue = |index| Queue {
        name: format!("queue-{index}-of-a-configuration-with-many-of-them"),
        host: format!("v{version}.example"),
        path_prefix: format!("/{index}/"),
        service: "service".into(),
        terms: Terms {
            priority: 0,
            attempt_count_max: 1,
            stretch_permille: 1_000,
            target_latency: Duration::ZERO,
        },
        has_advice: false,
    };
    Configuration {
        version,
        queues: (0..queue_count).map(queue).collect(),
        body_bytes_max: 1_000,
    }
}

/// Entries and a network that loses a share of the datagrams.
struct Network {
    now: Instant,
    entries: Vec<Entry>,
    lost_percent: u32,
    random: SmallRng,
    sent_counts: Vec<usize>,
}

impl Network {
    /// Entries that know the first one and nothing else.
    fn new(entry_count: usize, lost_percent: u32, seed: u64) -> Self {
        let now = Instant::now();
        let entries = (0..entry_count).map(|index| {
            let identity = Identity {
                incarnation: index as u64 + 1,
                role: Role::Entry,
                started_at: now,
            };
            let settings = EntrySettings {
                seed: seed * 1_000 + index as u64,
                ..EntrySettings::default()
            };
            let sessions = Sessions::new(identity, SessionSettings::default());
            let mut entry = Entry::new(settings, sessions);
            if index > 0 {
                entry.add_peer(entry_address(0), None);
            }
            entry
        });
        Self {
            now,
            entries: entries.collect(),
            lost_percent,
            random: SmallRng::seed_from_u64(seed),
            sent_counts: vec![0; entry_count],
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK_INTERVAL;
            for index in 0..self.entries.len() {
                self.entries[index].tick(self.now);
            }
            // Answers go out in the same step, as round trips are shorter.
            for _ in 0..2 {
                for index in 0..self.entries.len() {
                    self.deliver_from(index);
                }
            }
        }
    }

    fn deliver_from(&mut self, from: usize) {
        for (to, packet) in self.entries[from].poll(self.now) {
            let to = usize::from(to.port()).checked_sub(10_000);
            let Some(to) = to.filter(|to| *to < self.entries.len()) else {
                continue;
            };
            if matches!(packet, Packet::Notice(_)) {
                self.sent_counts[from] += 1;
            }
            if self.random.random_range(0..100) >= self.lost_percent {
                self.entries[to].receive(entry_address(from), packet, self.now);
            }
        }
    }
}

/// Pattern: an entry starts while the store is down; it knows the address of one that runs.
#[test_case(0, 2; "nothing lost")]
#[test_case(30, 6; "a third of all datagrams lost")]
fn entry_that_starts_alone_is_whole_within_seconds(lost_percent: u32, seconds: u64) {
    let mut network = Network::new(2, lost_percent, 7);
    let now = network.now;
    for index in 0..240 {
        network.entries[0].add_sidecar(place(index), Source::First);
    }
    // Some thirty pieces.
    network.entries[0].configure(configuration(9, 2_000), "store", now);
    network.run(Duration::from_secs(seconds));
    assert_eq!(network.entries[1].version(), 9);
    assert_eq!(network.entries[1].directory().len(), 240);
}

/// Pattern: the store turns all entries but one away while the configuration changes.
#[test_case(12, 0)]
#[test_case(60, 10)]
fn news_reach_all_entries_in_time(entry_count: usize, lost_percent: u32) {
    let mut network = Network::new(entry_count, lost_percent, 3);
    network.run(Duration::from_secs(5));
    let now = network.now;
    let last = entry_count - 1;
    network.entries[last].configure(configuration(4, 3), "store", now);
    network.entries[last].add_sidecar(place(1), Source::First);
    network.run(Duration::from_millis(4_000));
    let versions: Vec<_> = network.entries.iter().map(Entry::version).collect();
    assert!(versions.iter().all(|version| *version == 4), "{versions:?}");
    let known = network
        .entries
        .iter()
        .filter(|entry| !entry.directory().is_empty());
    assert_eq!(known.count(), entry_count);
}

/// What an entry sends does not depend on how many there are.
#[test]
fn gossip_costs_no_more_among_many_entries() {
    let cost = |entry_count: usize| {
        let mut network = Network::new(entry_count, 0, 5);
        let now = network.now;
        for entry in &mut network.entries {
            entry.configure(configuration(1, 1), "store", now);
            entry.add_sidecar(place(1), Source::First);
        }
        network.run(Duration::from_secs(10));
        network.sent_counts.fill(0);
        network.run(Duration::from_secs(10));
        network.sent_counts.iter().sum::<usize>() / entry_count
    };
    let (few, many) = (cost(6), cost(120));
    assert!(many * 10 <= few * 12, "{few} and {many} in ten seconds");
}

/// Pattern: an older configuration comes late, in pieces, while a newer one is in force.
#[test]
fn configuration_of_a_peer_never_goes_back() {
    let mut network = Network::new(2, 0, 1);
    let now = network.now;
    network.entries[0].configure(configuration(5, 2_000), "store", now);
    network.entries[1].configure(configuration(6, 1), "store", now);
    network.run(Duration::from_secs(3));
    let versions: Vec<_> = network.entries.iter().map(Entry::version).collect();
    assert_eq!(versions, [6, 6]);
}

/// Pattern: a VM is replaced by one with its name at another address; another entry still tells the old one.
#[test]
fn old_place_told_by_another_entry_is_not_believed() {
    let mut network = Network::new(1, 0, 1);
    let entry = &mut network.entries[0];
    entry.add_sidecar(place(1), Source::First);
    let moved = Place {
        address: SocketAddr::from(([127, 0, 0, 2], 30_000)),
        ..place(1)
    };
    entry.add_sidecar(moved.clone(), Source::First);
    entry.add_sidecar(place(1), Source::Entry);
    let known: Vec<_> = entry.directory().page(0).cloned().collect();
    assert_eq!(known, [moved]);
}
