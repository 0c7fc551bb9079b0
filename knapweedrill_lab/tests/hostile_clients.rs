//! Clients that are not controlled, at real entry and sidecar processes: many large, slow or unfinished
//! requests at once.
//!
//! Each test guards against a process that ends or stops serving under such a crowd. It checks only
//! what does not depend on the speed of the machine: the process lives, its memory (with what it has
//! received and not read) and its open descriptors stay within the limits of its settings, and an ordinary request is served while the
//! connections of the crowd that the process has not closed are still open. The limits are lower than
//! those of real machines, so that a small crowd shows the fault.

use std::fs;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use knapweedrill_lab::harness::{ChildProcess, HOST, PlatformSite, wait_until};
use knapweedrill_lab::stand_in::platform::{QueueConfiguration, configuration_text};
use serde_json::{Value, json};

/// `Limits.MemoryMb` of entries, which is also the bound of their peak memory.
const ENTRY_MEMORY_MB: u64 = 48;

/// `Limits.MemoryMb` of sidecars, which is also the bound of their peak memory.
const SIDECAR_MEMORY_MB: u64 = 32;

/// `Limits.MaxFds` of the processes.
const DESCRIPTOR_COUNT_MAX: usize = 360;

/// The descriptors of `Limits.MaxFds` that are reserved for files; the others are the bound.
const FILE_DESCRIPTOR_COUNT: usize = 200;

/// `Limits.MaxBodyBytes` of the configuration.
const BODY_BYTES_MAX: usize = 262_144;

/// The limit of a sidecar for the body of a heartbeat.
const HEARTBEAT_BYTES_MAX: usize = 65_536;

/// The number of connections of a crowd.
const CLIENT_COUNT: usize = 300;

/// The number of connections of a crowd that sends its bodies in chunks of one byte. Each byte costs
/// the sender six, and the process some work.
const SMALL_CHUNK_CLIENT_COUNT: usize = 100;

/// The chunks of one byte that each connection sends.
const SMALL_CHUNK_COUNT: usize = 20_000;

/// The size of a large chunk.
const LARGE_CHUNK_BYTES: usize = 65_536;

/// The size of an unfinished head, below `MaxHeaderBytes` (16,384).
const HEAD_BYTES: usize = 15_000;

/// What each connection sends at a time.
const PIECE_BYTES: usize = 4_096;

/// What each connection sends at a time if the body comes whole.
const WHOLE_PIECE_BYTES: usize = 131_072;

/// One connection in this many ends its request; the others stop just short of that.
const FINISHING_STRIDE: usize = 10;

/// How long a crowd tries to send, and waits until the process has read all it received.
const SEND_TIME_MAX: Duration = Duration::from_secs(20);

/// The interval at which a process is observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);

/// How long a connection to a process that stands still may take. The kernel accepts it at once, or not
/// before the process goes on.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(10);

/// The number of connections of a crowd to a process that stands still: below the number that the kernel
/// keeps waiting by default.
const STANDING_CLIENT_COUNT: usize = 500;

/// How long a process stands still while a crowd sends.
const STANDSTILL: Duration = Duration::from_secs(2);

/// How long an ordinary request is repeated until it is served.
const SERVE_TIMEOUT: Duration = Duration::from_secs(15);

/// Held by each test, as the crowds of two tests would disturb each other.
static ONE_TEST: Mutex<()> = Mutex::new(());

fn one_test() -> MutexGuard<'static, ()> {
    // A failed test leaves nothing behind that matters to the next one.
    ONE_TEST.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a site of one entry and one minion with low limits, and waits until it is ready.
