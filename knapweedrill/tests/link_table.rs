//! Tests of link sessions: dialling side, rejected hellos, fencing, timeouts and backoff.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::common::Incarnation;
use knapweedrill::link::{
    Identity, LinkAction, LinkTable, LinkTableEvent, PeerEndpoint, SessionSettings,
};
use knapweedrill::message::{Hello, Message, PROTOCOL_VERSION, Role};
use test_case::test_case;

const OWN: Incarnation = 10;
const PEER: Incarnation = 20;
const TICK: Duration = Duration::from_millis(50);

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 1000).into()
}

fn table(incarnation: Incarnation, role: Role) -> LinkTable {
    let own = Identity {
        incarnation,
        role,
        name: "own".into(),
    };
    LinkTable::new(own, SessionSettings::default(), 1)
}

fn endpoint(incarnation: Incarnation, role: Role) -> PeerEndpoint {
    PeerEndpoint {
        incarnation,
        role,
        address: address(),
    }
}

fn hello(incarnation: Incarnation, role: Role, session: u64) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        incarnation,
        role,
        name: "peer".into(),
        session,
    }
}

fn frame(link: u64, session: u64, message: Message) -> LinkTableEvent {
    LinkTableEvent::Frame {
        link,
        session,
        message,
    }
}

fn hello_frame(link: u64, hello: Hello) -> LinkTableEvent {
    frame(link, hello.session, Message::Hello(hello))
}

fn inbound(link: u64) -> LinkTableEvent {
    LinkTableEvent::Opened {
        link,
        dialled: None,
    }
}

fn outbound(link: u64) -> LinkTableEvent {
    LinkTableEvent::Opened {
        link,
        dialled: Some(address()),
    }
}

fn dial() -> LinkAction {
    LinkAction::Dial { address: address() }
}

fn has_connected(actions: &[LinkAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, LinkAction::PeerConnected { .. }))
}

/// Returns the table of an entry with an open session 1 to a sidecar on link 1.
fn connected_dialler(now: Instant) -> LinkTable {
    let mut table = table(OWN, Role::Entry);
    assert_eq!(table.add_peer(endpoint(PEER, Role::Sidecar), now), [dial()]);
    table.handle(outbound(1), now);
    let actions = table.handle(hello_frame(1, hello(PEER, Role::Sidecar, 1)), now);
    assert!(has_connected(&actions));
    table
}

/// Returns the table of a sidecar with an open session 5 from an entry on link 1.
fn connected_listener(now: Instant) -> LinkTable {
    let mut table = table(OWN, Role::Sidecar);
    table.handle(inbound(1), now);
    let actions = table.handle(hello_frame(1, hello(PEER, Role::Entry, 5)), now);
    assert!(has_connected(&actions));
    table
}

#[test_case(Role::Entry, Role::Sidecar, PEER, true; "entry dials sidecar")]
#[test_case(Role::Entry, Role::Sidecar, 1, true; "entry dials sidecar of smaller incarnation")]
#[test_case(Role::Entry, Role::Entry, PEER, true; "entry dials entry of greater incarnation")]
#[test_case(Role::Entry, Role::Entry, 1, false; "entry waits for entry of smaller incarnation")]
#[test_case(Role::Sidecar, Role::Entry, PEER, false; "sidecar waits for entry")]
#[test_case(Role::Sidecar, Role::Sidecar, PEER, false; "sidecar ignores sidecar")]
fn exactly_one_side_dials(own: Role, other: Role, peer: Incarnation, dials: bool) {
    let actions = table(OWN, own).add_peer(endpoint(peer, other), Instant::now());
    assert_eq!(actions == [dial()], dials);
    assert_eq!(actions.is_empty(), !dials);
}

#[test]
fn listener_replies_before_it_reports_the_peer_connected() {
    let now = Instant::now();
    let mut table = table(OWN, Role::Sidecar);
    assert!(table.handle(inbound(1), now).is_empty());
    let actions = table.handle(hello_frame(1, hello(PEER, Role::Entry, 5)), now);
    assert!(matches!(
        &actions[..],
        [
            LinkAction::Send { link: 1, session: 5, message: Message::Hello(reply) },
            LinkAction::PeerConnected { peer: PEER, session: 5, .. },
        ] if reply.incarnation == OWN && reply.session == 5
    ));
}

#[test_case(|hello| hello.protocol_version += 1; "another version")]
#[test_case(|hello| hello.role = Role::Sidecar; "a sidecar that dials")]
fn hello_is_refused(change: fn(&mut Hello)) {
    let now = Instant::now();
    let mut table = table(OWN, Role::Sidecar);
    table.handle(inbound(1), now);
    let mut hello = hello(PEER, Role::Entry, 5);
    change(&mut hello);
    let actions = table.handle(hello_frame(1, hello), now);
    assert_eq!(actions, [LinkAction::Close { link: 1 }]);
    assert_eq!(table.counts().refused_hello_count, 1);
}

