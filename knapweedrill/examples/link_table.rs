//! The link table: one session with each peer, whatever its connections do.
//!
//! The table owns no socket. It is told what happened to connections and returns what to do:
//! dial, send, close. A session opens with a greeting and is replaced when its connection goes
//! silent, even if nothing ever closed it.
//!
//! Run it with `cargo run -p knapweedrill --example link_table`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::link::{
    Identity, LinkAction, LinkTable, LinkTableEvent, SessionSettings, WantedPeer,
};
use knapweedrill::message::{Hello, Message, PROTOCOL_VERSION, Role};

const SIDECAR: u64 = 20;
const SILENCE: Duration = Duration::from_secs(60);
const SEED: u64 = 1;

fn main() {
    let now = Instant::now();
    let address: SocketAddr = ([127, 0, 0, 1], 7001).into();
    let own = Identity {
        incarnation: 10,
        role: Role::Entry,
        name: "entry-1".to_owned(),
    };
    let mut table = LinkTable::new(own, SessionSettings::default(), SEED);

    // An entry dials the sidecars that it wants.
    let wanted = WantedPeer {
        incarnation: SIDECAR,
        role: Role::Sidecar,
        address,
    };
    assert_eq!(table.want(wanted, now), [LinkAction::Dial { address }]);

    // The connection opens, and the peer greets back in the session.
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
    let greeting = LinkTableEvent::Frame {
        link: 1,
        session: 1,
        message: Message::Hello(hello),
    };
    println!("after the greeting: {:?}", table.handle(greeting, now));
    assert!(table.is_up(SIDECAR));

    // Nothing is heard any more, and no error tells of it: the session ends all the same.
    let actions = table.handle(LinkTableEvent::Tick, now + SILENCE);
    println!("after a minute of silence: {actions:?}");
    assert!(!table.is_up(SIDECAR));
}
