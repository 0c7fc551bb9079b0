//! Tests the control traffic of an entry.

use std::thread;
use std::time::Duration;

use knapweedrill_lab::harness::{ClusterBuilder, MinionSpec};

const SIDECAR_COUNT: usize = 10;
/// The limit on the control traffic of a daemon in each direction.
const BYTES_PER_SECOND_MAX: u64 = 4096;
/// The time before the measurement. Processes send more than usual after they discover each other.
const WARM_UP: Duration = Duration::from_secs(2);
/// The duration of the measurement.
const MEASUREMENT: Duration = Duration::from_secs(4);

#[test]
fn control_traffic_of_an_entry_with_ten_idle_sidecars_stays_within_the_limit() {
    let mut cluster = ClusterBuilder::new()
        .entries(2)
        .minions(SIDECAR_COUNT, &MinionSpec::new())
        .start()
        .expect("the cluster starts");
    let api = cluster.entry(0).api();
    let read = || {
        ["control.bytes_received", "control.bytes_sent"]
            .map(|name| api.counter(name).expect("the entry serves its counters"))
    };
    thread::sleep(WARM_UP);
    let before = read();
    thread::sleep(MEASUREMENT);
    let after = read();
    let rate = |index: usize| (after[index] - before[index]) / MEASUREMENT.as_secs();
    let (received, sent) = (rate(0), rate(1));
    println!("control received {received} bytes/s; all sent {sent} bytes/s");
    assert!(
        received <= BYTES_PER_SECOND_MAX,
        "received {received} bytes/s"
    );
    assert!(sent <= BYTES_PER_SECOND_MAX, "sent {sent} bytes/s");
}
