//! The page on capacity follows from measured slopes, and its hand-written text stays.

use std::fs;
use std::path::Path;

use knapweedrill::message::Role;
use knapweedrill_lab::slopes::capacity::{CapacityPage, Section};
use knapweedrill_lab::slopes::{Build, Fit, Quantity, SlopeReport, SlopesReport, SweepReport};
use test_case::test_case;

const SUBJECTS: [(Role, &str); 13] = [
    (Role::Entry, "minions"),
    (Role::Entry, "entries"),
    (Role::Entry, "teams with changing demand"),
    (Role::Entry, "queued tasks"),
    (Role::Entry, "jobs in flight"),
    (Role::Entry, "kept keys"),
    (Role::Entry, "configuration bytes in force a second"),
    (Role::Entry, "changes a second"),
    (Role::Entry, "starts a second"),
    (Role::Sidecar, "entries"),
    (Role::Sidecar, "teams with changing demand"),
    (Role::Sidecar, "starts a second"),
    (Role::Sidecar, "remembered tasks"),
];

fn slope_of(quantity: Quantity) -> f64 {
    match quantity {
        Quantity::ControlMessages => 2.0,
        Quantity::ControlBytes => 500.0,
        Quantity::TaskMessages => 0.5,
        Quantity::TaskBytes => 250.0,
        Quantity::ControlThread => 0.001,
        Quantity::OtherThreads => 0.003,
        Quantity::Memory => 1_000.0,
    }
}

fn measured(quantity: Quantity) -> SlopeReport {
    let slope = slope_of(quantity);
    SlopeReport {
        fit: Fit {
            slope,
            intercept: 1_000.0 * slope,
            residual: 0.0,
        },
        slope_min: slope / 2.0,
        slope_max: slope * 2.0,
        values: Vec::new(),
    }
}

fn sweep((role, grows_with): (Role, &str)) -> SweepReport {
    let slopes = Quantity::ALL.map(|quantity| (quantity.name().to_owned(), measured(quantity)));
    SweepReport {
        role,
        grows_with: grows_with.to_owned(),
        sizes: vec![10.0, 2_000.0],
        slopes: slopes.into_iter().collect(),
    }
}

fn report() -> SlopesReport {
    SlopesReport {
        build: Build::Release,
        load_average: "0.50 1.00 2.00 1/700 99\n".to_owned(),
        processor_count: 10,
        seconds: 261.4,
        sweeps: SUBJECTS.into_iter().map(sweep).collect(),
        failures: Default::default(),
    }
}

fn text(report: &SlopesReport, section: Section) -> String {
    let page = CapacityPage::new(report, "The machine was quiet.").expect("a whole run");
    page.text(section)
}

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/CAPACITY.md");
    fs::read_to_string(path).expect("the page exists")
}

#[test_case(Section::Run, "The machine was quiet. It took 261 s, with 0.50 1.00 2.00 as the load of the machine when it began, on 10 processors. The daemons were release builds."; "how it was measured")]
#[test_case(Section::Slopes, "| d | entry | queued tasks: 10.0, 2,000 | 2.00 (1.00 to 4.00; 0) | 500 (250 to 1,000; 0) |"; "a row of slopes")]
#[test_case(Section::Base, "knows nobody holds 1.0 MB"; "memory at size 0")]
#[test_case(Section::EntryCount, "7,417 × (0.001 + 0.003) % = 30 %"; "processor time of an entry")]
#[test_case(Section::EntryCount, "has room for\n2,900 starts a second"; "room for starts")]
#[test_case(Section::Entry, "a: 1,267 × 1.0 KB = 1.3 MB | fits; limit at 64,000 minions | 64 MB |"; "state of minions")]
#[test_case(Section::Entry, "f: 7,417/s × 300 s × 1.0 KB = 2.23 GB | **breaks**; limit at 213 jobs/s |"; "keys of small jobs")]
#[test_case(Section::Entry, "1.0 MB + 1.3 MB + 100.0 MB + 7.4 MB + 5.1 MB + 32 MiB of answers = 148.3 MB | **breaks** |"; "the sum of the state")]
#[test_case(Section::Entry, "a: 1,267 × 500 B/s = 633.3 KB/s | **breaks**; limit at 8.00 minions | 4 KB/s |"; "heartbeats")]
#[test_case(Section::Entry, "b: 11 × 500 B/s = 5.5 KB/s | **breaks**; limit at 8.00 entries |"; "other entries")]
#[test_case(Section::Entry, "72 teams × 1,267 minions × 50.0 B/s = 4.6 MB/s | **breaks**; limit at 80.0 teams times minions |"; "demands")]
#[test_case(Section::Entry, "a: 1,267 × 0.001 % = 1.3 % of a core | fits; limit at 2,900 minions | 2.9 % |"; "control thread")]
#[test_case(Section::Entry, "i: 0.5, 250 B"; "messages a start")]
#[test_case(Section::Sidecar, "m: 46.8 starts/s × 300 s × 1.0 KB = 14.1 MB | fits; limit at 213 starts/s |"; "remembered tasks")]
#[test_case(Section::Sidecar, "j: 8 × 500 B/s = 4.0 KB/s | fits; limit at 8.00 entries |"; "a need that just fits")]
#[test_case(Section::Sidecar, "l: 46.8/s × 0.003 % = 0.14 %"; "calls of tasks")]
fn figures_follow_from_the_slopes(section: Section, expected: &str) {
    let text = text(&report(), section);
    assert!(text.contains(expected), "{text}");
}

#[test]
fn another_slope_changes_the_verdict() {
    let mut report = report();
    let memory = Quantity::Memory.name();
    let slopes = &mut report.sweeps[0].slopes;
    slopes.get_mut(memory).expect("it is measured").fit.slope = 60_000.0;
    let text = text(&report, Section::Entry);
    let expected = "a: 1,267 × 60.0 KB = 76.0 MB | **breaks**; limit at 1,067 minions | 64 MB |";
    assert!(text.contains(expected), "{text}");
}

#[test]
fn the_page_has_each_marker_once() {
    for section in Section::ALL {
        section
            .replace(&page(), "")
            .unwrap_or_else(|error| panic!("{error}"));
    }
}

#[test]
fn text_between_sections_stays() {
    let report = report();
    let capacity = CapacityPage::new(&report, "Note.").expect("a whole run");
    let rewritten = capacity.rewrite(&page()).expect("the page has its markers");
    let blank = |page: String| {
        Section::ALL.into_iter().fold(page, |page, section| {
            section.replace(&page, "").expect("the markers stay")
        })
    };
    assert_eq!(blank(rewritten.clone()), blank(page()));
    let again = capacity.rewrite(&rewritten).expect("the markers stay");
    assert_eq!(again, rewritten);
}

#[test]
fn a_page_without_markers_is_refused() {
    let report = report();
    let capacity = CapacityPage::new(&report, "Note.").expect("a whole run");
    let error = capacity.rewrite("# Capacity\n").expect_err("no markers");
    assert!(error.to_string().contains("measured: run"), "{error}");
}

#[test]
fn a_run_that_lacks_a_subject_is_refused() {
    let mut report = report();
    report.sweeps.remove(5);
    let error = CapacityPage::new(&report, "Note.").err().expect("a gap");
    assert!(error.to_string().contains("kept keys"), "{error}");
}

#[test]
fn slopes_are_read_as_they_were_written() {
    let json = serde_json::to_string(&report()).expect("slopes are plain data");
    let read: SlopesReport = serde_json::from_str(&json).expect("the same form");
    for section in Section::ALL {
        assert_eq!(text(&read, section), text(&report(), section));
    }
}