fn start_site(memory_mb: u64) -> PlatformSite {
    let limits = format!("MemoryMb = {memory_mb}\nMaxFds = {DESCRIPTOR_COUNT_MAX}");
    let site = PlatformSite::start_with_limits(1, 1, &limits).expect("the site starts");
    let queue = QueueConfiguration {
        host: HOST.into(),
        path_prefix: "/normal/".into(),
        service: "desk".into(),
        priority: 0,
    };
    let text = configuration_text(3, &[queue]);
    let mut configuration: Value = serde_json::from_str(&text).expect("the text is JSON");
    configuration["Limits"] = json!({
        "MaxBodyBytes": BODY_BYTES_MAX,
        "MaxHeaderBytes": 16_384,
        "HeaderTimeoutMs": 3_000,
        "IdleTimeoutMs": 15_000,
    });
    let text = configuration.to_string();
    site.store.write("keyed.op", "config", text.as_bytes());
    site.wait_ready(0).expect("the entry becomes ready");
    site
}

/// What a crowd sends, and to whom.
struct Crowd {
    address: SocketAddr,
    client_count: usize,
    /// What a connection sends in full.
    request: Arc<[u8]>,
    /// What most connections leave out at the end; 0 if all finish.
    left_out_bytes: usize,
    /// What a connection sends at a time, in turn with the others.
    piece_bytes: usize,
}

/// A connection of a crowd.
struct Client {
    stream: TcpStream,
    /// What it has still to send; empty once the process has closed the connection.
    left: std::ops::Range<usize>,
}

impl Crowd {
    /// Opens all connections, and sends in turns until all is sent and the process has read what it
    /// received. Returns the connections, which are still open on this side.
    fn send(&self, peaks: &mut Peaks) -> Vec<Client> {
        let mut clients: Vec<Client> = (0..self.client_count)
            .map(|number| {
                let stream = TcpStream::connect(self.address).expect("the process listens");
                stream.set_nonblocking(true).expect("the option can be set");
                let is_finishing = number % FINISHING_STRIDE == 0;
                let left_out = if is_finishing { 0 } else { self.left_out_bytes };
                Client {
                    stream,
                    left: 0..self.request.len() - left_out,
                }
            })
            .collect();
        let end = Instant::now() + SEND_TIME_MAX;
        let mut next_observation = Instant::now();
        while Instant::now() < end {
            let mut has_sent = false;
            for client in &mut clients {
                has_sent |= self.send_piece(client);
            }
            if Instant::now() >= next_observation {
                next_observation = Instant::now() + OBSERVATION_INTERVAL;
                let unread_bytes = peaks.observe();
                let is_sent = clients.iter().all(|client| client.left.is_empty());
                if is_sent && unread_bytes == 0 {
                    break;
                }
            }
            if !has_sent {
                thread::sleep(Duration::from_millis(2));
            }
        }
        clients
    }

    /// Opens connections and sends while the process stands still, for `STANDSTILL`. Returns the
    /// connections that were accepted for the process.
    fn send_unread(&self, peaks: &mut Peaks) -> Vec<Client> {
        let mut clients: Vec<Client> = (0..self.client_count)
            .filter_map(|_| TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT).ok())
            .map(|stream| {
                stream.set_nonblocking(true).expect("the option can be set");
                Client {
                    stream,
                    left: 0..self.request.len(),
                }
            })
            .collect();
        let end = Instant::now() + STANDSTILL;
        while Instant::now() < end {
            for client in &mut clients {
                self.send_piece(client);
            }
            peaks.observe();
            thread::sleep(OBSERVATION_INTERVAL);
        }
        clients
    }

    /// Sends the next piece, and returns whether the process took some of it.
    fn send_piece(&self, client: &mut Client) -> bool {
        let end = client.left.end.min(client.left.start + self.piece_bytes);
        let piece = &self.request[client.left.start..end];
        if piece.is_empty() {
            return false;
        }
        match client.stream.write(piece) {
            Ok(sent_bytes) => {
                client.left.start += sent_bytes;
                true
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            Err(_) => {
                client.left.start = client.left.end;
                false
            }
        }
    }
}

/// The most that a process used while it was observed.
#[derive(Debug)]
struct Peaks {
    process: u32,
    /// The port that the crowd uses.
    address: SocketAddr,
    /// Resident memory and received bytes that were not read, at the same time.
    memory_and_unread_kb: u64,
    descriptor_count: usize,
}

