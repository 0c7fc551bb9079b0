//! What an entry needs at the planned size.

use super::bound::Bound;
use super::figure::{bytes, count, grouped, percent};
use super::planned_size::{
    ANSWER_BYTES, CHANGES_PER_DAY, CONFIGURATION_BYTES, DAY_S, ENTRIES, KEPT_S, LARGE_JOB_TASKS,
    LOG_READS_PER_S, QUEUED_TASKS as QUEUED_TASK_COUNT, REPLACEMENTS_PER_DAY, SENT_MINION_BYTES,
    STORED_MINION_BYTES, SWEEP_MINIONS, TEAMS, WORKERS, changes_per_s, minions_of_entry,
    roster_changes_per_s, starts_of_entry,
};
use super::row::Row;
use super::slope_table::{
    CONFIGURATION_BYTES as CONFIGURATION, ENTRY_ENTRIES, ENTRY_MINIONS, ENTRY_STARTS, ENTRY_TEAMS,
    JOBS_IN_FLIGHT, KEPT_KEYS, QUEUED_TASKS, SlopeTable,
};
use crate::slopes::Quantity;

/// Returns the rows of an entry.
pub(super) fn rows(slopes: &SlopeTable<'_>) -> Vec<Row> {
    let mut rows = state_rows(slopes);
    rows.extend(traffic_rows(slopes));
    rows.extend(time_rows(slopes));
    rows.push(messages(slopes));
    rows.push(log_appends());
    rows
}

fn state_rows(slopes: &SlopeTable<'_>) -> Vec<Row> {
    vec![
        minions(slopes),
        queued_tasks(slopes),
        jobs_in_flight(slopes),
        keys_of_small_jobs(slopes),
        keys_of_large_jobs(slopes),
        rosters(),
        whole_state(slopes),
    ]
}

fn minions(slopes: &SlopeTable<'_>) -> Row {
    let count_of_minions = minions_of_entry();
    let each = slopes.slope(ENTRY_MINIONS, Quantity::Memory);
    let need = count_of_minions * each;
    let arithmetic = format!(
        "a: {} × {} = {}",
        count(count_of_minions),
        bytes(each),
        bytes(need)
    );
    Row::new("state: minions known", arithmetic)
        .need_of(Bound::Memory, need, each, "minions")
        .mechanism(
            "each sidecar beats to at most 8 entries, rendezvous-chosen, and only those dial it: exists. Smaller subsets: named only",
        )
}

fn queued_tasks(slopes: &SlopeTable<'_>) -> Row {
    let each = slopes.slope(QUEUED_TASKS, Quantity::Memory);
    let need = QUEUED_TASK_COUNT * each;
    let arithmetic = format!(
        "d: {} (`queued_tasks`) × {} = {}",
        grouped(QUEUED_TASK_COUNT),
        bytes(each),
        bytes(need)
    );
    Row::new("state: queued tasks", arithmetic)
        .need_of(Bound::Memory, need, each, "tasks")
        .mechanism("bounds on tasks, bytes and wait: exist")
}

fn jobs_in_flight(slopes: &SlopeTable<'_>) -> Row {
    let each = slopes.slope(JOBS_IN_FLIGHT, Quantity::Memory);
    let need = starts_of_entry() * each;
    let arithmetic = format!(
        "e: {} starts/s × 1 s, as jobs of one task × {} = {}",
        count(starts_of_entry()),
        bytes(each),
        bytes(need)
    );
    Row::new("state: jobs in flight", arithmetic)
        .need_of(Bound::Memory, need, each, "jobs")
        .mechanism("admission: exists")
}

fn keys_of_small_jobs(slopes: &SlopeTable<'_>) -> Row {
    let each = slopes.slope(KEPT_KEYS, Quantity::Memory);
    let need = starts_of_entry() * KEPT_S * each;
    let arithmetic = format!(
        "f: {}/s × {KEPT_S} s × {} = {}",
        count(starts_of_entry()),
        bytes(each),
        bytes(need)
    );
    Row::new("state: kept keys, jobs of one task", arithmetic)
        .need_of(Bound::Memory, need, KEPT_S * each, "jobs/s")
        .mechanism(
            "generations expire after `kept_keys_ms`, at most 1,000,000 keys, then `not-run`: exists. A compact table of ended keys: named only",
        )
}

/// Returns the bytes of the keys of large jobs.
fn large_job_keys_bytes(slopes: &SlopeTable<'_>) -> f64 {
    let each = slopes.slope(KEPT_KEYS, Quantity::Memory);
    starts_of_entry() / LARGE_JOB_TASKS * KEPT_S * each
}

