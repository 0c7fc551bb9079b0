//! The fault-injecting proxy for UDP.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, unbounded};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::DatagramFaults;
use super::delayed_datagram::{DelayedDatagram, deliver_all};

const MAX_DATAGRAM_BYTES: usize = 65_536;
/// How long a thread waits for a datagram before it checks whether the proxy is stopping.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Forwards datagrams between two loopback addresses until it is dropped.
///
/// Each client has its own socket towards the target, so that responses can be routed back to it.
#[derive(Debug)]
pub struct DatagramProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    is_stopping: AtomicBool,
    dropped_count: AtomicU64,
    injector: Mutex<FaultInjector>,
}

#[derive(Debug)]
struct FaultInjector {
    faults: DatagramFaults,
    /// Overrides `faults` for single clients.
    client_faults: HashMap<IpAddr, DatagramFaults>,
    rng: StdRng,
}

impl DatagramProxy {
    /// Listens on `listen` and forwards datagrams to `target`; `seed` seeds the random faults.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(listen: SocketAddr, target: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = open_socket(listen)?;
        let address = socket.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            is_stopping: AtomicBool::new(false),
            dropped_count: AtomicU64::new(0),
            injector: Mutex::new(FaultInjector {
                faults: DatagramFaults::new(),
                client_faults: HashMap::new(),
                rng: StdRng::seed_from_u64(seed),
            }),
        });
        let (sender, receiver) = unbounded();
        let forwarding = Arc::clone(&shared);
        let threads = vec![
            thread::spawn(move || deliver_all(&receiver)),
            thread::spawn(move || forward_all(&forwarding, &socket, &sender)),
        ];
        Ok(Self {
            address,
            shared,
            threads,
        })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults for datagrams from now on.
    pub fn set_faults(&self, faults: DatagramFaults) {
        self.shared.lock_injector().faults = faults;
    }

    /// Sets the faults for the datagrams of one client and the responses to it from now on. An
    /// empty set removes the override, so that the faults for all clients apply again.
    pub fn set_client_faults(&self, client: IpAddr, faults: DatagramFaults) {
        let mut injector = self.shared.lock_injector();
        if faults == DatagramFaults::new() {
            injector.client_faults.remove(&client);
        } else {
            injector.client_faults.insert(client, faults);
        }
    }

    /// Returns the number of datagrams dropped so far.
    pub fn dropped_count(&self) -> u64 {
        self.shared.dropped_count.load(Ordering::Relaxed)
    }
}

impl Drop for DatagramProxy {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            // The panic hook has already reported a thread that panicked.
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn lock_injector(&self) -> std::sync::MutexGuard<'_, FaultInjector> {
        self.injector.lock().expect("no holder of the lock panics")
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Queues the copies of a datagram that the injector lets through.
    fn forward(
        &self,
        sender: &Sender<DelayedDatagram>,
        socket: &Arc<UdpSocket>,
        client: IpAddr,
        to: SocketAddr,
        bytes: &[u8],
    ) {
        let is_from_client = to == self.target;
        let delays = self
            .lock_injector()
            .random_copy_delays(client, is_from_client);
        if delays.is_empty() {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
        }
        for delay in delays {
            let datagram = DelayedDatagram {
                due: Instant::now() + delay,
                socket: Arc::clone(socket),
                to,
                bytes: bytes.to_vec(),
            };
            // The receiver is gone once the proxy stops.
            let _ = sender.send(datagram);
        }
    }
}

impl FaultInjector {
    /// Returns a random delay for each copy of a datagram from or to a client; empty if the
    /// datagram is dropped.
    fn random_copy_delays(&mut self, client: IpAddr, is_from_client: bool) -> Vec<Duration> {
        let faults = self.client_faults.get(&client).copied();
        let faults = faults.unwrap_or(self.faults);
        let is_direction_dropped = match is_from_client {
            true => faults.drops_requests,
            false => faults.drops_responses,
        };
        if is_direction_dropped || self.random_chance(faults.drop_percent) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.random_chance(faults.duplicate_percent));
        (0..copies).map(|_| self.random_delay(faults)).collect()
    }

    fn random_delay(&mut self, faults: DatagramFaults) -> Duration {
        match self.random_chance(faults.reorder_percent) {
            true => faults.delay + faults.reorder_delay,
            false => faults.delay,
        }
    }

    fn random_chance(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..100) < percent
    }
}

fn open_socket(listen: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind(listen)?;
    socket.set_read_timeout(Some(STOP_POLL))?;
    Ok(Arc::new(socket))
}

/// Forwards datagrams from clients to the target.
fn forward_all(shared: &Arc<Shared>, listening: &Arc<UdpSocket>, sender: &Sender<DelayedDatagram>) {
    let mut clients: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while !shared.is_stopping() {
        let Ok((count, client)) = listening.recv_from(&mut buffer) else {
            continue;
        };
        let outgoing = match clients.entry(client) {
            Entry::Occupied(known) => Arc::clone(known.get()),
            Entry::Vacant(unknown) => {
                let Ok(outgoing) = open_socket(SocketAddr::new(listening_ip(listening), 0)) else {
                    continue;
                };
                spawn_response_forwarder(shared, listening, &outgoing, client, sender);
                Arc::clone(unknown.insert(outgoing))
            }
        };
        let bytes = &buffer[..count];
        shared.forward(sender, &outgoing, client.ip(), shared.target, bytes);
    }
}

fn listening_ip(socket: &UdpSocket) -> std::net::IpAddr {
    socket.local_addr().expect("the socket is bound").ip()
}

/// Starts a thread that forwards the target's responses to one client.
fn spawn_response_forwarder(
    shared: &Arc<Shared>,
    listening: &Arc<UdpSocket>,
    outgoing: &Arc<UdpSocket>,
    client: SocketAddr,
    sender: &Sender<DelayedDatagram>,
) {
    let shared = Arc::clone(shared);
    let listening = Arc::clone(listening);
    let outgoing = Arc::clone(outgoing);
    let sender = sender.clone();
    thread::spawn(move || {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !shared.is_stopping() {
            if let Ok((count, _)) = outgoing.recv_from(&mut buffer) {
                let bytes = &buffer[..count];
                shared.forward(&sender, &listening, client.ip(), client, bytes);
            }
        }
    });
}
