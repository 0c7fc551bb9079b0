//! A foreign process sends malformed frames and datagrams to the link addresses of all daemons.

use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::thread;
use std::time::Duration;

use eyre::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::faults::fault_case::Seed;
use crate::faults::{CallerWorkload, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, EntryApi, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(500);
const ROUND_COUNT: u32 = 100;
const ROUND_PAUSE: Duration = Duration::from_millis(20);
const NOISE_BYTES_MAX: usize = 1400;
/// A length prefix far above the maximum length of a frame.
const OVERSIZED_FRAME: [u8; 8] = [0xff; 8];

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallerWorkload::new(), WARM_UP);
    let entries = run
        .cluster
        .entries()
        .iter()
        .map(|entry| entry.link_address());
    let minions = run.cluster.minions().iter();
    let targets: Vec<SocketAddr> = entries
        .chain(minions.map(|minion| minion.link_address()))
        .collect();
    send_malformed(&targets, seed)?;
    let entries = run.cluster.entries().iter().map(|entry| entry.api());
    let minions = run.cluster.minions().iter();
    let apis: Vec<EntryApi> = entries
        .chain(minions.map(|minion| minion.sidecar_api()))
        .collect();
    let mut counts = Vec::new();
    for api in apis {
        let frame_count = api.counter("link.frames_malformed")?;
        let datagram_count = api.counter("membership.datagrams_malformed")?;
        counts.push((frame_count, datagram_count));
    }
    let mut report = run.finish()?;
    report.expect_all_complete();
    let are_counted = counts
        .iter()
        .all(|(frame_count, datagram_count)| *frame_count > 0 && *datagram_count > 0);
    report.expect(
        are_counted,
        format!("all daemons count malformed frames and datagrams; counted {counts:?}"),
    );
    Ok(report)
}

/// Sends random datagrams and frames, and opens connections that stay idle.
fn send_malformed(targets: &[SocketAddr], seed: Seed) -> Result<()> {
    let mut random = StdRng::seed_from_u64(seed);
    let socket = UdpSocket::bind((targets[0].ip(), 0))?;
    let mut open_streams = Vec::new();
    for round in 0..ROUND_COUNT {
        for target in targets {
            let count = random.random_range(0..NOISE_BYTES_MAX);
            let noise: Vec<u8> = (0..count).map(|_| random.random()).collect();
            // Send errors are ignored; the counters and the history show the effect on the daemon.
            let _ = socket.send_to(&noise, target);
            if let Ok(mut stream) = TcpStream::connect(target) {
                let _ = match round % 3 {
                    0 => stream.write_all(&noise),
                    1 => stream.write_all(&OVERSIZED_FRAME),
                    _ => Ok(()),
                };
                open_streams.push(stream);
            }
        }
        thread::sleep(ROUND_PAUSE);
    }
    Ok(())
}
