//! Links that delay, break and open again.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use knapweedrill::common::Incarnation;
use knapweedrill::message::Message;
use rand::RngExt;
use rand::rngs::StdRng;

use super::Timing;

/// What reaches a process over a link.
#[derive(Debug, Clone)]
pub(super) enum Delivery {
    Up(u64),
    Down,
    Message(Message),
}

#[derive(Debug, Clone)]
struct Item {
    due: Instant,
    delivery: Delivery,
}

/// One direction of a link, and the session that its sender believes to be open.
#[derive(Debug, Default)]
struct Direction {
    items: VecDeque<Item>,
    sender_session: Option<u64>,
}

/// A link between two processes.
#[derive(Debug)]
struct Link {
    session: u64,
    is_open: bool,
    reopen_at: Instant,
}

type Pair = (Incarnation, Incarnation);

/// All links. Messages of one direction keep their order; those of different links do not.
#[derive(Debug, Default)]
pub(super) struct Network {
    links: BTreeMap<Pair, Link>,
    directions: BTreeMap<Pair, Direction>,
}

impl Network {
    /// Opens a link for the first time, unless there is one.
    pub(super) fn connect(&mut self, one: Incarnation, other: Incarnation, now: Instant) {
        self.links.entry(pair(one, other)).or_insert(Link {
            session: 0,
            is_open: false,
            reopen_at: now,
        });
    }

    /// Opens the broken links whose time has come, between processes that are not frozen.
    pub(super) fn reopen(&mut self, now: Instant, is_frozen: impl Fn(Incarnation) -> bool) {
        for ((one, other), link) in &mut self.links {
            if link.is_open || link.reopen_at > now || is_frozen(*one) || is_frozen(*other) {
                continue;
            }
            link.is_open = true;
            link.session += 1;
            for direction in [(*one, *other), (*other, *one)] {
                let direction = self.directions.entry(direction).or_default();
                direction.push(now, Delivery::Up(link.session));
            }
        }
    }

    /// Sends a message; it is lost if the sender's session is not the one that is open.
    pub(super) fn send(
        &mut self,
        from: Incarnation,
        to: Incarnation,
        message: Message,
        due: Instant,
    ) {
        let Some(link) = self.links.get(&pair(from, to)) else {
            return;
        };
        let direction = self.directions.entry((from, to)).or_default();
        if link.is_open && direction.sender_session == Some(link.session) {
            direction.push(due, Delivery::Message(message));
        }
    }

    /// Breaks a link: each direction loses a part of what is under way, and each end learns so.
    pub(super) fn cut(
        &mut self,
        (one, other): Pair,
        now: Instant,
        timing: &Timing,
        random: &mut StdRng,
        is_frozen: impl Fn(Incarnation) -> bool,
    ) {
        let Some(link) = self.links.get_mut(&pair(one, other)) else {
            return;
        };
        if !link.is_open {
            return;
        }
        link.is_open = false;
        link.reopen_at = now + millis(random, timing.outage_ms.clone());
        for (from, to) in [(one, other), (other, one)] {
            let direction = self.directions.entry((from, to)).or_default();
            // What has reached a frozen process is read when it goes on.
            if !is_frozen(to) {
                direction.lose_tail(random);
            }
            direction.push(
                now + millis(random, timing.notice_ms.clone()),
                Delivery::Down,
            );
        }
    }

    /// Removes a process; the others learn that their links broke.
    pub(super) fn remove(&mut self, gone: Incarnation, keeps_sent: bool, now: Instant) {
        let peers: Vec<Incarnation> = self
            .links
            .extract_if(.., |(one, other), _| *one == gone || *other == gone)
            .map(|((one, other), _)| if one == gone { other } else { one })
            .collect();
        for peer in peers {
            self.directions.remove(&(peer, gone));
            let direction = self.directions.entry((gone, peer)).or_default();
            if !keeps_sent {
                direction.items.retain(|item| item.due <= now);
            }
            direction.push(now, Delivery::Down);
        }
    }

    /// Takes the next delivery that is due at a process.
    pub(super) fn next_due(
        &mut self,
        now: Instant,
        random: &mut StdRng,
        is_frozen: impl Fn(Incarnation) -> bool,
    ) -> Option<(Incarnation, Incarnation, Delivery)> {
        let ready: Vec<Pair> = self
            .directions
            .iter()
            .filter(|((_, to), direction)| direction.is_due(now) && !is_frozen(*to))
            .map(|(ends, _)| *ends)
            .collect();
        if ready.is_empty() {
            return None;
        }
        let (from, to) = ready[random.random_range(0..ready.len())];
        let item = self.directions.get_mut(&(from, to))?.items.pop_front()?;
        let session = match &item.delivery {
            Delivery::Up(session) => Some(Some(*session)),
            Delivery::Down => Some(None),
            Delivery::Message(_) => None,
        };
        if let Some(session) = session {
            let back = self.directions.entry((to, from)).or_default();
            back.sender_session = session;
        }
        Some((from, to, item.delivery))
    }

    /// Returns the links that are open.
    pub(super) fn open_pairs(&self) -> Vec<Pair> {
        let open = self.links.iter().filter(|(_, link)| link.is_open);
        open.map(|(ends, _)| *ends).collect()
    }
}

impl Direction {
    fn push(&mut self, due: Instant, delivery: Delivery) {
        let last = self.items.back().map_or(due, |last| last.due);
        self.items.push_back(Item {
            due: due.max(last),
            delivery,
        });
    }

    fn is_due(&self, now: Instant) -> bool {
        self.items.front().is_some_and(|item| item.due <= now)
    }

    /// Loses the messages from a random one on; notices of sessions are not messages.
    fn lose_tail(&mut self, random: &mut StdRng) {
        let kept_count = random.random_range(0..=self.items.len());
        let mut position = 0;
        self.items.retain(|item| {
            position += 1;
            position <= kept_count || !matches!(item.delivery, Delivery::Message(_))
        });
    }
}

fn pair(one: Incarnation, other: Incarnation) -> Pair {
    (one.min(other), one.max(other))
}

/// Draws a time span.
pub(super) fn millis(random: &mut StdRng, span_ms: std::ops::RangeInclusive<u64>) -> Duration {
    Duration::from_millis(random.random_range(span_ms))
}
