//! A stranger sends malformed frames and datagrams to the links of all daemons.

use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::thread;
use std::time::Duration;

use eyre::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::faults::fault_case::Seed;
use crate::faults::{CallPlan, FaultCase, FaultReport, FaultRun};
use crate::harness::{ClusterBuilder, EntryApi, MinionSpec};

const WARM_UP: Duration = Duration::from_millis(500);
const ROUND_COUNT: u32 = 100;
const ROUND_PAUSE: Duration = Duration::from_millis(20);
const NOISE_BYTES_MAX: usize = 1400;
/// A length prefix far beyond any frame.
const HUGE_FRAME: [u8; 8] = [0xff; 8];

pub(in crate::faults) fn run(case: FaultCase, seed: Seed) -> Result<FaultReport> {
    let cluster = ClusterBuilder::new()
        .entries(2)
        .minions(2, &MinionSpec::new());
    let mut run = FaultRun::start(case, seed, cluster)?;
    run.start_callers(&CallPlan::new(), WARM_UP);
    let entries = run
        .cluster
        .entries()
        .iter()
        .map(|entry| entry.link_address());
    let minions = run.cluster.minions().iter();
    let targets: Vec<SocketAddr> = entries
        .chain(minions.map(|minion| minion.link_address()))
        .collect();
    disturb(&targets, seed)?;
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
        format!("all count malformed frames and datagrams; they counted {counts:?}"),
    );
    Ok(report)
}

fn disturb(targets: &[SocketAddr], seed: Seed) -> Result<()> {
    let mut random = StdRng::seed_from_u64(seed);
    let socket = UdpSocket::bind((targets[0].ip(), 0))?;
    let mut kept_open = Vec::new();
    for round in 0..ROUND_COUNT {
        for target in targets {
            let count = random.random_range(0..NOISE_BYTES_MAX);
            let noise: Vec<u8> = (0..count).map(|_| random.random()).collect();
            // What the daemon makes of it shows in the history only.
            let _ = socket.send_to(&noise, target);
            if let Ok(mut stream) = TcpStream::connect(target) {
                let _ = match round % 3 {
                    0 => stream.write_all(&noise),
                    1 => stream.write_all(&HUGE_FRAME),
                    _ => Ok(()),
                };
                kept_open.push(stream);
            }
        }
        thread::sleep(ROUND_PAUSE);
    }
    Ok(())
}
