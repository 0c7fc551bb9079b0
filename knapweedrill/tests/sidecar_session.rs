//! Tests of the slot report that a sidecar sends when a session opens.

use std::net::SocketAddr;
use std::time::Instant;

use knapweedrill::message::Message;
use knapweedrill::minion::MinionState;
use knapweedrill::sidecar::{MinionNotice, Sidecar, SidecarAction, SidecarEvent, SidecarSettings};

const SIDECAR: u64 = 11;
const ENTRY: u64 = 1;

fn notice() -> MinionNotice {
    let address: SocketAddr = "127.0.0.1:8000".parse().expect("a valid address");
    MinionNotice {
        service: "embossing".to_owned(),
        address,
        slots: 8,
        speed_hint_percent: 100,
        state: MinionState::Serving,
    }
}

#[test]
fn free_slots_are_reported_at_once() {
    let now = Instant::now();
    let mut sidecar = Sidecar::new(SIDECAR, SidecarSettings::new());
    let mut actions = Vec::new();
    sidecar.handle(SidecarEvent::MinionAnnounced(notice()), now, &mut actions);
    sidecar.handle(
        SidecarEvent::PeerConnected { peer: ENTRY },
        now,
        &mut actions,
    );
    actions.clear();

    sidecar.flush(now, &mut actions);
    let reported: Vec<u32> = actions
        .iter()
        .filter_map(|action| match action {
            SidecarAction::Send {
                peer: ENTRY,
                message: Message::Slots { report, .. },
            } => Some(report.free_count),
            _ => None,
        })
        .collect();
    assert_eq!(reported, [8]);

    actions.clear();
    sidecar.flush(now, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
}