fn keys_of_large_jobs(slopes: &SlopeTable<'_>) -> Row {
    let each = slopes.slope(KEPT_KEYS, Quantity::Memory);
    let need = large_job_keys_bytes(slopes);
    let arithmetic = format!(
        "f: {}/s × {KEPT_S} s × {} = {}, answers apart",
        count(starts_of_entry() / LARGE_JOB_TASKS),
        bytes(each),
        bytes(need)
    );
    Row::new("state: kept keys, jobs of 440 tasks", arithmetic)
        .need(Bound::Memory, need)
        .mechanism("answers: budget of 32 MiB, exists")
}

fn rosters() -> Row {
    let set_count = roster_changes_per_s() * KEPT_S;
    let each = set_count * minions_of_entry() * STORED_MINION_BYTES;
    let arithmetic = format!(
        "two changes for each of {REPLACEMENTS_PER_DAY} replaced VMs; those of {KEPT_S} s are kept: {REPLACEMENTS_PER_DAY} × 2 / {} × {KEPT_S} = {set_count:.0} sets of {} × {STORED_MINION_BYTES} B = {} an entry, times {ENTRIES} entries",
        grouped(DAY_S),
        count(minions_of_entry()),
        bytes(each)
    );
    Row::new("state: rosters", arithmetic)
        .need(Bound::Memory, each * ENTRIES)
        .mechanism("digest in the token, sets stored once: exists")
}

fn whole_state(slopes: &SlopeTable<'_>) -> Row {
    let parts = [
        slopes.at_zero(ENTRY_MINIONS, Quantity::Memory),
        minions_of_entry() * slopes.slope(ENTRY_MINIONS, Quantity::Memory),
        QUEUED_TASK_COUNT * slopes.slope(QUEUED_TASKS, Quantity::Memory),
        starts_of_entry() * slopes.slope(JOBS_IN_FLIGHT, Quantity::Memory),
        large_job_keys_bytes(slopes),
    ];
    let need = parts.iter().sum::<f64>() + ANSWER_BYTES;
    let arithmetic = format!(
        "{} + 32 MiB of answers = {}",
        parts.map(bytes).join(" + "),
        bytes(need)
    );
    Row::new("state: all of the above, jobs of 440 tasks", arithmetic)
        .need(Bound::Memory, need)
        .mechanism("the parts do not share one budget: named only")
}

fn traffic_rows(slopes: &SlopeTable<'_>) -> Vec<Row> {
    vec![
        heartbeats(slopes),
        other_entries(slopes),
        sent_rosters(),
        demands(slopes),
        configuration(slopes),
    ]
}

fn heartbeats(slopes: &SlopeTable<'_>) -> Row {
    let each = slopes.slope(ENTRY_MINIONS, Quantity::ControlBytes);
    let need = minions_of_entry() * each;
    let arithmetic = format!(
        "a: {} × {} B/s = {}/s",
        count(minions_of_entry()),
        count(each),
        bytes(need)
    );
    Row::new("bytes: heartbeats and sessions of minions", arithmetic)
        .need_of(Bound::Traffic, need, each, "minions")
        .mechanism(
            "8 targets each: exists. Subsets an entry, heartbeats that ride on task traffic, longer periods: named only",
        )
}

fn other_entries(slopes: &SlopeTable<'_>) -> Row {
    let each = slopes.slope(ENTRY_ENTRIES, Quantity::ControlBytes);
    let others = ENTRIES - 1.0;
    let need = others * each;
    let arithmetic = format!("b: {others} × {} B/s = {}/s", count(each), bytes(need));
    Row::new("bytes: other entries", arithmetic)
        .need_of(Bound::Traffic, need, each, "entries")
        .mechanism("8 targets a period, 2 entries named in a heartbeat: exist")
}

fn sent_rosters() -> Row {
    let others = ENTRIES - 1.0;
    let set_bytes = minions_of_entry() * SENT_MINION_BYTES;
    let need = 2.0 * roster_changes_per_s() * set_bytes * others;
    let arithmetic = format!(
        "{REPLACEMENTS_PER_DAY} × 2 / {} a second × {} × {SENT_MINION_BYTES} B × {others} entries, sent and received = {}/s",
        grouped(DAY_S),
        count(minions_of_entry()),
        bytes(need)
    );
    Row::new("bytes: rosters", arithmetic)
        .need(Bound::Traffic, need)
        .mechanism("whole sets are sent: exists. Differences against a digest: named only")
}

