//! How the cost of a sidecar grows.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use eyre::Result;
use knapweedrill::contract::Class;
use knapweedrill::job::TaskId;
use knapweedrill::message::{Demand, Message, Start};

use super::bench::{Bench, SLOT_COUNT, configuration};
use super::{FakePeer, Scale, Series};
use crate::harness::wait_until;
use crate::stand_in::minion::TaskPayload;

/// The run time of a task.
const RUN_TIME: Duration = Duration::from_millis(1);

/// The deadline of a task.
const DEADLINE: Duration = Duration::from_secs(30);

/// How long a burst of tasks may take.
const BURST_TIMEOUT: Duration = Duration::from_secs(10);

static NEXT_JOB: AtomicU64 = AtomicU64::new(1);

pub(super) fn entries(scale: &Scale) -> Result<Series> {
    let bench = Bench::sidecar()?;
    let mut peers = Vec::new();
    let mut series = Series::new();
    for size in scale.sizes(&[2, 4, 6, 8]) {
        while peers.len() < size {
            peers.push(FakePeer::entry_of_sidecar(bench.link_address())?);
        }
        bench.wait_for("membership.entries", size as u64)?;
        series.push((size as f64, scale.observe(&bench)?));
    }
    Ok(series)
}

/// Teams that have work waiting at one entry, which tells of them five times a second.
pub(super) fn teams(scale: &Scale) -> Result<Series> {
    let (bench, peer) = with_entry()?;
    // All slots are taken, so that no credit answers a demand.
    peer.send(starts(&peer, SLOT_COUNT as usize, DEADLINE))?;
    let mut series = Series::new();
    for size in scale.sizes(&[8, 24, 48, 72]) {
        let is_stopped = AtomicBool::new(false);
        let observed = thread::scope(|scope| {
            scope.spawn(|| tell_demands_until(&is_stopped, &peer, size));
            let observed = scale.observe(&bench);
            is_stopped.store(true, Ordering::Relaxed);
            observed
        })?;
        series.push((size as f64, observed));
    }
    Ok(series)
}

/// Starts a second.
pub(super) fn start_rate(scale: &Scale) -> Result<Series> {
    let (bench, peer) = with_entry()?;
    let mut series = Series::new();
    for size in scale.sizes(&[50, 100, 200, 400]) {
        let is_stopped = AtomicBool::new(false);
        let observed = thread::scope(|scope| {
            scope.spawn(|| start_until(&is_stopped, &peer, size));
            let observed = scale.observe(&bench);
            is_stopped.store(true, Ordering::Relaxed);
            observed
        })?;
        series.push((observed.starts_per_s(), observed));
    }
    Ok(series)
}

/// Tasks that have been started and are remembered.
pub(super) fn remembered_tasks(scale: &Scale) -> Result<Series> {
    let (bench, peer) = with_entry()?;
    let mut series = Series::new();
    for size in scale.sizes(&[640, 3_200, 6_400, 9_600]) {
        while peer.reports_count() < size as u64 {
            let done_count = peer.reports_count() + u64::from(SLOT_COUNT);
            peer.send(starts(&peer, SLOT_COUNT as usize, RUN_TIME))?;
            wait_until("the reports of a burst", BURST_TIMEOUT, || {
                peer.reports_count() >= done_count
            })?;
        }
        series.push((peer.reports_count() as f64, scale.observe(&bench)?));
    }
    Ok(series)
}

fn with_entry() -> Result<(Bench, FakePeer)> {
    let bench = Bench::sidecar()?;
    let peer = FakePeer::entry_of_sidecar(bench.link_address())?;
    bench.wait_for("membership.entries", 1)?;
    peer.configure(&configuration(72, 2))?;
    bench.wait_for("configuration.in_force", 1)?;
    bench.wait_for("slots.free", u64::from(SLOT_COUNT))?;
    Ok((bench, peer))
}

fn tell_demands_until(is_stopped: &AtomicBool, peer: &FakePeer, team_count: usize) {
    for round in 1.. {
        if is_stopped.load(Ordering::Relaxed) {
            return;
        }
        let demands = (0..team_count)
            .map(|team| Demand {
                team: format!("team-{team}"),
                class: Class::Normal,
                task_count: round,
                expected: RUN_TIME,
            })
            .collect();
        // A broken link shows in what is observed.
        let _ = peer.send(Message::Demands(demands));
        thread::sleep(Duration::from_millis(200));
    }
}

fn start_until(is_stopped: &AtomicBool, peer: &FakePeer, rate: usize) {
    let began = Instant::now();
    for number in 1.. {
        if is_stopped.load(Ordering::Relaxed) {
            return;
        }
        // A broken link shows in what is observed.
        let _ = peer.send(starts(peer, 1, RUN_TIME));
        let due = Duration::from_secs(1) * number / rate as u32;
        thread::sleep(due.saturating_sub(began.elapsed()));
    }
}

fn starts(peer: &FakePeer, count: usize, run_time: Duration) -> Message {
    let payload = TaskPayload::new(run_time, "die proof 0123456789");
    let start = |_| Start {
        task: TaskId {
            owner: peer.incarnation(),
            job: u128::from(NEXT_JOB.fetch_add(1, Ordering::Relaxed)),
            index: 0,
        },
        generation: 0,
        attempt: 0,
        team: "team-0".to_owned(),
        class: Class::Normal,
        kind: "kind-0".to_owned(),
        expected: run_time,
        deadline: DEADLINE * 2,
        credited: false,
        payload: payload.to_json().into_bytes(),
    };
    Message::Start {
        tasks: (0..count).map(start).collect(),
        demands: None,
    }
}
