//! Property tests of two link tables whose connections randomly delay frames, close or fall silent.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::common::{Incarnation, SessionNumber};
use knapweedrill::link::{
    Identity, LinkAction, LinkId, LinkTable, LinkTableEvent, PeerEndpoint, SessionSettings,
};
use knapweedrill::message::{Message, Role};
use proptest::prelude::*;

const INCARNATIONS: [Incarnation; 2] = [1, 2];
const TICK: Duration = Duration::from_millis(50);

/// A random step of the simulation.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes.
    Advance { duration_ms: u64 },
    /// A pending connection attempt ends.
    EndDial { succeeds: bool },
    /// Frames arrive at one side of a connection, even if that side has closed it.
    Arrive {
        pick: usize,
        side: usize,
        count: usize,
    },
    /// One side is notified that a connection has ended.
    NotifyClosed { pick: usize, side: usize },
    /// One side sends a message.
    Send { side: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1_u64..400).prop_map(|duration_ms| Step::Advance { duration_ms }),
        3 => proptest::bool::weighted(0.8).prop_map(|succeeds| Step::EndDial { succeeds }),
        10 => (0_usize..4, 0_usize..2, 1_usize..5)
            .prop_map(|(pick, side, count)| Step::Arrive { pick, side, count }),
        1 => (0_usize..4, 0_usize..2).prop_map(|(pick, side)| Step::NotifyClosed { pick, side }),
        6 => (0_usize..2).prop_map(|side| Step::Send { side }),
    ]
}

/// A frame in flight.
struct InFlightFrame {
    session: SessionNumber,
    message: Message,
}

/// Checks the actions of one side as they are returned.
#[derive(Default)]
struct Observer {
    open_session: Option<SessionNumber>,
    last_session: SessionNumber,
    last_delivered: u32,
    delivered_count: u32,
    closed: Vec<LinkId>,
}

struct Simulation {
    now: Instant,
    tables: Vec<LinkTable>,
    observers: [Observer; 2],
    /// The frames in flight to each side of each connection.
    connections: BTreeMap<LinkId, [VecDeque<InFlightFrame>; 2]>,
    /// The session in which each numbered message was sent.
    session_of_message: BTreeMap<u32, SessionNumber>,
    pending_dial_count: usize,
    next_link: LinkId,
    next_message: u32,
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

impl Simulation {
    fn new(listener_role: Role, seed: u64) -> Self {
        let roles = [Role::Entry, listener_role];
        let table = |side: usize| {
            let own = Identity {
                incarnation: INCARNATIONS[side],
                role: roles[side],
                name: side.to_string(),
            };
            LinkTable::new(own, SessionSettings::default(), seed)
        };
        let mut simulation = Self {
            now: Instant::now(),
            tables: vec![table(0), table(1)],
            observers: Default::default(),
            connections: BTreeMap::new(),
            session_of_message: BTreeMap::new(),
            pending_dial_count: 0,
            next_link: 1,
            next_message: 1,
        };
        let peer = PeerEndpoint {
            incarnation: INCARNATIONS[1],
            role: listener_role,
            address: address(),
        };
        let actions = simulation.tables[0].add_peer(peer, simulation.now);
        simulation.perform(0, actions);
        simulation
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Advance { duration_ms } => self.advance(Duration::from_millis(duration_ms)),
            Step::EndDial { succeeds } => self.end_dial(succeeds),
            Step::Arrive { pick, side, count } => {
                if let Some(link) = self.pick(pick) {
                    (0..count).for_each(|_| self.arrive(link, side));
                }
            }
            Step::NotifyClosed { pick, side } => {
                if let Some(link) = self.pick(pick) {
                    self.handle(side, LinkTableEvent::Closed { link });
                }
            }
            Step::Send { side } => self.send(side),
        }
    }

