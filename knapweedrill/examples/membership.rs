//! Membership: entries and sidecars find each other without a registry.
//!
//! Every process knows the addresses of some entries from its settings. A sidecar announces its
//! minion to the entries by heartbeats; an entry that hears it tells it of the other entries. Who
//! falls silent is lost after a few heartbeats.
//!
//! Run it with `cargo run -p knapweedrill --example membership`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::common::HybridTime;
use knapweedrill::membership::{
    EntryMembership, MembershipSettings, SidecarMembership, SidecarNews,
};
use knapweedrill::message::{PeerAddress, Role, SlotReport};
use knapweedrill::minion::{Announcement, MinionState};

const SILENCE: Duration = Duration::from_secs(60);

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

    // The sidecar's first heartbeat goes to the entries of its settings.
    let news = SidecarNews {
        clock: HybridTime::default(),
        configuration: None,
        report: SlotReport::default(),
    };
    let beat = sidecar
        .beat(&news, now)
        .expect("the first heartbeat is due");
    println!("the heartbeat goes to {:?}", beat.to);

    // The entry hears of the minion.
    let changes = entry.handle(&beat.datagram, now);
    println!("the entry learns {changes:?}");
    assert_eq!(entry.minions().count(), 1);

    // The sidecar falls silent, and its minion is lost.
    let changes = entry.tick(now + SILENCE);
    println!("a minute later: {changes:?}");
    assert!(!changes.is_empty());
}
