//! Link tables over TCP connections: sessions are opened, deliver messages and are replaced.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use crossbeam::channel::{self, Receiver};
use knapweedrill::common::{HybridTime, Incarnation};
use knapweedrill::link::{
    Identity, LinkAction, LinkTable, LinkTableEvent, PeerEndpoint, SessionSettings,
};
use knapweedrill::message::{Frame, Message, Role};
use knapweedrill_wire::{LinkEvent, LinkSettings, Links};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(10);
const ENTRY: Incarnation = 1;
const SIDECAR: Incarnation = 2;

/// A process with a link table that the test drives step by step.
struct Process {
    table: LinkTable,
    links: Links,
    address: SocketAddr,
    events: Receiver<LinkEvent>,
    /// Actions of the table other than those on links.
    reported: Vec<LinkAction>,
}

impl Process {
    fn start(incarnation: Incarnation, role: Role) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (sender, events) = channel::unbounded();
        let links = Links::start(listener, LinkSettings::default(), move |event| {
            let _ = sender.send(event);
        });
        let own = Identity {
            incarnation,
            role,
            name: incarnation.to_string(),
        };
        Self {
            table: LinkTable::new(own, SessionSettings::default(), incarnation),
            links: links.expect("threads can be started"),
            address,
            events,
            reported: Vec::new(),
        }
    }

    fn step(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            let actions = self.table.handle(table_event(event), Instant::now());
            self.execute(actions);
        }
        let actions = self.table.handle(LinkTableEvent::Tick, Instant::now());
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<LinkAction>) {
        for action in actions {
            match action {
                LinkAction::Dial { address } => {
                    self.links.dial(address);
                }
                LinkAction::Close { link } => self.links.close(link),
                LinkAction::Send {
                    link,
                    session,
                    message,
                } => {
                    let clock = HybridTime::default();
                    let frame = Frame {
                        session,
                        clock,
                        message,
                    };
                    self.links.send(link, frame);
                }
                reported => self.reported.push(reported),
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.links.stop();
    }
}

fn table_event(event: LinkEvent) -> LinkTableEvent {
    match event {
        LinkEvent::Opened { link, dialled, .. } => LinkTableEvent::Opened { link, dialled },
        LinkEvent::Frame { link, frame } => LinkTableEvent::Frame {
            link,
            session: frame.session,
            message: frame.message,
        },
        LinkEvent::Closed { link } => LinkTableEvent::Closed { link },
        LinkEvent::DialFailed { address } => LinkTableEvent::DialFailed { address },
    }
}

fn connected_pair() -> (Process, Process) {
    let mut entry = Process::start(ENTRY, Role::Entry);
    let mut sidecar = Process::start(SIDECAR, Role::Sidecar);
    let peer = PeerEndpoint {
        incarnation: SIDECAR,
        role: Role::Sidecar,
        address: sidecar.address,
    };
    let actions = entry.table.add_peer(peer, Instant::now());
    entry.execute(actions);
    let start = Instant::now();
    while !(entry.table.is_connected(SIDECAR) && sidecar.table.is_connected(ENTRY)) {
        step_both(&mut entry, &mut sidecar, start);
    }
    (entry, sidecar)
}

fn step_both(entry: &mut Process, sidecar: &mut Process, start: Instant) {
    assert!(
        start.elapsed() < WAIT_TIMEOUT,
        "the condition was not met in time"
    );
    entry.step();
    sidecar.step();
    std::thread::sleep(TICK);
}

#[test]
fn message_is_delivered_in_its_session() {
    let (mut entry, mut sidecar) = connected_pair();
    let action = entry
        .table
        .send(SIDECAR, Message::Cancel(7), Instant::now());
    entry.execute(action.into_iter().collect());
    let delivered = LinkAction::Deliver {
        peer: ENTRY,
        session: 1,
        message: Message::Cancel(7),
    };
    let start = Instant::now();
    while !sidecar.reported.contains(&delivered) {
        step_both(&mut entry, &mut sidecar, start);
    }
}

#[test]
fn idle_session_outlasts_the_silence_timeout() {
    let (mut entry, mut sidecar) = connected_pair();
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(2500) {
        step_both(&mut entry, &mut sidecar, start);
    }
    assert_eq!(entry.table.session(SIDECAR), Some(1));
    assert_eq!(sidecar.table.session(ENTRY), Some(1));
}

#[test]
fn session_of_a_paused_peer_is_replaced() {
    let (mut entry, mut sidecar) = connected_pair();
    let paused_at = Instant::now();
    while entry.table.is_connected(SIDECAR) {
        assert!(
            paused_at.elapsed() < WAIT_TIMEOUT,
            "the condition was not met in time"
        );
        entry.step();
        std::thread::sleep(TICK);
    }
    assert!(paused_at.elapsed() >= Duration::from_millis(700));
    let start = Instant::now();
    while !(entry.table.is_connected(SIDECAR) && sidecar.table.session(ENTRY) > Some(1)) {
        step_both(&mut entry, &mut sidecar, start);
    }
    assert_eq!(entry.table.session(SIDECAR), sidecar.table.session(ENTRY));
    assert_eq!(entry.table.counts().silent_session_count, 1);
}