impl Peaks {
    fn new(process: u32, address: SocketAddr) -> Self {
        Self {
            process,
            address,
            memory_and_unread_kb: 0,
            descriptor_count: 0,
        }
    }

    /// Observes the process, and returns the bytes that it has received on the port of the crowd and
    /// not read.
    fn observe(&mut self) -> u64 {
        let unread_bytes = unread_bytes(self.address);
        let memory_kb = memory_kb(self.process, "VmRSS:") + unread_bytes / 1_024;
        self.memory_and_unread_kb = self.memory_and_unread_kb.max(memory_kb);
        let directory =
            fs::read_dir(format!("/proc/{}/fd", self.process)).expect("the process lives");
        self.descriptor_count = self.descriptor_count.max(directory.count());
        unread_bytes
    }
}

/// Returns a size in kilobytes from the status of a process: `VmHWM:`, the peak of its resident memory,
/// or `VmRSS:`, its resident memory now.
fn memory_kb(process: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("the process lives");
    let line = status.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value
        .and_then(|value| value.parse().ok())
        .expect("the status of a living process has its memory")
}

/// Returns the bytes that the kernel has received on all connections to an address and that the process
/// has not read.
fn unread_bytes(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else {
        panic!("the site has addresses of version 4");
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").expect("the kernel lists its sockets");
    let connections = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next()? == local;
        let state = fields.nth(1)?;
        let (_, unread) = fields.next()?.split_once(':')?;
        // The queue of a listening socket counts connections.
        (is_local && state != "0A").then(|| u64::from_str_radix(unread, 16).unwrap_or(0))
    });
    connections.sum()
}

/// What a crowd leaves behind once it has sent.
struct Aftermath {
    /// The peak memory of the process before.
    idle_kb: u64,
    peaks: Peaks,
    /// The connections, which are still open on the side of the crowd.
    clients: Vec<Client>,
}

/// Sends a crowd to a process and checks the process while the crowd is connected: `serve` sends an
/// ordinary request and returns whether it was served.
fn check(process: u32, memory_mb: u64, crowd: &Crowd, serve: impl Fn() -> bool) {
    let idle_kb = memory_kb(process, "VmHWM:");
    let mut peaks = Peaks::new(process, crowd.address);
    let clients = crowd.send(&mut peaks);
    let aftermath = Aftermath {
        idle_kb,
        peaks,
        clients,
    };
    check_serving(memory_mb, aftermath, serve);
}

/// Checks a process to which a crowd is still connected.
fn check_serving(memory_mb: u64, aftermath: Aftermath, serve: impl Fn() -> bool) {
    let Aftermath {
        idle_kb,
        mut peaks,
        clients,
    } = aftermath;
    let served = wait_until("a served ordinary request", SERVE_TIMEOUT, &serve);
    peaks.observe();
    let process = peaks.process;
    let peak_kb = memory_kb(process, "VmHWM:");
    drop(clients);
    let measured = format!("peak {peak_kb} kB, idle {idle_kb} kB, {peaks:?}, {served:?}");
    println!("{measured}");
    assert!(served.is_ok(), "{measured}");
    let memory_bound_kb = memory_mb * 1_024;
    assert!(peak_kb <= memory_bound_kb, "{measured}");
    assert!(peaks.memory_and_unread_kb <= memory_bound_kb, "{measured}");
    let descriptor_bound = DESCRIPTOR_COUNT_MAX - FILE_DESCRIPTOR_COUNT;
    assert!(peaks.descriptor_count <= descriptor_bound, "{measured}");
}

/// Lets a process stand still while a crowd sends, and then go on.
fn send_to_standing(process: &mut ChildProcess, crowd: &Crowd) -> Aftermath {
    let idle_kb = memory_kb(process.id(), "VmHWM:");
    let mut peaks = Peaks::new(process.id(), crowd.address);
    process.freeze().expect("the process can be stopped");
    let clients = crowd.send_unread(&mut peaks);
    process.thaw().expect("the process can be resumed");
    Aftermath {
        idle_kb,
        peaks,
        clients,
    }
}

