//! What control costs an entry.

use std::thread;
use std::time::Duration;

use knapweedrill_lab::harness::{ClusterBuilder, MinionSpec};

const SIDECAR_COUNT: usize = 10;
/// The bound on the control traffic of a daemon, in bytes a second.
const BYTES_PER_SECOND_MAX: u64 = 4096;
/// Longer than processes that have just found each other talk more than usual.
const SETTLE: Duration = Duration::from_secs(2);
const SPAN: Duration = Duration::from_secs(4);

#[test]
fn control_of_ten_idle_sidecars_stays_within_the_bound_of_an_entry() {
    let mut cluster = ClusterBuilder::new()
        .entries(2)
        .minions(SIDECAR_COUNT, &MinionSpec::new())
        .start()
        .expect("the cluster starts");
    let api = cluster.entry(0).api();
    let read = || {
        ["control.bytes_received", "control.bytes_sent"]
            .map(|name| api.counter(name).expect("the entry tells its counters"))
    };
    thread::sleep(SETTLE);
    let before = read();
    thread::sleep(SPAN);
    let after = read();
    let rate = |index: usize| (after[index] - before[index]) / SPAN.as_secs();
    let (received, sent) = (rate(0), rate(1));
    println!("control received {received} bytes/s; all sent {sent} bytes/s");
    assert!(
        received <= BYTES_PER_SECOND_MAX,
        "received {received} bytes/s"
    );
    assert!(sent <= BYTES_PER_SECOND_MAX, "sent {sent} bytes/s");
}
