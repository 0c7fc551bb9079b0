//! The proxy for UDP.

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
use super::delivery::{Delivery, deliver_all};

const MAX_DATAGRAM_BYTES: usize = 65_536;
/// How long a thread waits for a datagram before it looks whether the proxy is to stop.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Forwards datagrams between two loopback addresses until it is dropped.
///
/// Each client gets a socket of its own towards the target, so that answers find their way back.
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
    fate: Mutex<Fate>,
}

#[derive(Debug)]
struct Fate {
    faults: DatagramFaults,
    /// What goes wrong with the datagrams of single clients instead.
    faults_of_clients: HashMap<IpAddr, DatagramFaults>,
    rng: StdRng,
}

impl DatagramProxy {
    /// Listens on `listen` and forwards datagrams to `target`; `seed` decides what goes wrong.
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
            fate: Mutex::new(Fate {
                faults: DatagramFaults::new(),
                faults_of_clients: HashMap::new(),
                rng: StdRng::seed_from_u64(seed),
            }),
        });
        let (sender, arriving) = unbounded();
        let forwarding = Arc::clone(&shared);
        let threads = vec![
            thread::spawn(move || deliver_all(&arriving)),
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

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: DatagramFaults) {
        self.shared.lock_fate().faults = faults;
    }

    /// Sets what goes wrong from now on with the datagrams of one client and the answers to it; without
    /// faults of its own, those of all apply.
    pub fn set_client_faults(&self, client: IpAddr, faults: DatagramFaults) {
        let mut fate = self.shared.lock_fate();
        if faults == DatagramFaults::new() {
            fate.faults_of_clients.remove(&client);
        } else {
            fate.faults_of_clients.insert(client, faults);
        }
    }

    /// Returns how many datagrams were dropped.
    pub fn dropped_count(&self) -> u64 {
        self.shared.dropped_count.load(Ordering::Relaxed)
    }
}

impl Drop for DatagramProxy {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            // A thread that panicked has said so already.
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn lock_fate(&self) -> std::sync::MutexGuard<'_, Fate> {
        self.fate.lock().expect("no holder of the lock panics")
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Hands a datagram on as often as its fate says.
    fn pass(
        &self,
        sender: &Sender<Delivery>,
        socket: &Arc<UdpSocket>,
        client: IpAddr,
        to: SocketAddr,
        bytes: &[u8],
    ) {
        let is_from_client = to == self.target;
        let delays = self.lock_fate().draw_delays(client, is_from_client);
        if delays.is_empty() {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
        }
        for delay in delays {
            let delivery = Delivery {
                due: Instant::now() + delay,
                socket: Arc::clone(socket),
                to,
                bytes: bytes.to_vec(),
            };
            // Nobody receives once the proxy stops.
            let _ = sender.send(delivery);
        }
    }
}

impl Fate {
    /// Draws the delay of each copy of a datagram from or to a client; there is none if it is dropped.
    fn draw_delays(&mut self, client: IpAddr, is_from_client: bool) -> Vec<Duration> {
        let faults = self.faults_of_clients.get(&client).copied();
        let faults = faults.unwrap_or(self.faults);
        let is_swallowed = match is_from_client {
            true => faults.swallows_clients,
            false => faults.swallows_answers,
        };
        if is_swallowed || self.draw(faults.drop_percent) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.draw(faults.duplicate_percent));
        (0..copies).map(|_| self.draw_delay(faults)).collect()
    }

    fn draw_delay(&mut self, faults: DatagramFaults) -> Duration {
        match self.draw(faults.reorder_percent) {
            true => faults.delay + faults.reorder_delay,
            false => faults.delay,
        }
    }

    fn draw(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..100) < percent
    }
}

fn open_socket(listen: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind(listen)?;
    socket.set_read_timeout(Some(STOP_POLL))?;
    Ok(Arc::new(socket))
}

/// Forwards what clients send to the target.
fn forward_all(shared: &Arc<Shared>, listening: &Arc<UdpSocket>, sender: &Sender<Delivery>) {
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
                spawn_return_path(shared, listening, &outgoing, client, sender);
                Arc::clone(unknown.insert(outgoing))
            }
        };
        let bytes = &buffer[..count];
        shared.pass(sender, &outgoing, client.ip(), shared.target, bytes);
    }
}

fn listening_ip(socket: &UdpSocket) -> std::net::IpAddr {
    socket.local_addr().expect("the socket is bound").ip()
}

/// Forwards what the target sends back to one client.
fn spawn_return_path(
    shared: &Arc<Shared>,
    listening: &Arc<UdpSocket>,
    outgoing: &Arc<UdpSocket>,
    client: SocketAddr,
    sender: &Sender<Delivery>,
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
                shared.pass(&sender, &listening, client.ip(), client, bytes);
            }
        }
    });
}
