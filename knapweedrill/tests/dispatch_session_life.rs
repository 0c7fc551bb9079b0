//! Sessions deliver each order at most once and in order when they are opened, left idle, closed
//! and reopened, processes restart, and datagrams are lost, duplicated and delayed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::dispatch::message::{Message, Role};
use knapweedrill::dispatch::session::{
    Envelope, Identity, SessionEvent, SessionSettings, Sessions,
};
use knapweedrill::dispatch::{JobName, TaskName};
use proptest::prelude::*;
use test_case::test_case;

const STEP: Duration = Duration::from_millis(5);
const ENTRY: usize = 0;
const SIDECAR: usize = 1;

/// An operation or fault that a test injects.
#[derive(Debug, Clone, Copy)]
enum Operation {
    Open,
    Close,
    Send,
    KillEntry,
    KillSidecar,
    /// No datagram arrives, for longer than the expiry of a silent session at a sidecar if true, or
    /// for less time.
    Outage(bool),
    Idle,
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        3 => Just(Operation::Open),
        2 => Just(Operation::Close),
        8 => Just(Operation::Send),
        1 => Just(Operation::KillEntry),
        1 => Just(Operation::KillSidecar),
        1 => any::<bool>().prop_map(Operation::Outage),
        6 => Just(Operation::Idle),
    ]
}

fn address(side: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], if side == ENTRY { 1_000 } else { 2_000 }))
}

fn order(attempt: u64) -> Message {
    Message::Stop {
        task: TaskName {
            job: JobName(1),
            step: 0,
            index: 0,
        },
        attempt,
    }
}

fn sessions(incarnation: u64, side: usize, now: Instant) -> Sessions {
    let identity = Identity {
        incarnation,
        role: if side == ENTRY {
            Role::Entry
        } else {
            Role::Sidecar
        },
        started_at: now,
    };
    Sessions::new(identity, SessionSettings::default())
}

struct Pair {
    now: Instant,
    sides: [Sessions; 2],
    incarnations: [u64; 2],
    /// Datagrams in flight: the steps until they arrive, the receiving side and the content.
    in_flight: Vec<(u32, usize, Envelope)>,
    /// The number of times that each order has arrived.
    arrived: HashMap<u64, u32>,
    /// The last order that arrived at the current incarnation of the sidecar.
    last_arrived: Option<u64>,
    events: Vec<(usize, SessionEvent)>,
    sent_count: usize,
}

impl Pair {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            sides: [sessions(1, ENTRY, now), sessions(2, SIDECAR, now)],
            incarnations: [1, 2],
            in_flight: Vec::new(),
            arrived: HashMap::new(),
            last_arrived: None,
            events: Vec::new(),
            sent_count: 0,
        }
    }

    /// Advances the time by one step. `delays` returns, for each datagram, after how many steps
    /// each of its copies arrives.
    fn step(&mut self, mut delays: impl FnMut() -> Vec<u32>) {
        self.now += STEP;
        for side in [ENTRY, SIDECAR] {
            let (datagrams, events) = self.sides[side].poll(self.now);
            self.events
                .extend(events.into_iter().map(|event| (side, event)));
            self.sent_count += datagrams.len();
            for (_, envelope) in datagrams {
                for delay in delays() {
                    self.in_flight.push((delay, 1 - side, envelope.clone()));
                }
            }
        }
        let mut due = Vec::new();
        self.in_flight.retain_mut(|(delay, side, envelope)| {
            if *delay == 0 {
                due.push((*side, envelope.clone()));
            }
            let stays = *delay > 0;
            *delay = delay.saturating_sub(1);
            stays
        });
        for (side, envelope) in due {
            self.deliver(side, envelope);
        }
    }

    fn deliver(&mut self, side: usize, envelope: Envelope) {
        let events = self.sides[side].receive(address(1 - side), envelope, self.now);
        for event in events {
            if let (SIDECAR, SessionEvent::Message(_, Message::Stop { attempt, .. })) =
                (side, &event)
            {
                *self.arrived.entry(*attempt).or_default() += 1;
                assert!(
                    self.last_arrived.is_none_or(|last| last < *attempt),
                    "order {attempt} arrived after {:?}",
                    self.last_arrived
                );
                self.last_arrived = Some(*attempt);
            }
            self.events.push((side, event));
        }
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.step(|| vec![0]);
        }
    }

    /// Restarts a process under a new incarnation, without its sessions.
    fn kill(&mut self, side: usize) {
        let incarnation = self.incarnations.iter().max().expect("two sides") + 1;
        self.incarnations[side] = incarnation;
        self.sides[side] = sessions(incarnation, side, self.now);
        if side == SIDECAR {
            self.last_arrived = None;
        }
    }

    fn send(&mut self, number: u64) -> bool {
        let to = self.incarnations[SIDECAR];
        self.sides[ENTRY]
            .send(to, order(number), self.now)
            .is_some()
    }

    fn is_connected(&self) -> bool {
        self.sides[ENTRY]
            .address(self.incarnations[SIDECAR])
            .is_some()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// No order arrives twice or after a later one, and once the faults have ended, an open session
    /// delivers every order.
    #[test]
    fn orders_arrive_at_most_once_over_reopened_sessions_and_restarts(
        operations in prop::collection::vec((operation(), 1_u32..60), 10..60),
        delays in prop::collection::vec(prop::collection::vec(0_u32..40, 0..3), 20..80),
    ) {
        let mut pair = Pair::new();
        let mut delays = delays.into_iter().cycle();
        let mut next = 0;
        for (operation, steps) in operations {
            match operation {
                Operation::Open => drop(pair.sides[ENTRY].open(address(SIDECAR), pair.now)),
                Operation::Close => {
                    // An entry closes a session only if it has carried no order for some time.
                    for _ in 0..130 {
                        pair.step(|| delays.next().unwrap_or_default());
                    }
                    pair.sides[ENTRY].close(address(SIDECAR), pair.now);
                }
                Operation::Send => {
                    pair.send(next);
                    next += 1;
                }
                Operation::KillEntry => pair.kill(ENTRY),
                Operation::KillSidecar => pair.kill(SIDECAR),
                Operation::Outage(is_long) => {
                    for _ in 0..if is_long { 2_000 } else { 300 } {
                        pair.step(Vec::new);
                    }
                }
                Operation::Idle => {}
            }
            for _ in 0..steps {
                pair.step(|| delays.next().unwrap_or_default());
            }
        }
        prop_assert!(pair.arrived.values().all(|count| *count == 1), "{:?}", pair.arrived);
        pair.sides[ENTRY].open(address(SIDECAR), pair.now);
        pair.run(600);
        // The sidecar may have dropped the session, which the entry has been told by now.
        pair.sides[ENTRY].open(address(SIDECAR), pair.now);
        pair.run(200);
        prop_assert!(pair.is_connected());
        for number in next..next + 30 {
            prop_assert!(pair.send(number));
        }
        pair.run(100);
        for number in next..next + 30 {
            prop_assert_eq!(pair.arrived.get(&number), Some(&1));
        }
    }
}

