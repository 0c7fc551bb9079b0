//! Links over loopback: ordering, limits, counters and malformed input.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{self, Receiver};
use knapweedrill::common::HybridTime;
use knapweedrill::message::{Datagram, DatagramBody, Frame, Message, PROTOCOL_VERSION};
use knapweedrill::message::{EntryHeartbeat, MessageKind, PeerAddress, Role};
use knapweedrill_wire::{DatagramSocket, LinkEvent, LinkId, LinkSettings, Links, encode_frame};
use test_case::test_case;

/// Limit for each wait on an expected event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

struct Process {
    links: Links,
    address: SocketAddr,
    events: Receiver<LinkEvent>,
}

impl Process {
    fn start(settings: LinkSettings) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (sender, events) = channel::unbounded();
        let links = Links::start(listener, settings, move |event| {
            let _ = sender.send(event);
        });
        Self {
            links: links.expect("threads can be started"),
            address,
            events,
        }
    }

    fn event(&self) -> LinkEvent {
        self.events
            .recv_timeout(WAIT_TIMEOUT)
            .expect("an event follows")
    }

    fn opened(&self) -> LinkId {
        match self.event() {
            LinkEvent::Opened { link, .. } => link,
            other => panic!("not opened: {other:?}"),
        }
    }

    fn raw_client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the listener accepts");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("the timeout is not zero");
        stream
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.links.stop();
    }
}