/// Checks an entry that stands still while a crowd sends to the port that `address` returns, and then
/// goes on.
fn check_standing_entry(address: impl Fn(&PlatformSite) -> SocketAddr) {
    let _guard = one_test();
    let mut site = start_site(ENTRY_MEMORY_MB);
    let crowd = standing_crowd(address(&site));
    let entry = site.entry_mut(0).expect("the process was started");
    let aftermath = send_to_standing(entry, &crowd);
    check_serving(ENTRY_MEMORY_MB, aftermath, || {
        site.is_ready(0) && serves_job(&site)
    });
}

/// Checks a sidecar that stands still while a crowd sends to its port for heartbeats, and then goes on.
fn check_standing_sidecar() {
    let _guard = one_test();
    let mut site = start_site(SIDECAR_MEMORY_MB);
    let address = site.registration_address(0);
    let crowd = standing_crowd(address);
    let sidecar = site.sidecar_mut(0).expect("the process was started");
    let aftermath = send_to_standing(sidecar, &crowd);
    check_serving(SIDECAR_MEMORY_MB, aftermath, || {
        serves_heartbeat(&site, address) && serves_job(&site)
    });
}

/// Checks an entry whose port for callers the crowd that `crowd` creates uses.
fn check_callers_port(crowd: impl Fn(SocketAddr) -> Crowd) {
    let _guard = one_test();
    let site = start_site(ENTRY_MEMORY_MB);
    let process = site.entry_id(0).expect("the process was started");
    let crowd = crowd(site.callers_address(0));
    check(process, ENTRY_MEMORY_MB, &crowd, || serves_job(&site));
}

/// Checks a sidecar whose port for heartbeats the crowd that `crowd` creates uses.
fn check_heartbeat_port(crowd: impl Fn(SocketAddr) -> Crowd) {
    let _guard = one_test();
    let site = start_site(SIDECAR_MEMORY_MB);
    let process = site.sidecar_id(0).expect("the process was started");
    let address = site.registration_address(0);
    check(process, SIDECAR_MEMORY_MB, &crowd(address), || {
        serves_heartbeat(&site, address) && serves_job(&site)
    });
}

/// Checks an entry whose port for readiness probes the crowd that `crowd` creates uses.
fn check_readiness_port(crowd: impl Fn(SocketAddr) -> Crowd) {
    let _guard = one_test();
    let site = start_site(ENTRY_MEMORY_MB);
    let process = site.entry_id(0).expect("the process was started");
    let crowd = crowd(site.readiness_address(0));
    check(process, ENTRY_MEMORY_MB, &crowd, || {
        site.is_ready(0) && serves_job(&site)
    });
}

fn serves_job(site: &PlatformSite) -> bool {
    let response = site.submit(0, "/normal/00000000000fffff", 1, 5);
    response.is_ok_and(|response| response.status == 200)
}

/// Sends a heartbeat of an earlier life of the minion, which is answered and changes nothing.
fn serves_heartbeat(site: &PlatformSite, sidecar: SocketAddr) -> bool {
    let body = json!({
        "Service": "desk",
        "Address": site.minions[0].address().to_string(),
        "State": "ready",
        "Capacity": {"Cpu": 64_000, "MemMb": 131_072},
        "Seq": 0,
        "born": 0,
    });
    let response = attohttpc::put(format!("http://{sidecar}/v1/instances/i-0"))
        .timeout(Duration::from_secs(3))
        .text(body.to_string())
        .send();
    response.is_ok_and(|response| response.status().as_u16() == 200)
}

/// Returns the body of a job of exactly `bytes` bytes.
fn job_body(bytes: usize) -> String {
    let body = |padding_bytes: usize| {
        json!({
            "Padding": "x".repeat(padding_bytes),
            "Spec": "{\"run_ms\":5,\"cpu\":100,\"memory\":1}",
            "BestEffort": true,
            "Steps": [{"Count": 1, "Cpu": 100, "MemMb": 1, "EstimateMs": 5}],
        })
        .to_string()
    };
    body(bytes - body(0).len())
}

