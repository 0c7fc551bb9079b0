//! Two link tables over connections that delay, end and fall silent at random.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::common::{Incarnation, SessionNumber};
use knapweedrill::link::{
    Identity, LinkAction, LinkNumber, LinkTable, LinkTableEvent, SessionSettings, WantedPeer,
};
use knapweedrill::message::{Message, Role};
use proptest::prelude::*;

const INCARNATIONS: [Incarnation; 2] = [1, 2];
const TICK: Duration = Duration::from_millis(50);

/// One step of a run.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes.
    Advance { duration_ms: u64 },
    /// A pending dial ends.
    EndDial { succeeds: bool },
    /// Frames arrive on one connection at one side; also on a connection closed there.
    Arrive {
        pick: usize,
        side: usize,
        count: usize,
    },
    /// One side learns that a connection has ended.
    LearnClosed { pick: usize, side: usize },
    /// One side sends a message.
    Send { side: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1_u64..400).prop_map(|duration_ms| Step::Advance { duration_ms }),
        3 => proptest::bool::weighted(0.8).prop_map(|succeeds| Step::EndDial { succeeds }),
        10 => (0_usize..4, 0_usize..2, 1_usize..5)
            .prop_map(|(pick, side, count)| Step::Arrive { pick, side, count }),
        1 => (0_usize..4, 0_usize..2).prop_map(|(pick, side)| Step::LearnClosed { pick, side }),
        6 => (0_usize..2).prop_map(|side| Step::Send { side }),
    ]
}

/// A frame under way, with the number of its message if it carries one.
struct Sent {
    session: SessionNumber,
    message: Message,
}

/// What one side has been told, checked as it is told.
#[derive(Default)]
struct Observer {
    up: Option<SessionNumber>,
    last_session: SessionNumber,
    last_delivered: u32,
    delivered_count: u32,
    closed: Vec<LinkNumber>,
}

