//! Sessions are opened, left idle, closed and opened again, while either side dies and datagrams are
//! lost, doubled and late.

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

/// What happens in a step.
#[derive(Debug, Clone, Copy)]
enum Deed {
    Open,
    Close,
    Send,
    KillEntry,
    KillSidecar,
    /// Nothing arrives for a while, longer than a sidecar keeps a silent session or shorter.
    Cut(bool),
    Wait,
}

fn deed() -> impl Strategy<Value = Deed> {
    prop_oneof![
        3 => Just(Deed::Open),
        2 => Just(Deed::Close),
        8 => Just(Deed::Send),
        1 => Just(Deed::KillEntry),
        1 => Just(Deed::KillSidecar),
        1 => any::<bool>().prop_map(Deed::Cut),
        6 => Just(Deed::Wait),
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
    /// Datagrams on their way, with the steps that are left.
    on_the_way: Vec<(u32, usize, Envelope)>,
    /// How often each order has arrived.
    arrived: HashMap<u64, u32>,
    /// The orders in the order of their arrival at this life of the sidecar.
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
            on_the_way: Vec::new(),
            arrived: HashMap::new(),
            last_arrived: None,
            events: Vec::new(),
            sent_count: 0,
        }
    }

    /// Lets a step pass; `fate` says of each datagram after how many steps its copies arrive.
    fn step(&mut self, mut fate: impl FnMut() -> Vec<u32>) {
        self.now += STEP;
        for side in [ENTRY, SIDECAR] {
            let (datagrams, events) = self.sides[side].poll(self.now);
            self.events
                .extend(events.into_iter().map(|event| (side, event)));
            self.sent_count += datagrams.len();
            for (_, envelope) in datagrams {
                for delay in fate() {
                    self.on_the_way.push((delay, 1 - side, envelope.clone()));
                }
            }
        }
        let mut due = Vec::new();
        self.on_the_way.retain_mut(|(delay, side, envelope)| {
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
        self.sides[ENTRY].send(to, order(number)).is_some()
    }

    fn is_up(&self) -> bool {
        self.sides[ENTRY]
            .address(self.incarnations[SIDECAR])
            .is_some()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Whatever happens, no order arrives twice or after a later one, and once all is calm again a session
    /// that is wanted carries each order.
    #[test]
    fn orders_arrive_at_most_once_over_all_lives_of_a_session(
        deeds in prop::collection::vec((deed(), 1_u32..60), 10..60),
        fates in prop::collection::vec(prop::collection::vec(0_u32..40, 0..3), 20..80),
    ) {
        let mut pair = Pair::new();
        let mut fates = fates.into_iter().cycle();
        let mut next = 0;
        for (deed, steps) in deeds {
            match deed {
                Deed::Open => drop(pair.sides[ENTRY].open(address(SIDECAR), pair.now)),
                Deed::Close => {
                    // An entry closes sessions that have carried no order for a while.
                    for _ in 0..130 {
                        pair.step(|| fates.next().unwrap_or_default());
                    }
                    pair.sides[ENTRY].close(address(SIDECAR), pair.now);
                }
                Deed::Send => {
                    pair.send(next);
                    next += 1;
                }
                Deed::KillEntry => pair.kill(ENTRY),
                Deed::KillSidecar => pair.kill(SIDECAR),
                Deed::Cut(is_long) => {
                    for _ in 0..if is_long { 2_000 } else { 300 } {
                        pair.step(Vec::new);
                    }
                }
                Deed::Wait => {}
            }
            for _ in 0..steps {
                pair.step(|| fates.next().unwrap_or_default());
            }
        }
        prop_assert!(pair.arrived.values().all(|count| *count == 1), "{:?}", pair.arrived);
        pair.sides[ENTRY].open(address(SIDECAR), pair.now);
        pair.run(600);
        // The sidecar may have forgotten the session, which the entry hears by now.
        pair.sides[ENTRY].open(address(SIDECAR), pair.now);
        pair.run(200);
        prop_assert!(pair.is_up());
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
fn closed_session_is_forgotten_on_both_sides_and_costs_nothing() {
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
fn sidecar_that_did_not_hear_of_the_end_is_told_again() {
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
fn session_opened_anew_numbers_its_messages_anew() {
    let mut pair = Pair::new();
    pair.sides[ENTRY].open(address(SIDECAR), pair.now);
    pair.run(100);
    for number in 0..5 {
        assert!(pair.send(number));
    }
    pair.run(20);
    pair.sides[ENTRY].close(address(SIDECAR), pair.now);
    // The word of the end is lost, so that the sidecar still has the old session.
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
fn entry_hears_that_its_sidecar_has_forgotten_the_session() {
    let mut pair = Pair::new();
    pair.sides[ENTRY].open(address(SIDECAR), pair.now);
    pair.run(100);
    for _ in 0..2_000 {
        pair.step(Vec::new);
    }
    assert!(
        pair.sides[SIDECAR].is_empty(),
        "silent entries are forgotten"
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
    let (greetings, _) = pair.sides[ENTRY].poll(pair.now);
    let (_, greeting) = greetings
        .into_iter()
        .find(|(to, _)| *to == other)
        .expect("the other address is greeted");
    // A proxy hands it on from an address of its own.
    let from = SocketAddr::from(([127, 0, 0, 1], 4_000));
    let events = pair.sides[SIDECAR].receive(from, greeting, pair.now);
    assert!(events.is_empty(), "{events:?}");
    assert!(pair.send(1));
    pair.run(20);
    assert_eq!(pair.arrived.get(&1), Some(&1));
}

/// An idle session costs the beats of the sidecar, and of the entry one in six of these.
#[test_case(10, 60)]
fn idle_session_is_kept_by_few_datagrams(seconds: u32, datagrams_max: usize) {
    let mut pair = Pair::new();
    pair.sides[ENTRY].open(address(SIDECAR), pair.now);
    pair.run(100);
    let before = pair.sent_count;
    pair.run(seconds * 200);
    let sent = pair.sent_count - before;
    assert!(sent <= datagrams_max, "{sent} datagrams in {seconds} s");
    assert!(pair.is_up());
}
