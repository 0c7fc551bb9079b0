//! Gossip between entries spreads the configuration and the records of sidecars despite lost
//! datagrams.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::dispatch::configuration::{Configuration, Queue, QueuePolicy};
use knapweedrill::dispatch::entry::{Entry, EntrySettings, EvacuationUpdate, Source};
use knapweedrill::dispatch::message::Role;
use knapweedrill::dispatch::session::{Identity, SessionSettings, Sessions};
use knapweedrill::dispatch::{Packet, Resources, SidecarRecord};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

const TICK_INTERVAL: Duration = Duration::from_millis(10);

fn entry_address(index: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(index).expect("few entries");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn sidecar_record(index: u16) -> SidecarRecord {
    SidecarRecord {
        vm: format!("vm-{index}"),
        address: SocketAddr::from(([127, 0, 0, 2], 20_000 + index)),
        service: "service".into(),
        capacity: Resources {
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
        policy: QueuePolicy {
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

/// A simulated network between entries that loses a share of the datagrams.
struct Network {
    now: Instant,
    entries: Vec<Entry>,
    loss_percent: u32,
    random: SmallRng,
    sent_counts: Vec<usize>,
    /// The length of the longest datagram.
    bytes_max: usize,
}

impl Network {
    /// Creates entries that only know the address of the first one.
    fn new(entry_count: usize, loss_percent: u32, seed: u64) -> Self {
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
            loss_percent,
            random: SmallRng::seed_from_u64(seed),
            sent_counts: vec![0; entry_count],
            bytes_max: 0,
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK_INTERVAL;
            for index in 0..self.entries.len() {
                self.entries[index].tick(self.now);
            }
            // Answers are sent in the same tick because round trips are shorter than it.
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
            let bytes = postcard::to_stdvec(&packet).expect("packets can be encoded");
            self.bytes_max = self.bytes_max.max(bytes.len());
            if self.random.random_range(0..100) >= self.loss_percent {
                self.entries[to].receive(entry_address(from), packet, self.now);
            }
        }
    }
}

/// An entry starts while the store is down and only knows the address of one running entry.
#[test_case(0, 2; "nothing lost")]
#[test_case(30, 6; "30 percent of all datagrams lost")]
fn starting_entry_fetches_all_state_from_one_peer(loss_percent: u32, seconds: u64) {
    let mut network = Network::new(2, loss_percent, 7);
    let now = network.now;
    for index in 0..240 {
        network.entries[0].add_sidecar(sidecar_record(index), Source::First);
    }
    // About thirty parts.
    network.entries[0].configure(configuration(9, 2_000), "store", now);
    network.run(Duration::from_secs(seconds));
    assert_eq!(network.entries[1].version(), 9);
    assert_eq!(network.entries[1].directory().len(), 240);
}

/// Only one entry can reach the store when the configuration changes and a sidecar registers.
#[test_case(12, 0)]
#[test_case(60, 10)]
fn changes_reach_all_entries_in_time(entry_count: usize, loss_percent: u32) {
    let mut network = Network::new(entry_count, loss_percent, 3);
    network.run(Duration::from_secs(5));
    let now = network.now;
    let last = entry_count - 1;
    network.entries[last].configure(configuration(4, 3), "store", now);
    network.entries[last].add_sidecar(sidecar_record(1), Source::First);
    network.run(Duration::from_millis(4_000));
    let versions: Vec<_> = network.entries.iter().map(Entry::version).collect();
    assert!(versions.iter().all(|version| *version == 4), "{versions:?}");
    let known = network
        .entries
        .iter()
        .filter(|entry| !entry.directory().is_empty());
    assert_eq!(known.count(), entry_count);
}

#[test]
fn gossip_traffic_of_an_entry_does_not_grow_with_their_number() {
    let messages_per_entry = |entry_count: usize| {
        let mut network = Network::new(entry_count, 0, 5);
        let now = network.now;
        for entry in &mut network.entries {
            entry.configure(configuration(1, 1), "store", now);
            entry.add_sidecar(sidecar_record(1), Source::First);
        }
        network.run(Duration::from_secs(10));
        network.sent_counts.fill(0);
        network.run(Duration::from_secs(10));
        network.sent_counts.iter().sum::<usize>() / entry_count
    };
    let (few, many) = (messages_per_entry(6), messages_per_entry(120));
    assert!(
        many * 10 <= few * 12,
        "{few} messages per entry among 6 entries, {many} among 120, in 10 s"
    );
}

/// A peer has an older configuration of many parts while a newer one is in force.
#[test]
fn older_configuration_of_a_peer_is_ignored() {
    let mut network = Network::new(2, 0, 1);
    let now = network.now;
    network.entries[0].configure(configuration(5, 2_000), "store", now);
    network.entries[1].configure(configuration(6, 1), "store", now);
    network.run(Duration::from_secs(3));
    let versions: Vec<_> = network.entries.iter().map(Entry::version).collect();
    assert_eq!(versions, [6, 6]);
}

/// A VM was replaced by one of the same name at another address, and a peer still gossips the old
/// address.
#[test]
fn stale_record_from_a_peer_is_ignored() {
    let mut network = Network::new(1, 0, 1);
    let entry = &mut network.entries[0];
    entry.add_sidecar(sidecar_record(1), Source::First);
    let moved = SidecarRecord {
        address: SocketAddr::from(([127, 0, 0, 2], 30_000)),
        ..sidecar_record(1)
    };
    entry.add_sidecar(moved.clone(), Source::First);
    entry.add_sidecar(sidecar_record(1), Source::Entry);
    let known: Vec<_> = entry.directory().page(0).cloned().collect();
    assert_eq!(known, [moved]);
}

/// Only one entry can reach the store when the operator evacuates a zone. Guards against entries that
/// do not learn of it in time.
#[test_case(12, 0)]
#[test_case(60, 10)]
fn evacuation_reaches_all_entries_in_time(entry_count: usize, loss_percent: u32) {
    let mut network = Network::new(entry_count, loss_percent, 3);
    network.run(Duration::from_secs(5));
    let update = EvacuationUpdate::Snapshot {
        revision: 4,
        domains: vec!["zone".into()],
    };
    let now = network.now;
    network.entries[entry_count - 1].update_evacuations(update, now);
    network.run(Duration::from_millis(4_000));
    let knows = |entry: &&Entry| entry.evacuations().contains("zone");
    assert_eq!(network.entries.iter().filter(knows).count(), entry_count);
}

/// Guards against a datagram that is too long to arrive because of many odd records, and with it against
/// the loss of all other gossip. A set that was cut short would return the rest to service.
#[test]
fn set_of_domains_that_is_too_long_is_not_gossiped() {
    let mut network = Network::new(2, 0, 3);
    let now = network.now;
    let domains = |count| (0..count).map(|index| format!("{index:0240}")).collect();
    let long = EvacuationUpdate::Snapshot {
        revision: 4,
        domains: domains(1_000),
    };
    network.entries[0].update_evacuations(long, now);
    network.entries[0].add_sidecar(sidecar_record(1), Source::First);
    network.run(Duration::from_secs(4));
    assert_eq!(network.entries[1].directory().len(), 1);
    assert_eq!(network.entries[1].evacuations().revision(), 0);
    let short = EvacuationUpdate::Snapshot {
        revision: 5,
        domains: domains(16),
    };
    network.entries[0].update_evacuations(short, now);
    network.run(Duration::from_secs(4));
    assert_eq!(network.entries[1].evacuations().domains().count(), 16);
    assert!(network.bytes_max < 8_192, "{} bytes", network.bytes_max);
}
