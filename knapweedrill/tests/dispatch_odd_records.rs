//! An odd record of a sidecar or entry, or an odd request, hides no other and ends no process.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::dispatch::configuration::{Configuration, Queue, QueuePolicy};
use knapweedrill::dispatch::entry::{Entry, EntrySettings, Source, StepRequest, Submission};
use knapweedrill::dispatch::message::Role;
use knapweedrill::dispatch::session::{Identity, SessionSettings, Sessions};
use knapweedrill::dispatch::{JobName, Notice, Packet, Resources, SidecarRecord};
use smallvec::SmallVec;
use test_case::test_case;

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

/// Guards against records of sidecars that can't be reached, or that are too long to be passed on.
#[test_case(|record| record.address = address(0); "port 0")]
#[test_case(|record| record.address = SocketAddr::from(([0, 0, 0, 0], 7)); "unspecified address")]
#[test_case(|record| record.address = SocketAddr::from(([255, 255, 255, 255], 7)); "broadcast address")]
#[test_case(|record| record.address = SocketAddr::from(([224, 0, 0, 1], 7)); "multicast address")]
#[test_case(|record| record.vm.clear(); "empty name")]
#[test_case(|record| record.vm = "v".repeat(60_000); "long name")]
#[test_case(|record| record.labels = vec!["label".into(); 10_000]; "many labels")]
#[test_case(|record| record.labels = vec![String::new(); 10_000]; "many empty labels")]
fn odd_record_of_a_sidecar_is_ignored(change: fn(&mut SidecarRecord)) {
    let mut odd = record("odd", 9);
    change(&mut odd);
    let now = Instant::now();
    let mut entry = entry(now);
    entry.add_sidecar(odd.clone(), Source::First);
    let announcement = Packet::Notice(Notice::SidecarAnnouncement(odd.clone()));
    entry.receive(address(8), announcement, now);
    let page = Packet::Notice(Notice::SidecarPage {
        offset: 0,
        count: 2,
        sidecars: vec![odd, record("sound", 1)],
    });
    entry.receive(address(8), page, now);
    assert_eq!(entry.directory().len(), 1);
    let receivers = receivers(&sent(&mut entry, now));
    assert_eq!(receivers, HashSet::from([address(1)]));
}

/// Guards against records whose page is too long for a datagram, so that an entry that starts never
/// gets the list.
#[test]
fn page_of_the_longest_records_fits_into_a_datagram() {
    const DATAGRAM_BYTES_MAX: usize = 65_507;
    let now = Instant::now();
    let mut entry = entry(now);
    for index in 0..200_u16 {
        for label_bytes in (0..2_000).step_by(100) {
            let mut record = record(&format!("vm-{index}-{label_bytes}"), 1 + index);
            record.labels = vec!["l".repeat(label_bytes)];
            entry.add_sidecar(record, Source::First);
        }
    }
    for offset in 0..1_000 {
        let request = Packet::Notice(Notice::SidecarPageRequest { offset });
        entry.receive(address(9), request, now);
    }
    let sent = entry.poll(now);
    let lengths = sent.iter().map(|(_, packet)| {
        postcard::to_stdvec(packet)
            .expect("it can be encoded")
            .len()
    });
    assert!(lengths.max().expect("pages are sent") <= DATAGRAM_BYTES_MAX);
}

fn configuration() -> Configuration {
    Configuration {
        version: 5,
        queues: vec![Queue {
            name: "queue".into(),
            host: "host".into(),
            path_prefix: "/".into(),
            service: "service".into(),
            policy: QueuePolicy {
                priority: 1,
                attempt_count_max: u32::MAX,
                stretch_permille: u32::MAX,
                target_latency: Duration::from_millis(u64::MAX),
            },
            has_advice: false,
        }],
        body_bytes_max: u32::MAX,
    }
}

/// Guards against an overflow in the sum of waiting work.
#[test]
fn work_of_the_largest_jobs_is_added_up() {
    let now = Instant::now();
    let mut entry = entry(now);
    entry.configure(configuration(), "test", now);
    entry.add_sidecar(record("vm", 1), Source::First);
    for name in 0..4 {
        let step = StepRequest {
            task_count: 1_000,
            resources: RESOURCES_MAX,
            estimate: Duration::MAX,
            after: SmallVec::new(),
            required_label: None,
            per_minion_max: None,
            data_rack: None,
        };
        let submission = Submission {
            name: JobName(name),
            host: "host".into(),
            path: "/x".into(),
            spec: String::new(),
            steps: vec![step],
            caller_timeout: Duration::MAX,
            is_supported: true,
        };
        entry.submit(name, submission, now);
    }
    assert!(entry.job_count() > 0);
    sent(&mut entry, now);
}
