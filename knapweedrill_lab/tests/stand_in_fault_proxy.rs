//! The proxies that stand in for a faulty network.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use knapweedrill_lab::harness::wait_until;
use knapweedrill_lab::stand_in::fault_proxy::{DatagramFaults, DatagramProxy, StreamProxy};
use test_case::test_case;

const READ_TIMEOUT: Duration = Duration::from_millis(300);
const SEED: u64 = 11;

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

/// Starts an echo server.
fn start_stream_echo() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || io::copy(&mut &stream, &mut &stream));
        }
    });
    address
}

fn start_proxy() -> StreamProxy {
    StreamProxy::start(any_port(), start_stream_echo()).expect("loopback has a free port")
}

fn connect(proxy: &StreamProxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address()).expect("the proxy listens");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the timeout is above zero");
    stream
}

/// Sends a byte and returns the one that comes back.
fn exchange(stream: &mut TcpStream, byte: u8) -> io::Result<u8> {
    stream.write_all(&[byte])?;
    receive(stream)
}

fn receive(stream: &mut TcpStream) -> io::Result<u8> {
    let mut answer = [0];
    stream.read_exact(&mut answer)?;
    Ok(answer[0])
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

#[test]
fn bytes_pass_both_ways() {
    let proxy = start_proxy();
    let mut stream = connect(&proxy);
    assert_eq!(exchange(&mut stream, 1).expect("it is forwarded"), 1);
    assert_eq!(proxy.connection_count(), 1);
}

#[test]
fn disconnect_closes_connections_until_restored() {
    let proxy = start_proxy();
    let mut old = connect(&proxy);
    exchange(&mut old, 1).expect("it is forwarded");
    proxy.disconnect();
    let error = exchange(&mut old, 2).expect_err("it is closed");
    assert!(!is_timeout(&error), "{error}");
    assert!(exchange(&mut connect(&proxy), 3).is_err());
    proxy.restore();
    exchange(&mut connect(&proxy), 4).expect("it is forwarded again");
}

#[test]
fn a_black_hole_outlasts_restore_while_new_connections_work() {
    let proxy = start_proxy();
    let mut old = connect(&proxy);
    exchange(&mut old, 1).expect("it is forwarded");
    proxy.blackhole();
    proxy.restore();
    let error = exchange(&mut old, 2).expect_err("nothing comes back");
    assert!(is_timeout(&error), "{error}");
    assert_eq!(
        exchange(&mut connect(&proxy), 3).expect("it is forwarded"),
        3
    );
}

#[test]
fn a_request_black_hole_discards_requests_only() {
    let proxy = start_proxy();
    let mut stream = connect(&proxy);
    assert_eq!(exchange(&mut stream, 1).unwrap(), 1);
    stream.write_all(&[2]).unwrap();
    assert_eq!(
        receive(&mut stream).unwrap(),
        2,
        "sent before the black hole"
    );
    proxy.blackhole_requests();
    assert!(is_timeout(&exchange(&mut stream, 3).unwrap_err()));
    assert_eq!(exchange(&mut connect(&proxy), 4).unwrap(), 4);
}

#[test]
fn paused_bytes_arrive_after_restore() {
    let proxy = start_proxy();
    let mut old = connect(&proxy);
    exchange(&mut old, 1).expect("it is forwarded");
    proxy.pause();
    let error = exchange(&mut old, 2).expect_err("nothing comes back yet");
    assert!(is_timeout(&error), "{error}");
    exchange(&mut connect(&proxy), 3).expect("a new connection works");
    proxy.restore();
    assert_eq!(receive(&mut old).expect("it arrives after restore"), 2);
}

#[test]
fn a_delay_applies_to_both_directions() {
    let proxy = start_proxy();
    let mut stream = connect(&proxy);
    exchange(&mut stream, 1).expect("it is forwarded");
    proxy.set_delay(Duration::from_millis(50));
    let begin = Instant::now();
    exchange(&mut stream, 2).expect("it is forwarded");
    assert!(begin.elapsed() >= Duration::from_millis(100));
}

/// A client and a target socket with a proxy between them.
struct Datagrams {
    proxy: DatagramProxy,
    client: UdpSocket,
    target: UdpSocket,
}

impl Datagrams {
    fn start(faults: DatagramFaults) -> Self {
        let target = bind();
        let address = target.local_addr().expect("it is bound");
        let proxy =
            DatagramProxy::start(any_port(), address, SEED).expect("loopback has a free port");
        proxy.set_faults(faults);
        let client = bind();
        client.connect(proxy.address()).expect("it is on loopback");
        Self {
            proxy,
            client,
            target,
        }
    }

    fn send(&self, byte: u8) {
        self.client.send(&[byte]).expect("it is on loopback");
    }

    /// Returns the bytes that arrive until the read times out.
    fn receive_all(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let mut buffer = [0];
        while self.target.recv_from(&mut buffer).is_ok() {
            bytes.push(buffer[0]);
        }
        bytes
    }
}

fn bind() -> UdpSocket {
    let socket = UdpSocket::bind(any_port()).expect("loopback has a free port");
    socket
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the timeout is above zero");
    socket
}

#[test]
fn datagrams_pass_both_ways() {
    let datagrams = Datagrams::start(DatagramFaults::new());
    datagrams.send(1);
    let mut buffer = [0];
    let (_, from) = datagrams
        .target
        .recv_from(&mut buffer)
        .expect("it is forwarded");
    datagrams
        .target
        .send_to(&[2], from)
        .expect("it is on loopback");
    datagrams
        .client
        .recv(&mut buffer)
        .expect("the response is forwarded");
    assert_eq!(buffer, [2]);
}

#[test_case(DatagramFaults::new().drop_percent(100), &[]; "dropped")]
#[test_case(DatagramFaults::new().drop_requests(), &[]; "requests dropped")]
#[test_case(DatagramFaults::new().duplicate_percent(100), &[1, 1]; "duplicated")]
fn faults_determine_the_number_of_delivered_copies(faults: DatagramFaults, expected: &[u8]) {
    let datagrams = Datagrams::start(faults);
    datagrams.send(1);
    assert_eq!(datagrams.receive_all(), expected);
}

#[test]
fn some_datagrams_are_dropped_and_counted() {
    let datagrams = Datagrams::start(DatagramFaults::new().drop_percent(50));
    for byte in 0..40 {
        datagrams.send(byte);
    }
    let arrived_count = datagrams.receive_all().len() as u64;
    let dropped_count = datagrams.proxy.dropped_count();
    assert_eq!(arrived_count + dropped_count, 40);
    assert!((1..40).contains(&dropped_count), "{dropped_count}");
}

#[test]
fn a_later_datagram_overtakes_a_reordered_one() {
    let reorder = DatagramFaults::new().reorder(100, Duration::from_millis(100));
    let datagrams = Datagrams::start(reorder);
    datagrams.send(1);
    // The proxy must read the first datagram before the faults change.
    thread::sleep(Duration::from_millis(30));
    datagrams.proxy.set_faults(DatagramFaults::new());
    datagrams.send(2);
    assert_eq!(datagrams.receive_all(), [2, 1]);
}

#[test]
fn dropping_a_proxy_releases_its_address() {
    let proxy = start_proxy();
    let address = proxy.address();
    drop(proxy);
    wait_until("the address is free", Duration::from_secs(2), || {
        TcpListener::bind(address).is_ok()
    })
    .expect("the listener is closed");
}
