//! Proxies that delay, drop and reset.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// When the machine behind a [`Forwarder`] stands still: since when, and until when if it is known.
pub type Freeze = Arc<Mutex<Option<(Instant, Option<Instant>)>>>;

/// The pauses of a TCP sender before it sends unacknowledged bytes again: 200 ms, then twice as long
/// each time.
const RETRANSMISSION_MS: [u64; 6] = [200, 600, 1_400, 3_000, 6_200, 12_600];

/// The time from a segment to its acknowledgement: clients are 1 ms away.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// The bytes of a segment.
const SEGMENT_BYTES: usize = 1_448;

/// The platform's forwarder: passes channels of clients on to one machine. A machine that stands
/// still acknowledges nothing, so bytes for it arrive when its peer first sends them again after the
/// machine is awake: one segment first, then twice as many with each round trip. The end of a channel
/// follows in the next round trip.
pub struct Forwarder {
    pub address: SocketAddr,
}

impl Forwarder {
    pub fn start(listen: SocketAddr, to: SocketAddr, freeze: Freeze) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(machine) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (client.set_nodelay(true), machine.set_nodelay(true));
                let (Ok(from_machine), Ok(to_client)) = (machine.try_clone(), client.try_clone())
                else {
                    continue;
                };
                let freeze = Arc::clone(&freeze);
                thread::spawn(move || forward(client, machine, Some(&freeze)));
                thread::spawn(move || forward(from_machine, to_client, None));
            }
        });
        Ok(Self { address })
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, freeze: Option<&Freeze>) {
    let mut bytes = [0; 16_384];
    loop {
        let length = from.read(&mut bytes).unwrap_or(0);
        let is_sent_again = freeze.is_some_and(wait_for_arrival);
        if length == 0 {
            thread::sleep(ROUND_TRIP);
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        let mut rest = &bytes[..length];
        let mut flight_bytes = if is_sent_again { SEGMENT_BYTES } else { length };
        while !rest.is_empty() {
            let (flight, later) = rest.split_at(flight_bytes.min(rest.len()));
            if to.write_all(flight).is_err() {
                return;
            }
            if !later.is_empty() {
                thread::sleep(ROUND_TRIP);
            }
            rest = later;
            flight_bytes *= 2;
        }
    }
}

/// Waits until bytes that are sent now arrive, and returns whether they had to be sent again.
fn wait_for_arrival(freeze: &Freeze) -> bool {
    let sent_at = Instant::now();
    let is_frozen = || match *freeze.lock().unwrap() {
        None => false,
        Some((_, until)) => until.is_none_or(|until| Instant::now() < until),
    };
    if !is_frozen() {
        return false;
    }
    for pause_ms in RETRANSMISSION_MS {
        let next = sent_at + Duration::from_millis(pause_ms);
        thread::sleep(next.saturating_duration_since(Instant::now()));
        if !is_frozen() {
            break;
        }
    }
    true
}

/// A proxy that accepts channels and resets each once a request has begun to arrive.
pub struct Resetter {
    pub address: SocketAddr,
}

impl Resetter {
    pub fn start(listen: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // Closing a channel with unread bytes resets it.
                let _ = client.peek(&mut [0; 1]);
                drop(client);
            }
        });
        Ok(Self { address })
    }
}

/// A proxy that passes channels on, and resets both ends of all of them when told to.
pub struct Breaker {
    pub address: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Breaker {
    pub fn start(listen: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let open = Arc::clone(&streams);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(machine) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (client.set_nodelay(true), machine.set_nodelay(true));
                let (Ok(from_machine), Ok(to_client)) = (machine.try_clone(), client.try_clone())
                else {
                    continue;
                };
                let clones = [client.try_clone(), machine.try_clone()];
                open.lock().unwrap().extend(clones.into_iter().flatten());
                thread::spawn(move || forward(client, machine, None));
                thread::spawn(move || forward(from_machine, to_client, None));
            }
        });
        Ok(Self { address, streams })
    }

    /// Resets all channels.
    pub fn reset(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            reset(&stream);
        }
    }
}

unsafe extern "C" {
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// The head of `struct sockaddr`.
#[repr(C)]
struct SocketAddress {
    family: u16,
    rest: [u8; 14],
}

/// The family of no address; a connection to it resets an open TCP channel.
const AF_UNSPEC: u16 = 0;

/// Resets a channel, whoever else holds the socket.
fn reset(stream: &TcpStream) {
    let nowhere = SocketAddress {
        family: AF_UNSPEC,
        rest: [0; 14],
    };
    // SAFETY: the address is valid for the call, and its length is right.
    unsafe { connect(stream.as_raw_fd(), &nowhere, size_of::<SocketAddress>() as u32) };
}

/// The bytes of a datagram that fit into one packet of 1,500 bytes.
const PACKET_BYTES: usize = 1_472;

/// What happens to the datagrams of a [`DatagramProxy`].
#[derive(Default)]
pub struct DatagramFaults {
    /// Whether the datagrams that the process sends are dropped.
    pub drops_sent: AtomicBool,
    /// The share of packets that are lost, in millionths. A datagram that lacks a packet is lost.
    pub lost_packets_ppm: AtomicU32,
}

impl DatagramFaults {
    /// Returns whether a datagram of this length arrives. `random` is the state of the generator.
    fn arrives(&self, length: usize, random: &mut u64) -> bool {
        let lost_ppm = u64::from(self.lost_packets_ppm.load(Ordering::SeqCst));
        (0..length.div_ceil(PACKET_BYTES)).all(|_| {
            *random ^= *random << 13;
            *random ^= *random >> 7;
            *random ^= *random << 17;
            *random % 1_000_000 >= lost_ppm
        })
    }
}

/// A proxy of the datagrams of one process.
pub struct DatagramProxy {
    pub address: SocketAddr,
    pub faults: Arc<DatagramFaults>,
}

impl DatagramProxy {
    pub fn start(listen: SocketAddr, process: SocketAddr) -> std::io::Result<Self> {
        let outside = Arc::new(UdpSocket::bind(listen)?);
        let address = outside.local_addr()?;
        let faults: Arc<DatagramFaults> = Arc::default();
        let shared = Arc::clone(&faults);
        thread::spawn(move || {
            let mut random = 0x9e37_79b9_7f4a_7c15 ^ u64::from(address.port()) << 32;
            let mut inside: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
            let mut bytes = vec![0; 65_535];
            loop {
                let Ok((length, peer)) = outside.recv_from(&mut bytes) else {
                    continue;
                };
                let socket = inside.entry(peer).or_insert_with(|| {
                    let listen = SocketAddr::new(listen.ip(), 0);
                    let socket = UdpSocket::bind(listen).expect("a free port");
                    let socket = Arc::new(socket);
                    let (outside, faults) = (Arc::clone(&outside), Arc::clone(&shared));
                    let receiver = Arc::clone(&socket);
                    thread::spawn(move || {
                        let mut bytes = vec![0; 65_535];
                        let mut random = 0xd134_2543_de82_ef95 ^ u64::from(peer.port()) << 32;
                        loop {
                            let Ok((length, _)) = receiver.recv_from(&mut bytes) else {
                                continue;
                            };
                            let is_cut = faults.drops_sent.load(Ordering::SeqCst);
                            if !is_cut && faults.arrives(length, &mut random) {
                                let _ = outside.send_to(&bytes[..length], peer);
                            }
                        }
                    });
                    socket
                });
                if shared.arrives(length, &mut random) {
                    let _ = socket.send_to(&bytes[..length], process);
                }
            }
        });
        Ok(Self {
            address,
            faults,
        })
    }
}