    /// Returns a connection by its index from the newest.
    fn pick(&self, pick: usize) -> Option<LinkId> {
        self.connections.keys().rev().nth(pick).copied()
    }

    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = end.min(self.now + TICK);
            self.handle(0, LinkTableEvent::Tick);
            self.handle(1, LinkTableEvent::Tick);
        }
    }

    fn end_dial(&mut self, succeeds: bool) {
        if self.pending_dial_count == 0 {
            return;
        }
        self.pending_dial_count -= 1;
        let address = address();
        if !succeeds {
            return self.handle(0, LinkTableEvent::DialFailed { address });
        }
        let link = self.next_link;
        self.next_link += 1;
        self.connections.insert(link, Default::default());
        let dialled = Some(address);
        self.handle(0, LinkTableEvent::Opened { link, dialled });
        let dialled = None;
        self.handle(1, LinkTableEvent::Opened { link, dialled });
    }

    fn arrive(&mut self, link: LinkId, side: usize) {
        let queues = self
            .connections
            .get_mut(&link)
            .expect("the connection exists");
        let Some(InFlightFrame { session, message }) = queues[side].pop_front() else {
            return;
        };
        let event = LinkTableEvent::Frame {
            link,
            session,
            message,
        };
        self.handle(side, event);
    }

    fn arrive_all(&mut self) {
        let links: Vec<LinkId> = self.connections.keys().copied().collect();
        for link in links {
            for side in [1, 0, 1] {
                (0..10).for_each(|_| self.arrive(link, side));
            }
        }
    }

    fn send(&mut self, side: usize) {
        let number = self.next_message;
        let peer = INCARNATIONS[1 - side];
        let message = Message::ReturnCredit(number);
        let Some(action) = self.tables[side].send(peer, message, self.now) else {
            return;
        };
        self.next_message += 1;
        let session = self.tables[side]
            .session(peer)
            .expect("the peer is connected");
        self.session_of_message.insert(number, session);
        self.perform(side, vec![action]);
    }

    fn handle(&mut self, side: usize, event: LinkTableEvent) {
        let actions = self.tables[side].handle(event, self.now);
        self.perform(side, actions);
    }

    fn perform(&mut self, side: usize, actions: Vec<LinkAction>) {
        for action in actions {
            self.observe(side, &action);
            match action {
                LinkAction::Dial { .. } => self.pending_dial_count += 1,
                LinkAction::Send {
                    link,
                    session,
                    message,
                } => {
                    let queues = self
                        .connections
                        .get_mut(&link)
                        .expect("the connection exists");
                    queues[1 - side].push_back(InFlightFrame { session, message });
                }
                _ => {}
            }
        }
    }

    fn observe(&mut self, side: usize, action: &LinkAction) {
        let observer = &mut self.observers[side];
        match action {
            LinkAction::PeerConnected { session, .. } => {
                assert_eq!(observer.open_session, None, "the peer connected twice");
                assert!(
                    *session > observer.last_session,
                    "the session number must increase"
                );
                observer.open_session = Some(*session);
                observer.last_session = *session;
            }
            LinkAction::PeerDisconnected { session, .. } => {
                assert_eq!(
                    observer.open_session,
                    Some(*session),
                    "the peer disconnected without an open session"
                );
                observer.open_session = None;
            }
            LinkAction::Deliver {
                session, message, ..
            } => {
                assert_eq!(
                    observer.open_session,
                    Some(*session),
                    "a message was delivered outside of its session"
                );
                let Message::ReturnCredit(number) = message else {
                    panic!("unexpected message delivered: {message:?}");
                };
                assert_eq!(
                    self.session_of_message[number], *session,
                    "a fenced frame was delivered"
                );
                assert!(
                    *number > observer.last_delivered,
                    "a message was reordered or duplicated"
                );
                observer.last_delivered = *number;
                observer.delivered_count += 1;
            }
            LinkAction::Close { link } => {
                assert!(
                    !observer.closed.contains(link),
                    "the connection was closed twice"
                );
                observer.closed.push(*link);
            }
            LinkAction::Send { link, .. } => {
                assert!(
                    !observer.closed.contains(link),
                    "a frame was sent on a closed connection"
                );
            }
            LinkAction::Dial { .. } => assert_eq!(side, 0, "only the dialling side may dial"),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn session_numbers_increase_and_fenced_frames_are_dropped(
        steps in proptest::collection::vec(step(), 1..300),
        is_entry: bool,
        seed: u64,
    ) {
        let role = if is_entry { Role::Entry } else { Role::Sidecar };
        let mut simulation = Simulation::new(role, seed);
        for step in &steps {
            simulation.step(step);
        }
    }

    #[test]
    fn session_is_restored_after_the_network_recovers(
        steps in proptest::collection::vec(step(), 1..200),
        seed: u64,
    ) {
        let mut simulation = Simulation::new(Role::Sidecar, seed);
        for step in &steps {
            simulation.step(step);
        }
        // 6 s cover the longest backoff, a lost attempt and the silence timeout of the listener.
        for _ in 0..120 {
            simulation.advance(TICK);
            simulation.end_dial(true);
            simulation.arrive_all();
        }
        let delivered_count = simulation.observers[1].delivered_count;
        simulation.send(0);
        simulation.arrive_all();
        prop_assert_eq!(simulation.observers[0].open_session, simulation.observers[1].open_session);
        prop_assert!(simulation.observers[1].delivered_count > delivered_count);
    }

    #[test]
    fn silent_connection_is_replaced_within_the_silence_timeout(warm_up_ms in 0_u64..3000, seed: u64) {
        let mut simulation = Simulation::new(Role::Sidecar, seed);
        simulation.end_dial(true);
        simulation.arrive_all();
        for _ in 0..warm_up_ms / 50 {
            simulation.advance(TICK);
            simulation.arrive_all();
        }
        let session = simulation.observers[0].open_session.expect("the session is open");
        let silent_since = simulation.now;
        while simulation.observers[0].open_session.is_some() {
            simulation.advance(TICK);
        }
        let replaced_after = simulation.now - silent_since;
        prop_assert!(replaced_after <= Duration::from_secs(1) + TICK);
        while simulation.pending_dial_count == 0 {
            simulation.advance(TICK);
        }
        prop_assert!(simulation.now - silent_since <= Duration::from_secs(1) + 2 * TICK);
        simulation.end_dial(true);
        simulation.arrive_all();
        prop_assert!(simulation.observers[0].open_session > Some(session));
        prop_assert_eq!(simulation.observers[0].open_session, simulation.observers[1].open_session);
    }
}
