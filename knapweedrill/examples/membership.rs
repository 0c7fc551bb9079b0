//! Membership: entries and sidecars discover each other without a service registry.
//!
//! The settings of every process hold the addresses of some seed entries. A sidecar announces its
//! minion to the entries in heartbeats, and an entry that receives one replies with the other
//! entries it knows. A process whose heartbeats stop is considered lost after a few periods.
//!
//! Run it with `cargo run -p knapweedrill --example membership`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::common::HybridTime;
use knapweedrill::membership::{
    EntryMembership, MembershipSettings, SidecarHeartbeatData, SidecarMembership,
};
use knapweedrill::message::{PeerAddress, Role, SlotReport};
use knapweedrill::minion::{Announcement, MinionState};

const SILENT_TIME: Duration = Duration::from_secs(60);

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn main() {
    let now = Instant::now();
    let mut entry = EntryMembership::new(
        PeerAddress {
            incarnation: 1,
            name: "entry-1".to_owned(),
            role: Role::Entry,
            failure_domain: "fd-1".to_owned(),
            link_address: address(7001),
            http_address: address(7000),
        },
        Vec::new(),
        MembershipSettings::default(),
    );
    let mut sidecar = SidecarMembership::new(
        Announcement {
            name: "sidecar-1".to_owned(),
            sidecar: 2,
            link_address: address(7011),
            http_address: address(7010),
            service: "embossing".to_owned(),
            worker: "worker-1".to_owned(),
            failure_domain: "fd-1".to_owned(),
            slots: 8,
            speed_hint_percent: 100,
            state: MinionState::Serving,
        },
        vec![address(7001)],
        MembershipSettings::default(),
    );

    // The first heartbeat of the sidecar goes to the seed entries.
    let news = SidecarHeartbeatData {
        clock: HybridTime::default(),
        configuration: None,
        report: SlotReport::default(),
    };
    let heartbeat = sidecar
        .next_heartbeat(&news, now)
        .expect("the first heartbeat is due");
    println!("the heartbeat is sent to {:?}", heartbeat.recipients);

    // The entry receives the heartbeat and adds the minion.
    let changes = entry.handle(&heartbeat.datagram, now);
    println!("changes at the entry: {changes:?}");
    assert_eq!(entry.minions().count(), 1);

    // No more heartbeats arrive, and the entry removes the minion.
    let changes = entry.tick(now + SILENT_TIME);
    println!("changes after a minute without heartbeats: {changes:?}");
    assert!(!changes.is_empty());
}
