//! The slot arbiter: entries that share a minion's slots without asking each other.
//!
//! Each entry tells the sidecar of a minion what waits. The sidecar grants credits, each for a
//! task that it will find a slot for. Without a credit a task starts only on a slot that nobody
//! was promised, or it is refused and may be tried elsewhere: it did not start.
//!
//! Run it with `cargo run -p knapweedrill --example slot_arbiter`.

use std::time::{Duration, Instant};

use knapweedrill::common::Incarnation;
use knapweedrill::contract::Class;
use knapweedrill::job::TaskId;
use knapweedrill::message::{Demand, Start};
use knapweedrill::sidecar::{ArbiterSettings, Offer, SlotArbiter};

const RUN_TIME: Duration = Duration::from_millis(100);

fn demand(task_count: u32) -> Demand {
    Demand {
        team: "tin-a".to_owned(),
        class: Class::Normal,
        task_count,
        expected: RUN_TIME,
    }
}

fn start(owner: Incarnation) -> Start {
    Start {
        task: TaskId {
            owner,
            job: 1,
            index: 0,
        },
        generation: 0,
        attempt: 0,
        team: "tin-a".to_owned(),
        class: Class::Normal,
        kind: "proof".to_owned(),
        expected: RUN_TIME,
        deadline: Duration::from_secs(10),
        credited: false,
        payload: Vec::new(),
    }
}

fn main() {
    let now = Instant::now();
    let mut arbiter = SlotArbiter::new(ArbiterSettings {
        slot_count: 4,
        prefetch_count: 0,
        ..ArbiterSettings::default()
    });

    // Two entries want more than there is; each gets half.
    arbiter.demands(1, vec![demand(10)], now);
    arbiter.demands(2, vec![demand(10)], now);
    for granted in arbiter.grant(now) {
        println!("entry {} gets {:?}", granted.entry, granted.credits);
    }

    // All slots are promised, so a third entry's task is refused and did not start.
    let rival = start(3);
    assert_eq!(arbiter.offer(rival.clone(), 3, now), Offer::Refuse(rival));

    // The task of an entry with a credit runs at once.
    let credited = Start {
        credited: true,
        ..start(1)
    };
    let offer = arbiter.offer(credited, 1, now);
    assert!(matches!(offer, Offer::Run(_)));
    println!("{} of 4 slots run a task", arbiter.running_count());
}
