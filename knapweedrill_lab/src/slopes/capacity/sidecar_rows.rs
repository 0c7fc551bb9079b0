//! What a sidecar needs at the planned size.

use super::bound::Bound;
use super::figure::{bytes, count, grouped, percent};
use super::planned_size::{
    CHANGES_PER_DAY, CONFIGURATION_BYTES, DAY_S, DEMANDS_PER_S, KEPT_S, TARGETS, TEAMS,
    changes_per_s, starts_of_sidecar,
};
use super::row::Row;
use super::slope_table::{
    REMEMBERED_TASKS, SIDECAR_ENTRIES, SIDECAR_STARTS, SIDECAR_TEAMS, SlopeTable,
};
use crate::slopes::Quantity;

/// Returns the rows of a sidecar.
pub(super) fn rows(slopes: &SlopeTable<'_>) -> Vec<Row> {
    let mut rows = vec![
        remembered_tasks(slopes),
        links(slopes),
        entries(slopes),
        demands(slopes),
        configuration(),
    ];
    rows.extend(time_rows(slopes));
    rows.push(messages(slopes));
    rows
}

fn remembered_tasks(slopes: &SlopeTable<'_>) -> Row {
    let each = slopes.slope(REMEMBERED_TASKS, Quantity::Memory);
    let need = starts_of_sidecar() * KEPT_S * each;
    let arithmetic = format!(
        "m: {} starts/s × {KEPT_S} s × {} = {}",
        count(starts_of_sidecar()),
        bytes(each),
        bytes(need)
    );
    Row::new("state: tasks remembered", arithmetic)
        .need_of(Bound::Memory, need, KEPT_S * each, "starts/s")
        .mechanism("whole generations forgotten: exists")
}

fn links(slopes: &SlopeTable<'_>) -> Row {
    let each = slopes.slope(SIDECAR_ENTRIES, Quantity::Memory);
    let need = TARGETS * each;
    let arithmetic = format!("j: {TARGETS} × {} = {}", bytes(each), bytes(need));
    Row::new("state: links", arithmetic)
        .need_of(Bound::Memory, need, each, "entries")
        .mechanism("8 targets: exists")
}

fn entries(slopes: &SlopeTable<'_>) -> Row {
    let each = slopes.slope(SIDECAR_ENTRIES, Quantity::ControlBytes);
    let need = TARGETS * each;
    let arithmetic = format!("j: {TARGETS} × {} B/s = {}/s", count(each), bytes(need));
    Row::new("bytes: entries", arithmetic)
        .need_of(Bound::Traffic, need, each, "entries")
        .mechanism("8 targets: exists. Longer periods once a session lives: named only")
}

fn demands(slopes: &SlopeTable<'_>) -> Row {
    let each = slopes.slope(SIDECAR_TEAMS, Quantity::ControlBytes) / DEMANDS_PER_S;
    let need = TARGETS * TEAMS * DEMANDS_PER_S * each;
    let arithmetic = format!(
        "k, told {DEMANDS_PER_S} times a second: {TARGETS} entries × {TEAMS} teams × {DEMANDS_PER_S} × {} B = {}/s",
        count(each),
        bytes(need)
    );
    Row::new("bytes: demands", arithmetic)
        .need_of(
            Bound::Traffic,
            need,
            DEMANDS_PER_S * each,
            "teams times entries",
        )
        .mechanism("coalescing, and demands on starts: exist. Differences: named only")
}

fn configuration() -> Row {
    let need = changes_per_s() * CONFIGURATION_BYTES * TARGETS;
    let arithmetic = format!(
        "{} / {} a second × {} B × {TARGETS} entries = {}/s",
        grouped(CHANGES_PER_DAY),
        grouped(DAY_S),
        grouped(CONFIGURATION_BYTES),
        bytes(need)
    );
    Row::new("bytes: configuration", arithmetic)
        .need(Bound::Traffic, need)
        .mechanism("whole records, from each entry: exists. Deltas from one: named only")
}

fn time_rows(slopes: &SlopeTable<'_>) -> Vec<Row> {
    let each = slopes.slope(SIDECAR_ENTRIES, Quantity::ControlThread);
    let need = TARGETS * each;
    let idle = slopes.at_zero(SIDECAR_ENTRIES, Quantity::ControlThread);
    let entries_text = format!("j: {TARGETS} × {} % = {}", count(each), percent(need));
    vec![
        Row::new("time: control thread, entries", entries_text).need(Bound::Processor, need),
        Row::new(
            "time: control thread, idle",
            format!("j at size 0: {}", percent(idle)),
        )
        .need(Bound::Processor, idle)
        .mechanism("a tick of 10 ms"),
        Row::new(
            "time: control thread, starts",
            start_time(slopes, Quantity::ControlThread),
        )
        .state("task traffic, not control"),
        Row::new(
            "time: other threads, starts",
            start_time(slopes, Quantity::OtherThreads),
        )
        .state("task traffic")
        .mechanism("a thread a call"),
    ]
}

fn start_time(slopes: &SlopeTable<'_>, threads: Quantity) -> String {
    let each = slopes.slope(SIDECAR_STARTS, threads);
    format!(
        "l: {}/s × {} % = {}",
        count(starts_of_sidecar()),
        count(each),
        percent(starts_of_sidecar() * each)
    )
}

fn messages(slopes: &SlopeTable<'_>) -> Row {
    let arithmetic = format!(
        "l: {}, {} B",
        count(slopes.slope(SIDECAR_STARTS, Quantity::TaskMessages)),
        count(slopes.slope(SIDECAR_STARTS, Quantity::TaskBytes))
    );
    Row::new("messages a start", arithmetic)
        .state("2.2 messages")
        .mechanism("no batches in this load")
}