/// Returns the beginning of the head of a request to all kinds of ports, without its last line.
fn head_start() -> String {
    format!("POST /normal/00000000000aaaaa HTTP/1.1\r\nHost: {HOST}\r\n")
}

/// Returns a request whose body of `bytes` bytes has a declared length.
fn declared(bytes: usize) -> String {
    let body = job_body(bytes);
    format!("{}Content-Length: {bytes}\r\n\r\n{body}", head_start())
}

/// Returns a request whose body of `bytes` bytes comes in chunks of `chunk_bytes`.
fn chunked(bytes: usize, chunk_bytes: usize) -> String {
    let mut text = head_start() + "Transfer-Encoding: chunked\r\n\r\n";
    let body = job_body(bytes);
    for chunk in body.as_bytes().chunks(chunk_bytes) {
        let chunk = str::from_utf8(chunk).expect("the body is ASCII");
        text += &format!("{:x}\r\n{chunk}\r\n", chunk.len());
    }
    text + "0\r\n\r\n"
}

fn crowd_of(
    address: SocketAddr,
    request: &str,
    left_out_bytes: usize,
    piece_bytes: usize,
) -> Crowd {
    Crowd {
        address,
        client_count: CLIENT_COUNT,
        request: request.as_bytes().into(),
        left_out_bytes,
        piece_bytes,
    }
}

/// Whole bodies of the largest legal size.
fn whole_bodies(body_bytes: usize) -> impl Fn(SocketAddr) -> Crowd {
    move |address| crowd_of(address, &declared(body_bytes), 0, WHOLE_PIECE_BYTES)
}

/// Whole bodies of the largest legal size, to a process that stands still.
fn standing_crowd(address: SocketAddr) -> Crowd {
    Crowd {
        client_count: STANDING_CLIENT_COUNT,
        ..whole_bodies(BODY_BYTES_MAX)(address)
    }
}

/// Bodies of the largest legal size, piece by piece; most lack their last byte.
fn pieces_of_bodies(body_bytes: usize) -> impl Fn(SocketAddr) -> Crowd {
    move |address| crowd_of(address, &declared(body_bytes), 1, PIECE_BYTES)
}

/// Bodies of the largest legal size in large chunks; most lack the last chunk, of no bytes.
fn large_chunks(body_bytes: usize) -> impl Fn(SocketAddr) -> Crowd {
    move |address| {
        let request = chunked(body_bytes, LARGE_CHUNK_BYTES);
        crowd_of(address, &request, "0\r\n\r\n".len(), PIECE_BYTES)
    }
}

/// Bodies in chunks of one byte; most lack the last chunk, of no bytes.
fn small_chunks(address: SocketAddr) -> Crowd {
    let request = chunked(SMALL_CHUNK_COUNT, 1);
    Crowd {
        client_count: SMALL_CHUNK_CLIENT_COUNT,
        ..crowd_of(address, &request, "0\r\n\r\n".len(), PIECE_BYTES)
    }
}

/// Heads that do not end.
fn unfinished_heads(address: SocketAddr) -> Crowd {
    let head = format!("{}X-Padding: {}", head_start(), "x".repeat(HEAD_BYTES));
    crowd_of(address, &head, 0, PIECE_BYTES)
}

#[test]
fn whole_large_bodies_at_callers_port() {
    check_callers_port(whole_bodies(BODY_BYTES_MAX));
}

#[test]
fn pieces_of_large_bodies_at_callers_port() {
    check_callers_port(pieces_of_bodies(BODY_BYTES_MAX));
}

#[test]
fn large_chunks_at_callers_port() {
    check_callers_port(large_chunks(BODY_BYTES_MAX));
}

#[test]
fn small_chunks_at_callers_port() {
    check_callers_port(small_chunks);
}

