//! Sessions deliver each message once and in order, whatever the network does.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::dispatch::message::{Message, Role};
use knapweedrill::dispatch::session::{
    Envelope, Identity, SessionEvent, SessionSettings, Sessions,
};
use knapweedrill::dispatch::{JobName, TaskName};
use proptest::prelude::*;

const STEP: Duration = Duration::from_millis(5);

fn address(side: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], if side == 0 { 1_000 } else { 2_000 }))
}

fn message(attempt: u64) -> Message {
    Message::Stop {
        task: TaskName {
            job: JobName(1),
            step: 0,
            index: 0,
        },
        attempt,
    }
}

struct Pair {
    now: Instant,
    sides: [Sessions; 2],
    on_the_way: Vec<(usize, Envelope)>,
    received: Vec<u64>,
    events: Vec<(usize, SessionEvent)>,
}

impl Pair {
    fn new() -> Self {
        let now = Instant::now();
        let side = |incarnation, role| {
            let identity = Identity {
                incarnation,
                role,
                started_at: now,
            };
            Sessions::new(identity, SessionSettings::default())
        };
        let mut sides = [side(11, Role::Entry), side(22, Role::Sidecar)];
        sides[0].open(address(1), now);
        Self {
            now,
            sides,
            on_the_way: Vec::new(),
            received: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Lets a step pass; `fate` says of each datagram how often it arrives.
    fn step(&mut self, mut fate: impl FnMut() -> usize) {
        self.now += STEP;
        for side in 0..2 {
            let (datagrams, events) = self.sides[side].poll(self.now);
            self.events
                .extend(events.into_iter().map(|event| (side, event)));
            for (_, envelope) in datagrams {
                for _ in 0..fate() {
                    self.on_the_way.push((1 - side, envelope.clone()));
                }
            }
        }
        // The last sent arrives first, so that datagrams overtake each other.
        while let Some((side, envelope)) = self.on_the_way.pop() {
            let events = self.sides[side].receive(address(1 - side), envelope, self.now);
            for event in events {
                if let (1, SessionEvent::Message(_, Message::Stop { attempt, .. })) = (side, &event)
                {
                    self.received.push(*attempt);
                }
                self.events.push((side, event));
            }
        }
    }

    fn settle(&mut self) {
        for _ in 0..400 {
            self.step(|| 1);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn messages_arrive_once_and_in_order(
        fates in prop::collection::vec(0_usize..3, 50..400),
        sends in prop::collection::vec(0_u64..4, 20..60),
    ) {
        let mut pair = Pair::new();
        pair.settle();
        let mut fates = fates.into_iter().cycle();
        let mut next = 0;
        for count in sends {
            for _ in 0..count {
                pair.sides[0].send(22, message(next));
                next += 1;
            }
            pair.step(|| fates.next().unwrap_or(1));
        }
        pair.settle();
        let expected: Vec<u64> = (0..next).collect();
        prop_assert_eq!(&pair.received, &expected);
    }
}

#[test]
fn new_run_of_a_process_ends_the_session_and_late_datagrams_of_the_old_one_are_ignored() {
    let mut pair = Pair::new();
    pair.settle();
    pair.sides[0].send(22, message(1));
    let (late, _) = pair.sides[0].poll(pair.now);
    let restarted = Identity {
        incarnation: 33,
        role: Role::Entry,
        started_at: pair.now,
    };
    pair.sides[0] = Sessions::new(restarted, SessionSettings::default());
    pair.sides[0].open(address(1), pair.now);
    pair.settle();
    assert!(pair.events.contains(&(1, SessionEvent::Disconnected(11))));
    assert!(
        pair.events
            .contains(&(1, SessionEvent::Connected(33, Role::Entry)))
    );
    for (_, envelope) in late {
        let events = pair.sides[1].receive(address(0), envelope, pair.now);
        assert!(events.is_empty(), "{events:?}");
    }
    pair.sides[0].send(22, message(2));
    pair.settle();
    assert_eq!(pair.received, [2]);
}

#[test]
fn silence_is_noticed_and_its_end_too() {
    let mut pair = Pair::new();
    pair.settle();
    pair.events.clear();
    for _ in 0..400 {
        pair.step(|| 0);
    }
    assert!(pair.events.contains(&(0, SessionEvent::Silent(22))));
    pair.sides[0].send(22, message(1));
    pair.settle();
    assert!(pair.events.contains(&(0, SessionEvent::Resumed(22))));
    assert_eq!(pair.received, [1]);
}

#[test]
fn quiet_session_is_not_silent_when_a_message_is_sent() {
    let mut pair = Pair::new();
    pair.settle();
    pair.events.clear();
    for number in 0..200 {
        if number % 47 == 0 {
            pair.sides[0].send(22, message(number));
        }
        pair.step(|| 1);
    }
    assert!(
        !pair
            .events
            .iter()
            .any(|(_, event)| matches!(event, SessionEvent::Silent(_)))
    );
}

#[test]
fn echoed_stamp_tells_when_the_other_side_was_alive() {
    let mut pair = Pair::new();
    pair.settle();
    let before_silence = pair.now;
    for _ in 0..100 {
        pair.step(|| 0);
    }
    let echoed_at = pair.sides[1]
        .echoed_at(11, pair.now)
        .expect("stamps were echoed");
    assert!(echoed_at <= before_silence);
}