#[test]
fn closed_session_is_dropped_on_both_sides_and_sends_no_datagrams() {
    let mut pair = Pair::new();
    pair.sides[ENTRY].open(address(SIDECAR), pair.now);
    pair.run(100);
    pair.sides[ENTRY].close(address(SIDECAR), pair.now);
    pair.run(10);
    assert!(pair.sides.iter().all(Sessions::is_empty));
    assert!(
        pair.events
            .contains(&(SIDECAR, SessionEvent::Disconnected(1)))
    );
    let before = pair.sent_count;
    pair.run(1_000);
    assert_eq!(pair.sent_count, before);
}

#[test]
fn closing_is_repeated_if_the_closing_datagram_is_lost() {
    let mut pair = Pair::new();
    pair.sides[ENTRY].open(address(SIDECAR), pair.now);
    pair.run(100);
    pair.sides[ENTRY].close(address(SIDECAR), pair.now);
    pair.step(Vec::new);
    assert!(!pair.sides[SIDECAR].is_empty());
    pair.run(100);
    assert!(pair.sides[SIDECAR].is_empty());
}

#[test]
fn reopened_session_restarts_its_message_numbers() {
    let mut pair = Pair::new();
    pair.sides[ENTRY].open(address(SIDECAR), pair.now);
    pair.run(100);
    for number in 0..5 {
        assert!(pair.send(number));
    }
    pair.run(20);
    pair.sides[ENTRY].close(address(SIDECAR), pair.now);
    // The closing datagram is lost, so that the sidecar still has the old session.
    pair.step(Vec::new);
    pair.sides[ENTRY].open(address(SIDECAR), pair.now);
    pair.run(50);
    assert!(pair.send(5));
    pair.run(20);
    assert_eq!(pair.arrived.get(&5), Some(&1));
    assert!(
        pair.events
            .contains(&(SIDECAR, SessionEvent::Disconnected(1)))
    );
}

#[test]
fn entry_is_told_that_its_sidecar_has_dropped_the_session() {
    let mut pair = Pair::new();
    pair.sides[ENTRY].open(address(SIDECAR), pair.now);
    pair.run(100);
    for _ in 0..2_000 {
        pair.step(Vec::new);
    }
    assert!(
        pair.sides[SIDECAR].is_empty(),
        "the sidecar drops the session of a silent entry"
    );
    pair.run(200);
    assert!(
        pair.events
            .contains(&(ENTRY, SessionEvent::Disconnected(2)))
    );
    assert!(pair.sides[ENTRY].is_empty());
}

#[test]
fn process_with_two_addresses_gets_one_session() {
    let mut pair = Pair::new();
    pair.sides[ENTRY].open(address(SIDECAR), pair.now);
    pair.run(100);
    let other = SocketAddr::from(([127, 0, 0, 1], 3_000));
    pair.sides[ENTRY].open(other, pair.now);
    let (hellos, _) = pair.sides[ENTRY].poll(pair.now);
    let (_, hello) = hellos
        .into_iter()
        .find(|(to, _)| *to == other)
        .expect("a hello is sent to the other address");
    // A proxy forwards the hello from its own address.
    let from = SocketAddr::from(([127, 0, 0, 1], 4_000));
    let events = pair.sides[SIDECAR].receive(from, hello, pair.now);
    assert!(events.is_empty(), "{events:?}");
    assert!(pair.send(1));
    pair.run(20);
    assert_eq!(pair.arrived.get(&1), Some(&1));
}

/// An idle session costs the heartbeats of the sidecar, and one sixth as many of the entry.
#[test_case(10, 60)]
fn idle_session_sends_few_datagrams(seconds: u32, datagrams_max: usize) {
    let mut pair = Pair::new();
    pair.sides[ENTRY].open(address(SIDECAR), pair.now);
    pair.run(100);
    let before = pair.sent_count;
    pair.run(seconds * 200);
    let sent = pair.sent_count - before;
    assert!(sent <= datagrams_max, "{sent} datagrams in {seconds} s");
    assert!(pair.is_connected());
}