#[test]
fn unfinished_heads_at_callers_port() {
    check_callers_port(unfinished_heads);
}

/// Guards against connections that are kept open after their response and together hold more than their
/// share.
#[test]
fn refused_bodies_at_callers_port() {
    check_callers_port(pieces_of_bodies(3 * BODY_BYTES_MAX));
}

#[test]
fn whole_large_bodies_at_heartbeat_port() {
    check_heartbeat_port(whole_bodies(HEARTBEAT_BYTES_MAX));
}

#[test]
fn pieces_of_large_bodies_at_heartbeat_port() {
    check_heartbeat_port(pieces_of_bodies(HEARTBEAT_BYTES_MAX));
}

#[test]
fn large_chunks_at_heartbeat_port() {
    check_heartbeat_port(large_chunks(HEARTBEAT_BYTES_MAX));
}

#[test]
fn small_chunks_at_heartbeat_port() {
    check_heartbeat_port(small_chunks);
}

#[test]
fn unfinished_heads_at_heartbeat_port() {
    check_heartbeat_port(unfinished_heads);
}

/// As at the port for callers.
#[test]
fn refused_bodies_at_heartbeat_port() {
    check_heartbeat_port(pieces_of_bodies(3 * HEARTBEAT_BYTES_MAX));
}

#[test]
fn whole_large_bodies_at_readiness_port() {
    check_readiness_port(whole_bodies(BODY_BYTES_MAX));
}

#[test]
fn pieces_of_large_bodies_at_readiness_port() {
    check_readiness_port(pieces_of_bodies(BODY_BYTES_MAX));
}

#[test]
fn large_chunks_at_readiness_port() {
    check_readiness_port(large_chunks(BODY_BYTES_MAX));
}

#[test]
fn small_chunks_at_readiness_port() {
    check_readiness_port(small_chunks);
}

#[test]
fn unfinished_heads_at_readiness_port() {
    check_readiness_port(unfinished_heads);
}

/// Guards against connections that wait to be accepted and together hold more than the memory of the
/// machine.
#[test]
fn whole_large_bodies_at_callers_port_of_a_standing_entry() {
    check_standing_entry(|site| site.callers_address(0));
}

/// As above, at a port whose clients send next to nothing.
#[test]
fn whole_large_bodies_at_readiness_port_of_a_standing_entry() {
    check_standing_entry(|site| site.readiness_address(0));
}

/// As above, at a sidecar.
#[test]
fn whole_large_bodies_at_heartbeat_port_of_a_standing_sidecar() {
    check_standing_sidecar();
}

/// Guards against a budget that leaves too little for one request of the largest legal size.
#[test]
fn single_request_of_largest_size_is_served() {
    let _guard = one_test();
    let site = start_site(ENTRY_MEMORY_MB);
    let process = site.entry_id(0).expect("the process was started");
    for (number, text) in [
        declared(BODY_BYTES_MAX),
        chunked(BODY_BYTES_MAX, LARGE_CHUNK_BYTES),
    ]
    .into_iter()
    .enumerate()
    {
        let job = format!("{number:016x}");
        let request = text.replacen("00000000000aaaaa", &job, 1);
        assert_eq!(status_of(site.callers_address(0), &request), 200);
    }
    assert!(memory_kb(process, "VmHWM:") <= ENTRY_MEMORY_MB * 1_024);
}

/// Sends a request and returns the status code of the response.
fn status_of(address: SocketAddr, request: &str) -> u16 {
    let mut stream = TcpStream::connect(address).expect("the process listens");
    stream
        .set_read_timeout(Some(SERVE_TIMEOUT))
        .expect("the timeout can be set");
    stream
        .write_all(request.as_bytes())
        .expect("the request is sent");
    let mut line = String::new();
    std::io::BufRead::read_line(&mut std::io::BufReader::new(stream), &mut line)
        .expect("the process responds");
    let status = line.split(' ').nth(1).expect("a status line");
    status.parse().expect("a status code")
}
