//! The table of slopes, and how it was measured.

use knapweedrill::message::Role;

use super::figure::{bytes, count};
use super::slope_table::{ENTRY_MINIONS, SIDECAR_ENTRIES, SUBJECTS, SlopeTable};
use crate::slopes::{Quantity, Subject};

/// Tells when, how and on what the slopes were measured.
pub(super) fn run(slopes: &SlopeTable<'_>, note: &str) -> String {
    let report = slopes.report();
    let load: Vec<&str> = report.load_average.split_whitespace().take(3).collect();
    format!(
        "{note} It took {:.0} s, with {} as the load of the machine when it began, on {} processors. {}",
        report.seconds,
        load.join(" "),
        report.processor_count,
        report.build.sentence()
    )
}

/// Writes the table of slopes.
pub(super) fn table(slopes: &SlopeTable<'_>) -> String {
    let mut lines = vec![
        head(),
        format!("|{}", "---|".repeat(3 + Quantity::ALL.len())),
    ];
    for (letter, subject) in ('a'..).zip(SUBJECTS) {
        lines.push(row(slopes, letter, subject));
    }
    lines.join("\n")
}

/// Tells what a process holds that knows nobody.
pub(super) fn base(slopes: &SlopeTable<'_>) -> String {
    format!(
        "An entry that knows nobody holds {} (memory at size 0 of a); a sidecar {} (j).",
        bytes(slopes.at_zero(ENTRY_MINIONS, Quantity::Memory)),
        bytes(slopes.at_zero(SIDECAR_ENTRIES, Quantity::Memory))
    )
}

fn head() -> String {
    let quantities = Quantity::ALL.map(Quantity::name).join(" | ");
    format!("| id | role | grows with: sizes | {quantities} |")
}

fn row(slopes: &SlopeTable<'_>, letter: char, subject: Subject) -> String {
    let role = match subject.role {
        Role::Entry => "entry",
        Role::Sidecar => "sidecar",
    };
    let sizes: Vec<String> = slopes
        .sweep(subject)
        .sizes
        .iter()
        .map(|size| count(*size))
        .collect();
    let cells = Quantity::ALL.map(|quantity| cell(slopes, subject, quantity));
    format!(
        "| {letter} | {role} | {}: {} | {} |",
        subject.grows_with,
        sizes.join(", "),
        cells.join(" | ")
    )
}

fn cell(slopes: &SlopeTable<'_>, subject: Subject, quantity: Quantity) -> String {
    let measured = slopes.cell(subject, quantity);
    format!(
        "{} ({} to {}; {})",
        count(measured.fit.slope),
        count(measured.slope_min),
        count(measured.slope_max),
        count(measured.fit.residual)
    )
}
