//! The link table: at most one open session per peer, across reconnects.
//!
//! The table does no I/O. It receives connection events and returns the actions to take: dial,
//! send, close. A session opens with a `Hello` handshake and ends when nothing is received within
//! the silence timeout, even if no connection error is reported.
//!
//! Run it with `cargo run -p knapweedrill --example link_table`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::link::{
    Identity, LinkAction, LinkTable, LinkTableEvent, PeerEndpoint, SessionSettings,
};
use knapweedrill::message::{Hello, Message, PROTOCOL_VERSION, Role};

const SIDECAR: u64 = 20;
const SILENT_TIME: Duration = Duration::from_secs(60);
const SEED: u64 = 1;

fn main() {
    let now = Instant::now();
    let address: SocketAddr = ([127, 0, 0, 1], 7001).into();
    let own_identity = Identity {
        incarnation: 10,
        role: Role::Entry,
        name: "entry-1".to_owned(),
    };
    let mut table = LinkTable::new(own_identity, SessionSettings::default(), SEED);

    // The entry requests a session with a sidecar, and the table asks it to dial.
    let wanted = PeerEndpoint {
        incarnation: SIDECAR,
        role: Role::Sidecar,
        address,
    };
    assert_eq!(table.add_peer(wanted, now), [LinkAction::Dial { address }]);

    // The connection opens, and the peer answers with its own `Hello` in the same session.
    let opened = LinkTableEvent::Opened {
        link: 1,
        dialled: Some(address),
    };
    table.handle(opened, now);
    let hello = Hello {
        protocol_version: PROTOCOL_VERSION,
        incarnation: SIDECAR,
        role: Role::Sidecar,
        name: "sidecar-1".to_owned(),
        session: 1,
    };
    let peer_hello = LinkTableEvent::Frame {
        link: 1,
        session: 1,
        message: Message::Hello(hello),
    };
    println!("after the handshake: {:?}", table.handle(peer_hello, now));
    assert!(table.is_connected(SIDECAR));

    // Nothing more is received and no error is reported: the silence timeout ends the session.
    let actions = table.handle(LinkTableEvent::Tick, now + SILENT_TIME);
    println!("after a minute of silence: {actions:?}");
    assert!(!table.is_connected(SIDECAR));
}
