//! Processes whose settings file holds fractions or extreme figures start, serve, survive the loss of a
//! peer and stop in order.

use std::fs;
use std::time::Duration;

use knapweedrill_lab::harness::{ChildProcess, PlatformSite, wait_until};
use test_case::test_case;

/// How long a process may take to stop; 1.5 s without work suffice, on a machine that is not busy.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a changed settings file may take to be read.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(3);

fn path(number: u64) -> String {
    format!("/normal/{number:016x}")
}

/// Asks a process to stop and returns its exit status.
fn stop(process: Option<&mut ChildProcess>) -> Option<i32> {
    let process = process.expect("the process was started");
    process.terminate().expect("the process is signalled");
    let status = process.wait_exit(STOP_TIMEOUT).expect("the process stops");
    status.code()
}

/// Stops an entry and the sidecar with the same index, and checks that both exit without an error.
fn assert_stops_in_order(site: &mut PlatformSite, index: usize) {
    let statuses = [stop(site.entry_mut(index)), stop(site.sidecar_mut(index))];
    assert_eq!(statuses, [Some(0); 2], "entry-{index} and sidecar-{index}");
}

/// Guards against fractions among the bounds that keep every process from starting, with which nothing is
/// served (review/10).
#[test]
fn processes_with_fractions_among_their_bounds_serve_and_stop() {
    let bounds = "GraceS = 2.5\nHoldMaxMs = 999.5\nStopTimeoutMs = 49.5\nRetransmitMs = 1299.5";
    let mut site = PlatformSite::start_with_bounds(2, 2, bounds).expect("the site starts");
    site.configure(3).expect("the entries become ready");
    for (entry, number) in [(0, 1), (1, 2)] {
        let served = site.submit(entry, &path(number), 4, 40);
        assert_eq!(served.expect("the entry responds").status, 200);
    }
    for index in 0..2 {
        assert_stops_in_order(&mut site, index);
    }
}

/// Guards against a sum with a bound that overflows and ends the process: at its start, at its stop, or
/// when a peer is lost.
#[test_case("GraceS = 9223372036854775807"; "largest whole grace period")]
#[test_case("GraceS = 1.8e19"; "largest grace period")]
#[test_case("HoldMaxMs = 1.8e22"; "largest lease")]
#[test_case("StopTimeoutMs = 9223372036854775807"; "largest whole stop time")]
#[test_case("StopTimeoutMs = 1.84467440737095e22"; "largest stop time")]
#[test_case("RetransmitMs = 1.8e22"; "largest resubmission delay")]
#[test_case("GraceS = 1e-300\nHoldMaxMs = 1e-300\nRetransmitMs = 1e-300"; "smallest figures")]
fn process_with_an_extreme_bound_survives_a_lost_peer_and_stops_in_order(bounds: &str) {
    let mut site = PlatformSite::start_with_bounds(1, 2, bounds).expect("the site starts");
    site.configure(3).expect("the entry becomes ready");
    let served = site.submit(0, &path(1), 4, 40).expect("the entry responds");
    assert_eq!(served.status, 200);
    let lost = site.sidecar_mut(1).expect("the sidecar was started");
    lost.freeze().expect("the sidecar is frozen");
    for number in 2..8 {
        let answer = site.submit(0, &path(number), 8, 100);
        assert!(answer.is_ok(), "no answer beside a lost peer: {answer:?}");
    }
    assert_stops_in_order(&mut site, 0);
}

/// Guards against a settings file that changes to such a figure, or is read half-written, and ends a
/// process that was well, and against a log line with another grace period than the one in force.
#[test]
fn process_survives_extreme_and_half_written_settings_that_it_reloads() {
    let mut site = PlatformSite::start(1, 1).expect("the site starts");
    site.configure(3).expect("the entry becomes ready");
    for name in ["entry-0", "sidecar-0"] {
        let file = site.directory().join(format!("{name}.toml"));
        let settings = fs::read_to_string(&file).expect("the settings can be read");
        let (half, _) = settings
            .split_once("= 50")
            .expect("the file has the stop time");
        let extreme = settings.replace("GraceS = 3", "GraceS = 9223372036854775807");
        let versions = [
            (half, "settings not taken over"),
            (extreme.as_str(), "\"grace_ms\":18446744073709551615"),
        ];
        for (text, line) in versions {
            fs::write(&file, text).expect("the settings can be written");
            let process = match name {
                "entry-0" => site.entry_mut(0),
                _ => site.sidecar_mut(0),
            };
            let process = process.expect("the process was started");
            process.reload().expect("the process is signalled");
            wait_until(line, RELOAD_TIMEOUT, || site.stdout_of(name).contains(line))
                .expect("the process reads its settings");
        }
    }
    let served = site.submit(0, &path(1), 4, 40).expect("the entry responds");
    assert_eq!(served.status, 200);
    assert_stops_in_order(&mut site, 0);
}