#[test_case(|hello| hello.protocol_version += 1; "another version")]
#[test_case(|hello| hello.incarnation += 1; "another incarnation at the address")]
#[test_case(|hello| hello.role = Role::Entry; "another role")]
fn reply_is_refused(change: fn(&mut Hello)) {
    let now = Instant::now();
    let mut table = table(OWN, Role::Entry);
    table.add_peer(endpoint(PEER, Role::Sidecar), now);
    table.handle(outbound(1), now);
    let mut reply = hello(PEER, Role::Sidecar, 1);
    change(&mut reply);
    let actions = table.handle(hello_frame(1, reply), now);
    assert_eq!(actions, [LinkAction::Close { link: 1 }]);
    assert!(!table.is_connected(PEER));
}

#[test_case(5; "the same session")]
#[test_case(4; "an earlier session")]
fn fenced_session_is_refused(session: u64) {
    let now = Instant::now();
    let mut table = connected_listener(now);
    table.handle(inbound(2), now);
    let actions = table.handle(hello_frame(2, hello(PEER, Role::Entry, session)), now);
    assert_eq!(actions, [LinkAction::Close { link: 2 }]);
    assert_eq!(table.session(PEER), Some(5));
}

#[test]
fn fence_remains_after_its_session_has_ended() {
    let now = Instant::now();
    let mut table = connected_listener(now);
    table.handle(LinkTableEvent::Closed { link: 1 }, now);
    table.handle(inbound(2), now);
    let actions = table.handle(hello_frame(2, hello(PEER, Role::Entry, 5)), now);
    assert_eq!(actions, [LinkAction::Close { link: 2 }]);
}

#[test]
fn later_session_fences_the_earlier() {
    let now = Instant::now();
    let mut table = connected_listener(now);
    table.handle(inbound(2), now);
    let actions = table.handle(hello_frame(2, hello(PEER, Role::Entry, 6)), now);
    let disconnected = LinkAction::PeerDisconnected {
        peer: PEER,
        session: 5,
    };
    assert_eq!(actions[..2], [LinkAction::Close { link: 1 }, disconnected]);
    assert_eq!(table.session(PEER), Some(6));
    let late = table.handle(frame(1, 5, Message::Cancel(1)), now);
    assert!(late.is_empty());
    let wrong_session = table.handle(frame(2, 5, Message::Cancel(1)), now);
    assert!(wrong_session.is_empty());
    assert_eq!(table.counts().fenced_frame_count, 2);
    assert!(
        table
            .handle(LinkTableEvent::Closed { link: 1 }, now)
            .is_empty()
    );
    assert!(table.is_connected(PEER));
}

#[test]
fn message_before_hello_closes_the_link() {
    let now = Instant::now();
    let mut table = table(OWN, Role::Sidecar);
    table.handle(inbound(1), now);
    let actions = table.handle(frame(1, 1, Message::Cancel(1)), now);
    assert_eq!(actions, [LinkAction::Close { link: 1 }]);
    assert_eq!(table.counts().protocol_error_count, 1);
}

#[test]
fn connection_without_hello_is_closed() {
    let now = Instant::now();
    let mut table = table(OWN, Role::Sidecar);
    table.handle(inbound(1), now);
    let late = now + Duration::from_secs(1);
    let actions = table.handle(LinkTableEvent::Tick, late);
    assert_eq!(actions, [LinkAction::Close { link: 1 }]);
}

#[test]
fn idle_session_sends_pings_and_answers_them() {
    let now = Instant::now();
    let mut table = connected_listener(now);
    let later = now + Duration::from_millis(250);
    let ping = LinkAction::Send {
        link: 1,
        session: 5,
        message: Message::Ping,
    };
    assert_eq!(table.handle(LinkTableEvent::Tick, later), [ping]);
    assert!(table.handle(LinkTableEvent::Tick, later).is_empty());
    let pong = LinkAction::Send {
        link: 1,
        session: 5,
        message: Message::Pong,
    };
    assert_eq!(table.handle(frame(1, 5, Message::Ping), later), [pong]);
    assert!(table.handle(frame(1, 5, Message::Pong), later).is_empty());
}

