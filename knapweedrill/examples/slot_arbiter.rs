//! The slot arbiter: credit-based flow control between entries that share a minion's slots.
//!
//! Each entry reports its queued tasks to the sidecar of a minion. The sidecar grants credits, each
//! of which reserves a slot for one task. A task without a credit starts only on a slot that is not
//! reserved. Otherwise it is refused without having started and can be placed elsewhere.
//!
//! Run it with `cargo run -p knapweedrill --example slot_arbiter`.

use std::time::{Duration, Instant};

use knapweedrill::common::Incarnation;
use knapweedrill::contract::Class;
use knapweedrill::job::TaskId;
use knapweedrill::message::{Demand, Start};
use knapweedrill::sidecar::{ArbiterSettings, OfferDecision, SlotArbiter};

const RUN_TIME: Duration = Duration::from_millis(100);

fn demand(task_count: u32) -> Demand {
    Demand {
        team: "tin-a".to_owned(),
        class: Class::Normal,
        task_count,
        expected_run_time: RUN_TIME,
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
        expected_run_time: RUN_TIME,
        time_to_deadline: Duration::from_secs(10),
        uses_credit: false,
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

    // Two entries demand more slots than there are; each is granted half of them.
    arbiter.set_demands(1, vec![demand(10)], now);
    arbiter.set_demands(2, vec![demand(10)], now);
    for granted in arbiter.grant_credits(now) {
        println!("entry {} is granted {:?}", granted.entry, granted.credits);
    }

    // All slots are reserved, so the task of a third entry is refused without having started.
    let uncredited = start(3);
    assert_eq!(
        arbiter.offer(uncredited.clone(), 3, now),
        OfferDecision::Refuse(uncredited)
    );

    // A task with a credit runs at once.
    let credited = Start {
        uses_credit: true,
        ..start(1)
    };
    let offer = arbiter.offer(credited, 1, now);
    assert!(matches!(offer, OfferDecision::Run(_)));
    println!("{} of 4 slots run a task", arbiter.running_count());
}