struct World {
    now: Instant,
    tables: Vec<LinkTable>,
    observers: [Observer; 2],
    /// The frames under way to each side of each connection.
    connections: BTreeMap<LinkNumber, [VecDeque<Sent>; 2]>,
    /// In which session each numbered message was sent.
    sent_in: BTreeMap<u32, SessionNumber>,
    dials_count: usize,
    next_link: LinkNumber,
    next_message: u32,
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

impl World {
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
        let mut world = Self {
            now: Instant::now(),
            tables: vec![table(0), table(1)],
            observers: Default::default(),
            connections: BTreeMap::new(),
            sent_in: BTreeMap::new(),
            dials_count: 0,
            next_link: 1,
            next_message: 1,
        };
        let peer = WantedPeer {
            incarnation: INCARNATIONS[1],
            role: listener_role,
            address: address(),
        };
        let actions = world.tables[0].want(peer, world.now);
        world.carry_out(0, actions);
        world
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
            Step::LearnClosed { pick, side } => {
                if let Some(link) = self.pick(pick) {
                    self.handle(side, LinkTableEvent::Closed { link });
                }
            }
            Step::Send { side } => self.send(side),
        }
    }

    /// Picks a connection, counted from the latest.
    fn pick(&self, pick: usize) -> Option<LinkNumber> {
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
        if self.dials_count == 0 {
            return;
        }
        self.dials_count -= 1;
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

    fn arrive(&mut self, link: LinkNumber, side: usize) {
        let queues = self.connections.get_mut(&link).expect("it was picked");
        let Some(Sent { session, message }) = queues[side].pop_front() else {
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
        let links: Vec<LinkNumber> = self.connections.keys().copied().collect();
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
        let session = self.tables[side].session(peer).expect("the peer is up");
        self.sent_in.insert(number, session);
        self.carry_out(side, vec![action]);
    }

    fn handle(&mut self, side: usize, event: LinkTableEvent) {
        let actions = self.tables[side].handle(event, self.now);
        self.carry_out(side, actions);
    }

    fn carry_out(&mut self, side: usize, actions: Vec<LinkAction>) {
        for action in actions {
            self.observe(side, &action);
            match action {
                LinkAction::Dial { .. } => self.dials_count += 1,
                LinkAction::Send {
                    link,
                    session,
                    message,
                } => {
                    let queues = self.connections.get_mut(&link).expect("the link exists");
                    queues[1 - side].push_back(Sent { session, message });
                }
                _ => {}
            }
        }
    }

    fn observe(&mut self, side: usize, action: &LinkAction) {
        let observer = &mut self.observers[side];
        match action {
            LinkAction::PeerUp { session, .. } => {
                assert_eq!(observer.up, None, "up twice");
                assert!(*session > observer.last_session, "session does not rise");
                observer.up = Some(*session);
                observer.last_session = *session;
            }
            LinkAction::PeerDown { session, .. } => {
                assert_eq!(observer.up, Some(*session), "down without up");
                observer.up = None;
            }
            LinkAction::Deliver {
                session, message, ..
            } => {
                assert_eq!(observer.up, Some(*session), "delivered out of session");
                let Message::ReturnCredit(number) = message else {
                    panic!("not for delivery: {message:?}");
                };
                assert_eq!(self.sent_in[number], *session, "fenced frame delivered");
                assert!(*number > observer.last_delivered, "overtaken or doubled");
                observer.last_delivered = *number;
                observer.delivered_count += 1;
            }
            LinkAction::Close { link } => {
                assert!(!observer.closed.contains(link), "closed twice");
                observer.closed.push(*link);
            }
            LinkAction::Send { link, .. } => {
                assert!(!observer.closed.contains(link), "sent on a closed link");
            }
            LinkAction::Dial { .. } => assert_eq!(side, 0, "the wrong side dials"),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn sessions_rise_and_fenced_frames_are_dropped(
        steps in proptest::collection::vec(step(), 1..300),
        is_entry: bool,
        seed: u64,
    ) {
        let role = if is_entry { Role::Entry } else { Role::Sidecar };
        let mut world = World::new(role, seed);
        for step in &steps {
            world.step(step);
        }
    }

    #[test]
    fn pair_recovers_once_the_network_does(
        steps in proptest::collection::vec(step(), 1..200),
        seed: u64,
    ) {
        let mut world = World::new(Role::Sidecar, seed);
        for step in &steps {
            world.step(step);
        }
        // The longest wait, a dial that was lost, and the silence of the listener's session.
        for _ in 0..120 {
            world.advance(TICK);
            world.end_dial(true);
            world.arrive_all();
        }
        let delivered_count = world.observers[1].delivered_count;
        world.send(0);
        world.arrive_all();
        prop_assert_eq!(world.observers[0].up, world.observers[1].up);
        prop_assert!(world.observers[1].delivered_count > delivered_count);
    }

    #[test]
    fn silent_link_is_replaced_in_time(warm_up_ms in 0_u64..3000, seed: u64) {
        let mut world = World::new(Role::Sidecar, seed);
        world.end_dial(true);
        world.arrive_all();
        for _ in 0..warm_up_ms / 50 {
            world.advance(TICK);
            world.arrive_all();
        }
        let session = world.observers[0].up.expect("the session is open");
        let silent_at = world.now;
        while world.observers[0].up.is_some() {
            world.advance(TICK);
        }
        let replaced_after = world.now - silent_at;
        prop_assert!(replaced_after <= Duration::from_secs(1) + TICK);
        while world.dials_count == 0 {
            world.advance(TICK);
        }
        prop_assert!(world.now - silent_at <= Duration::from_secs(1) + 2 * TICK);
        world.end_dial(true);
        world.arrive_all();
        prop_assert!(world.observers[0].up > Some(session));
        prop_assert_eq!(world.observers[0].up, world.observers[1].up);
    }
}