#[test]
fn silent_connection_is_replaced_within_the_silence_timeout() {
    let start = Instant::now();
    let mut table = connected_dialler(start);
    let mut now = start;
    let actions = loop {
        now += TICK;
        let actions = table.handle(LinkTableEvent::Tick, now);
        if actions.contains(&dial()) {
            break actions;
        }
        assert!(
            now < start + Duration::from_secs(2),
            "the connection was not replaced"
        );
    };
    let disconnected = LinkAction::PeerDisconnected {
        peer: PEER,
        session: 1,
    };
    assert_eq!(
        actions,
        [LinkAction::Close { link: 1 }, disconnected, dial()]
    );
    assert!(now - start <= Duration::from_secs(1) + TICK);
    table.handle(outbound(2), now);
    table.handle(hello_frame(2, hello(PEER, Role::Sidecar, 2)), now);
    assert_eq!(table.session(PEER), Some(2));
    assert_eq!(table.counts().silent_session_count, 1);
}

#[test]
fn any_received_frame_keeps_a_session_open() {
    let start = Instant::now();
    let mut table = connected_dialler(start);
    for step in 1..=50 {
        let now = start + step * Duration::from_millis(900);
        table.handle(LinkTableEvent::Tick, now);
        table.handle(frame(1, 1, Message::Pong), now);
    }
    assert_eq!(table.session(PEER), Some(1));
}

#[test]
fn backoff_between_failed_dials_grows_up_to_a_limit() {
    let mut now = Instant::now();
    let mut table = table(OWN, Role::Entry);
    table.add_peer(endpoint(PEER, Role::Sidecar), now);
    let mut delays = Vec::new();
    for _ in 0..12 {
        let address = address();
        table.handle(LinkTableEvent::DialFailed { address }, now);
        let failed_at = now;
        while table.handle(LinkTableEvent::Tick, now).is_empty() {
            now += Duration::from_millis(1);
            assert!(
                now - failed_at < Duration::from_secs(3),
                "the peer was not dialled again"
            );
        }
        delays.push(now - failed_at);
    }
    assert!(delays[0] <= Duration::from_millis(51), "{delays:?}");
    assert!(delays[11] >= Duration::from_secs(1), "{delays:?}");
    assert!(delays[11] <= Duration::from_millis(2001), "{delays:?}");
}

#[test]
fn dial_that_times_out_is_repeated() {
    let now = Instant::now();
    let mut table = table(OWN, Role::Entry);
    table.add_peer(endpoint(PEER, Role::Sidecar), now);
    let overdue = now + Duration::from_millis(1500);
    table.handle(LinkTableEvent::Tick, overdue);
    let late = table.handle(outbound(1), overdue);
    assert_eq!(late, [LinkAction::Close { link: 1 }]);
    let due = overdue + Duration::from_millis(50);
    assert_eq!(table.handle(LinkTableEvent::Tick, due), [dial()]);
}

#[test]
fn removed_peer_is_disconnected_and_not_dialled() {
    let now = Instant::now();
    let mut table = connected_dialler(now);
    let disconnected = LinkAction::PeerDisconnected {
        peer: PEER,
        session: 1,
    };
    let actions = table.remove_peer(PEER, now);
    assert_eq!(actions, [LinkAction::Close { link: 1 }, disconnected]);
    let later = now + Duration::from_secs(10);
    assert!(table.handle(LinkTableEvent::Tick, later).is_empty());
    assert_eq!(table.send(PEER, Message::Ping, later), None);
}

#[test]
fn session_numbers_increase_when_a_peer_is_added_again() {
    let now = Instant::now();
    let mut table = connected_dialler(now);
    table.remove_peer(PEER, now);
    table.add_peer(endpoint(PEER, Role::Sidecar), now);
    let actions = table.handle(outbound(2), now);
    assert!(matches!(actions[..], [LinkAction::Send { session: 2, .. }]));
}

#[test_case(Role::Sidecar, PEER + 1; "sidecar")]
#[test_case(Role::Entry, PEER + 1; "entry that is dialled")]
#[test_case(Role::Entry, 1; "entry that dials this one")]
fn an_earlier_incarnation_at_the_address_is_not_dialled_again(role: Role, successor: Incarnation) {
    let mut now = Instant::now();
    let mut table = table(OWN, Role::Entry);
    table.add_peer(endpoint(PEER, role), now);
    table.handle(LinkTableEvent::DialFailed { address: address() }, now);
    let actions = table.add_peer(endpoint(successor, role), now);
    let is_dialler = successor > OWN;
    assert_eq!(actions, if is_dialler { vec![dial()] } else { vec![] });
    if is_dialler {
        table.handle(outbound(1), now);
        let actions = table.handle(hello_frame(1, hello(successor, role, 1)), now);
        assert!(has_connected(&actions));
    }
    for _ in 0..100 {
        now += TICK;
        if is_dialler {
            table.handle(frame(1, 1, Message::Pong), now);
        }
        let actions = table.handle(LinkTableEvent::Tick, now);
        assert!(!actions.contains(&dial()), "{actions:?}");
    }
}
