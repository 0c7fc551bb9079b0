//! What an entry sends does not depend on the order of a hash map.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::dispatch::entry::{Entry, EntrySettings, Source};
use knapweedrill::dispatch::message::Role;
use knapweedrill::dispatch::session::{Identity, SessionSettings, Sessions};
use knapweedrill::dispatch::{Resources, SidecarRecord};

const SERVICE_COUNT: u16 = 4;

/// Returns the addresses to which a new entry sends its first datagrams, in this order, if it knows
/// one sidecar of each service.
fn first_addresses(now: Instant) -> Vec<SocketAddr> {
    let identity = Identity {
        incarnation: 1,
        role: Role::Entry,
        started_at: now,
    };
    let sessions = Sessions::new(identity, SessionSettings::default());
    let mut entry = Entry::new(EntrySettings::default(), sessions);
    for index in 0..SERVICE_COUNT {
        let record = SidecarRecord {
            vm: format!("vm-{index}"),
            address: SocketAddr::from(([127, 0, 0, 2], 20_000 + index)),
            service: format!("service-{index}"),
            capacity: Resources {
                cpu_millicores: 1_000,
                memory_mib: 1_024,
                accelerator_count: 0,
            },
            labels: Vec::new(),
        };
        entry.add_sidecar(record, Source::First);
    }
    let now = now + Duration::from_secs(1);
    entry.tick(now);
    let datagrams = entry.poll(now).into_iter();
    datagrams.map(|(to, _)| to).collect()
}

/// Guards against sessions that are opened in another order by each entry of the same seed.
#[test]
fn entries_of_one_seed_open_the_sessions_of_several_services_in_one_order() {
    let now = Instant::now();
    let first = first_addresses(now);
    assert_eq!(first.len(), usize::from(SERVICE_COUNT));
    for _ in 0..20 {
        assert_eq!(first_addresses(now), first);
    }
}
