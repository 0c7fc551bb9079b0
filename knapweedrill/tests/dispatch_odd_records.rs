//! An odd record of a sidecar or entry, or an odd request, hides no other and ends no process.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::dispatch::entry::{Entry, EntrySettings, Source};
use knapweedrill::dispatch::message::Role;
use knapweedrill::dispatch::session::{Identity, SessionSettings, Sessions};
use knapweedrill::dispatch::{Packet, Resources, SidecarRecord};

const RESOURCES_MAX: Resources = Resources {
    cpu_millicores: u32::MAX,
    memory_mib: u32::MAX,
    accelerator_count: u32::MAX,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn record(vm: &str, port: u16) -> SidecarRecord {
    SidecarRecord {
        vm: vm.into(),
        address: address(port),
        service: "service".into(),
        capacity: RESOURCES_MAX,
        labels: Vec::new(),
    }
}

fn entry(now: Instant) -> Entry {
    let identity = Identity {
        incarnation: 11,
        role: Role::Entry,
        started_at: now,
    };
    let sessions = Sessions::new(identity, SessionSettings::default());
    Entry::new(EntrySettings::default(), sessions)
}

/// Runs an entry for some seconds and returns what it sent.
fn sent(entry: &mut Entry, now: Instant) -> Vec<(SocketAddr, Packet)> {
    let mut sent = Vec::new();
    for tick in 0..600 {
        let now = now + Duration::from_millis(10) * tick;
        entry.tick(now);
        sent.extend(entry.poll(now));
    }
    sent
}

fn receivers(sent: &[(SocketAddr, Packet)]) -> HashSet<SocketAddr> {
    sent.iter().map(|(to, _)| *to).collect()
}

/// Guards against a sidecar that is lost to all sessions because another one had its address before
/// and has moved on.
#[test]
fn sidecar_keeps_its_address_when_the_former_owner_moves() {
    let now = Instant::now();
    let mut entry = entry(now);
    entry.add_sidecar(record("former", 1), Source::First);
    entry.add_sidecar(record("owner", 1), Source::First);
    entry.add_sidecar(record("former", 2), Source::First);
    let receivers = receivers(&sent(&mut entry, now));
    assert_eq!(receivers, HashSet::from([address(1), address(2)]));
}

/// Guards against an entry that gets no gossip because another one had its address before and has
/// moved on.
#[test]
fn entry_keeps_its_address_when_the_former_owner_moves() {
    let now = Instant::now();
    let mut entry = entry(now);
    entry.add_peer(address(1), Some("former".into()));
    entry.add_peer(address(1), Some("owner".into()));
    entry.add_peer(address(2), Some("former".into()));
    let receivers = receivers(&sent(&mut entry, now));
    assert_eq!(receivers, HashSet::from([address(1), address(2)]));
}