fn demands(slopes: &SlopeTable<'_>) -> Row {
    let each = slopes.slope(ENTRY_TEAMS, Quantity::ControlBytes) / SWEEP_MINIONS;
    let need = TEAMS * minions_of_entry() * each;
    let arithmetic = format!(
        "c over its {SWEEP_MINIONS} minions: {TEAMS} teams × {} minions × {} B/s = {}/s",
        count(minions_of_entry()),
        count(each),
        bytes(need)
    );
    Row::new("bytes: demands", arithmetic)
        .need_of(Bound::Traffic, need, each, "teams times minions")
        .mechanism(
            "coalesced to one message a minion in 200 ms, on starts where there are any: exists. Differences, subsets: named only",
        )
}

fn configuration(slopes: &SlopeTable<'_>) -> Row {
    let each = slopes.slope(CONFIGURATION, Quantity::ControlBytes) / SWEEP_MINIONS;
    let peers = minions_of_entry() + ENTRIES - 1.0;
    let bytes_of_peer = changes_per_s() * CONFIGURATION_BYTES * each;
    let need = bytes_of_peer * peers;
    let arithmetic = format!(
        "g over its {SWEEP_MINIONS} peers: {} / {} a second × {} B × {} peers × {} = {}/s",
        grouped(CHANGES_PER_DAY),
        grouped(DAY_S),
        grouped(CONFIGURATION_BYTES),
        count(peers),
        count(each),
        bytes(need)
    );
    Row::new("bytes: configuration", arithmetic)
        .need_of(Bound::Traffic, need, bytes_of_peer, "peers")
        .mechanism(
            "whole records pushed on every session: exists. Deltas, and a push only by the entries that a sidecar chose: named only",
        )
}

fn time_rows(slopes: &SlopeTable<'_>) -> Vec<Row> {
    let others = ENTRIES - 1.0;
    let minion = slopes.slope(ENTRY_MINIONS, Quantity::ControlThread);
    let entry = slopes.slope(ENTRY_ENTRIES, Quantity::ControlThread);
    let idle = slopes.at_zero(ENTRY_MINIONS, Quantity::ControlThread);
    let of_minions = minions_of_entry() * minion;
    let minions_text = format!(
        "a: {} × {} % = {} of a core",
        count(minions_of_entry()),
        count(minion),
        percent(of_minions)
    );
    let entries_text = format!(
        "b: {others} × {} % = {}",
        count(entry),
        percent(others * entry)
    );
    vec![
        Row::new("time: control thread, minions", minions_text)
            .need_of(Bound::Processor, of_minions, minion, "minions")
            .mechanism("as for the bytes"),
        Row::new("time: control thread, entries", entries_text)
            .need(Bound::Processor, others * entry),
        Row::new(
            "time: control thread, idle",
            format!("a at size 0: {}", percent(idle)),
        )
        .need(Bound::Processor, idle)
        .mechanism("a tick of 10 ms"),
        Row::new(
            "time: control thread, starts",
            start_time(slopes, Quantity::ControlThread),
        )
        .state("task traffic, not control")
        .mechanism("batches; the state machine is one thread"),
        Row::new(
            "time: other threads, starts",
            start_time(slopes, Quantity::OtherThreads),
        )
        .state("task traffic")
        .mechanism("HTTP, reader and writer threads"),
    ]
}

fn start_time(slopes: &SlopeTable<'_>, threads: Quantity) -> String {
    let each = slopes.slope(ENTRY_STARTS, threads);
    format!(
        "i: {}/s × {} % = {} of a core",
        count(starts_of_entry()),
        count(each),
        percent(starts_of_entry() * each)
    )
}

fn messages(slopes: &SlopeTable<'_>) -> Row {
    let arithmetic = format!(
        "i: {}, {} B",
        count(slopes.slope(ENTRY_STARTS, Quantity::TaskMessages)),
        count(slopes.slope(ENTRY_STARTS, Quantity::TaskBytes))
    );
    Row::new("messages a start", arithmetic)
        .state("2.2 messages")
        .mechanism(
            "starts and results in batches; this load sends jobs of 40 tasks to minions that end at once",
        )
}

fn log_appends() -> Row {
    let processes = WORKERS + ENTRIES;
    let a_day = CHANGES_PER_DAY + REPLACEMENTS_PER_DAY * ENTRIES / processes;
    let arithmetic = format!(
        "{} + {REPLACEMENTS_PER_DAY} × {ENTRIES} / {processes} entries a day = {:.3} a second; reads: {ENTRIES} × {LOG_READS_PER_S} = {} a second",
        grouped(CHANGES_PER_DAY),
        a_day / DAY_S,
        ENTRIES * LOG_READS_PER_S
    );
    Row::new("log appends", arithmetic)
        .state("fits")
        .bound("several hundred a second")
        .mechanism("log of the platform; the tail polls each 250 ms: exist")
}
