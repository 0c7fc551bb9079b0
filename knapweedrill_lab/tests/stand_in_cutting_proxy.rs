//! The stand-in for a faulty network.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use knapweedrill_lab::harness::wait_until;
use knapweedrill_lab::stand_in::cutting_proxy::{DatagramFaults, DatagramProxy, StreamProxy};
use test_case::test_case;

const READ_TIMEOUT: Duration = Duration::from_millis(300);
const SEED: u64 = 11;

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

/// Starts a server that sends everything back.
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
    assert_eq!(exchange(&mut stream, 1).expect("it passes"), 1);
    assert_eq!(proxy.connection_count(), 1);
}

#[test]
fn a_cut_closes_connections_until_it_passes_again() {
    let proxy = start_proxy();
    let mut old = connect(&proxy);
    exchange(&mut old, 1).expect("it passes");
    proxy.cut();
    let error = exchange(&mut old, 2).expect_err("it is closed");
    assert!(!is_timeout(&error), "{error}");
    assert!(exchange(&mut connect(&proxy), 3).is_err());
    proxy.pass();
    exchange(&mut connect(&proxy), 4).expect("it passes again");
}

#[test]
fn a_silent_connection_stays_silent_while_new_ones_work() {
    let proxy = start_proxy();
    let mut old = connect(&proxy);
    exchange(&mut old, 1).expect("it passes");
    proxy.silence();
    proxy.pass();
    let error = exchange(&mut old, 2).expect_err("nothing comes back");
    assert!(is_timeout(&error), "{error}");
    assert_eq!(exchange(&mut connect(&proxy), 3).expect("it passes"), 3);
}

#[test]
fn a_connection_that_is_silent_one_way_swallows_requests_only() {
    let proxy = start_proxy();
    let mut stream = connect(&proxy);
    assert_eq!(exchange(&mut stream, 1).unwrap(), 1);
    stream.write_all(&[2]).unwrap();
    assert_eq!(receive(&mut stream).unwrap(), 2, "sent before the silence");
    proxy.silence_one_way();
    assert!(is_timeout(&exchange(&mut stream, 3).unwrap_err()));
    assert_eq!(exchange(&mut connect(&proxy), 4).unwrap(), 4);
}

#[test]
fn held_bytes_arrive_late() {
    let proxy = start_proxy();
    let mut old = connect(&proxy);
    exchange(&mut old, 1).expect("it passes");
    proxy.hold();
    let error = exchange(&mut old, 2).expect_err("nothing comes back yet");
    assert!(is_timeout(&error), "{error}");
    exchange(&mut connect(&proxy), 3).expect("a new one passes");
    proxy.pass();
    assert_eq!(receive(&mut old).expect("it comes late"), 2);
}

#[test]
fn a_delay_slows_both_ways() {
    let proxy = start_proxy();
    let mut stream = connect(&proxy);
    exchange(&mut stream, 1).expect("it passes");
    proxy.delay(Duration::from_millis(50));
    let begin = Instant::now();
    exchange(&mut stream, 2).expect("it passes");
    assert!(begin.elapsed() >= Duration::from_millis(100));
}

/// A client of a proxy in front of a socket.
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

    /// Returns the bytes that arrive until none comes for a while.
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
    let (_, from) = datagrams.target.recv_from(&mut buffer).expect("it passes");
    datagrams
        .target
        .send_to(&[2], from)
        .expect("it is on loopback");
    datagrams.client.recv(&mut buffer).expect("it passes back");
    assert_eq!(buffer, [2]);
}

#[test_case(DatagramFaults::new().drop_percent(100), &[]; "dropped")]
#[test_case(DatagramFaults::new().swallow_clients(), &[]; "cut one way")]
#[test_case(DatagramFaults::new().duplicate_percent(100), &[1, 1]; "duplicated")]
fn a_datagram_arrives_as_often_as_its_fate_says(faults: DatagramFaults, expected: &[u8]) {
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
fn a_delayed_datagram_falls_behind_a_later_one() {
    let reorder = DatagramFaults::new().reorder(100, Duration::from_millis(100));
    let datagrams = Datagrams::start(reorder);
    datagrams.send(1);
    // The first must have met its fate before the faults change.
    thread::sleep(Duration::from_millis(30));
    datagrams.proxy.set_faults(DatagramFaults::new());
    datagrams.send(2);
    assert_eq!(datagrams.receive_all(), [2, 1]);
}

#[test]
fn a_dropped_proxy_frees_its_address() {
    let proxy = start_proxy();
    let address = proxy.address();
    drop(proxy);
    wait_until("the address is free", Duration::from_secs(2), || {
        TcpListener::bind(address).is_ok()
    })
    .expect("nobody listens any more");
}