fn frame(session: u64) -> Frame {
    Frame {
        session,
        clock: HybridTime::default(),
        message: Message::Ping,
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn frames_are_counted_by_kind_with_their_bytes() {
    let (a, b) = (
        Process::start(LinkSettings::default()),
        Process::start(LinkSettings::default()),
    );
    assert!(a.links.dial(b.address));
    let link = a.opened();
    b.opened();
    for message in [Message::Ping, Message::Demands(Vec::new()), Message::Pong] {
        let sent = Frame {
            message,
            ..frame(1)
        };
        a.links.send(link, sent);
        b.event();
    }
    wait_until("all counted as sent", || {
        a.links.counts().frames_sent_count == 3
    });
    let sessions = a.links.kind_counts(MessageKind::Session);
    let demands = a.links.kind_counts(MessageKind::Demands);
    assert_eq!(sessions.frames_sent_count, 2);
    assert_eq!(demands.frames_sent_count, 1);
    let bytes = sessions.bytes_sent_count + demands.bytes_sent_count;
    assert_eq!(bytes, a.links.counts().bytes_sent_count);
    let received = b.links.kind_counts(MessageKind::Session);
    assert_eq!(received.frames_received_count, 2);
    assert_eq!(received.bytes_received_count, sessions.bytes_sent_count);
}

#[test]
fn frames_arrive_in_order_and_in_few_writes() {
    let (a, b) = (
        Process::start(LinkSettings::default()),
        Process::start(LinkSettings::default()),
    );
    assert!(a.links.dial(b.address));
    let link = a.opened();
    let other = b.opened();
    let frame_count = 5000;
    for session in 0..frame_count {
        a.links.send(link, frame(session));
    }
    for session in 0..frame_count {
        let expected = LinkEvent::Frame {
            link: other,
            frame: frame(session),
        };
        assert_eq!(b.event(), expected);
    }
    let received = b.links.counts();
    assert_eq!(received.frames_received_count, frame_count);
    wait_until("all counted as sent", || {
        a.links.counts().frames_sent_count == frame_count
    });
    assert!(a.links.counts().writes_count < frame_count);
}

#[test]
fn close_is_reported_once_on_both_sides() {
    let (a, b) = (
        Process::start(LinkSettings::default()),
        Process::start(LinkSettings::default()),
    );
    assert!(a.links.dial(b.address));
    let (link, other) = (a.opened(), b.opened());
    a.links.close(link);
    a.links.close(link);
    assert_eq!(a.event(), LinkEvent::Closed { link });
    assert_eq!(b.event(), LinkEvent::Closed { link: other });
    b.links.send(other, frame(1));
    assert_eq!(b.links.counts().frames_unlinked_count, 1);
    assert!(a.events.is_empty() && b.events.is_empty());
}

#[test]
fn failed_dial_is_reported() {
    let closed = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    let address = closed.local_addr().expect("the listener is bound");
    drop(closed);
    let a = Process::start(LinkSettings::default());
    assert!(a.links.dial(address));
    assert_eq!(a.event(), LinkEvent::DialFailed { address });
}

#[test_case(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(); "a browser")]
#[test_case(vec![0xff; 4096]; "only ones")]
#[test_case(vec![3, 0, 0, 0, 0xff, 0xff, 0xff]; "a short undecodable frame")]
#[test_case(vec![0; 4]; "an empty frame")]
#[test_case(vec![0, 0, 8, 0]; "a first frame that is too long")]
fn garbage_closes_the_link_and_is_counted(garbage: Vec<u8>) {
    let a = Process::start(LinkSettings::default());
    let mut raw_client = a.raw_client();
    let link = a.opened();
    raw_client.write_all(&garbage).expect("the link is open");
    assert_eq!(a.event(), LinkEvent::Closed { link });
    assert_eq!(a.links.counts().frames_malformed_count, 1);
    assert_eq!(a.links.counts().frames_received_count, 0);
}

#[test]
fn garbage_does_not_affect_other_links() {
    let a = Process::start(LinkSettings::default());
    let mut good = a.raw_client();
    let link = a.opened();
    let mut bad = a.raw_client();
    let bad_link = a.opened();
    bad.write_all(&[0xff; 64]).expect("the link is open");
    assert_eq!(a.event(), LinkEvent::Closed { link: bad_link });
    let mut bytes = Vec::new();
    encode_frame(&frame(1), &mut bytes).expect("the frame is short");
    good.write_all(&bytes).expect("the link is open");
    let frame = frame(1);
    assert_eq!(a.event(), LinkEvent::Frame { link, frame });
}

#[test]
fn connections_beyond_the_limit_are_refused() {
    let a = Process::start(LinkSettings::default().inbound_max_count(2));
    let first = a.raw_client();
    let _second = a.raw_client();
    let (link, _) = (a.opened(), a.opened());
    let mut third = a.raw_client();
    let read_bytes = third.read(&mut [0]).unwrap_or(0);
    assert_eq!(read_bytes, 0);
    assert_eq!(a.links.counts().connections_refused_count, 1);
    drop(first);
    let closed = a.event();
    assert!(matches!(closed, LinkEvent::Closed { .. }));
    let _fourth = a.raw_client();
    assert_ne!(a.opened(), link);
}

#[test]
fn full_queue_closes_the_link() {
    let a = Process::start(LinkSettings::default().queue_frame_count(4));
    // The client reads nothing, so that the socket buffers of the kernel fill up.
    let _raw_client = a.raw_client();
    let link = a.opened();
    let big = Frame {
        session: 1,
        clock: HybridTime::default(),
        message: Message::RelayResponse(knapweedrill::message::RelayResponse {
            request: 1,
            body: knapweedrill::entry::CallerResponse::Invalid {
                message: "x".repeat(4 << 20),
            },
        }),
    };
    for _ in 0..20 {
        a.links.send(link, big.clone());
    }
    assert_eq!(a.event(), LinkEvent::Closed { link });
    assert_eq!(a.links.counts().queues_overflowed_count, 1);
}

#[test]
fn stop_closes_every_link_and_the_listener() {
    let a = Process::start(LinkSettings::default());
    let _raw_client = a.raw_client();
    let link = a.opened();
    a.links.stop();
    assert_eq!(a.event(), LinkEvent::Closed { link });
    assert!(TcpStream::connect(a.address).is_err());
}

fn bound_socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    let address = socket.local_addr().expect("the socket is bound");
    (socket, address)
}

fn heartbeat(address: SocketAddr) -> Datagram {
    let own = PeerAddress {
        incarnation: 1,
        name: "e1".into(),
        role: Role::Entry,
        failure_domain: "a".into(),
        link_address: address,
        http_address: address,
    };
    Datagram {
        protocol_version: PROTOCOL_VERSION,
        sender: 1,
        sequence: 1,
        clock: HybridTime::default(),
        configuration: None,
        body: DatagramBody::Entry(EntryHeartbeat {
            own,
            is_stopping: false,
            known: Vec::new(),
            answers_for: Vec::new(),
        }),
    }
}

#[test]
fn datagram_arrives_and_garbage_is_counted() {
    let ((a, a_address), (b, b_address)) = (bound_socket(), bound_socket());
    let raw_client = bound_socket().0;
    let (sender, received) = channel::unbounded();
    let a = DatagramSocket::start(a, |_, _| {}).expect("a thread can be started");
    let b = DatagramSocket::start(b, move |from, datagram| {
        let _ = sender.send((from, datagram));
    });
    let b = b.expect("a thread can be started");
    let garbage = [&[0xff; 9000][..], &[], &[1, 2, 3]];
    for bytes in garbage {
        raw_client
            .send_to(bytes, b_address)
            .expect("loopback is up");
    }
    a.send(b_address, &heartbeat(a_address));
    let datagram = received.recv_timeout(WAIT_TIMEOUT).expect("it arrives");
    assert_eq!(datagram, (a_address, heartbeat(a_address)));
    assert_eq!(b.counts().datagrams_malformed_count, 3);
    assert_eq!(b.counts().datagrams_received_count, 1);
    assert_eq!(a.counts().datagrams_sent_count, 1);
    a.stop();
    b.stop();
}
