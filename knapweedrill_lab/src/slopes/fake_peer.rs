//! Processes of the system that speak its protocol and do next to nothing.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use eyre::{Result, eyre};
use knapweedrill::common::{HybridTime, Incarnation, SessionNumber};
use knapweedrill::contract::ConfigurationRecord;
use knapweedrill::job::TaskOutcome;
use knapweedrill::message::{
    Datagram, DatagramBody, EntryBeat, Frame, Hello, Message, PROTOCOL_VERSION, PeerAddress, Role,
    SlotReport, Start, TaskReport,
};
use knapweedrill::minion::{Announcement, MinionState};
use knapweedrill_wire::{FRAME_LENGTH_MAX_BYTES, encode_datagram, encode_frame, read_frame};

use super::bench::SERVICE;

/// How often a sidecar announces its minion.
const SIDECAR_BEAT: Duration = Duration::from_millis(200);

/// How often an entry tells another entry that it is alive.
const ENTRY_BEAT: Duration = Duration::from_millis(200);

/// How often an entry tells a sidecar that it is alive.
const ENTRY_TO_SIDECAR_BEAT: Duration = Duration::from_secs(2);

/// How many entries an entry tells in one period.
const ENTRY_BEAT_TARGETS: usize = 8;

/// How often an idle link is pinged.
const PING: Duration = Duration::from_millis(250);

/// The incarnations of the stand-ins; an entry with a smaller one dials them.
const FIRST_INCARNATION: Incarnation = u64::MAX - (1 << 32);

/// The run time that is reported of a task that was not run.
const REPORTED_RUN_TIME: Duration = Duration::from_millis(50);

static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(FIRST_INCARNATION);

/// What a sidecar without a minion does with tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FakeMinion {
    /// It has no free slot.
    Full,
    /// It reports each task as done at once.
    Prompt,
    /// It has slots without end and reports nothing.
    Silent,
}

/// A process that others hold a link to.
#[derive(Debug)]
pub struct FakePeer {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    own: PeerAddress,
    minion: FakeMinion,
    is_stopped: AtomicBool,
    starts_seen_count: AtomicU64,
    reports_count: AtomicU64,
    sequence: AtomicU64,
    session: AtomicU64,
    stream: Mutex<Option<TcpStream>>,
}

impl FakePeer {
    /// Starts a sidecar that announces its minion to an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket or thread can't be had.
    pub fn sidecar(minion: FakeMinion, entry: SocketAddr) -> Result<Self> {
        Self::listen(Role::Sidecar, minion, entry, SIDECAR_BEAT)
    }

    /// Starts an entry that another entry finds, one of `count`.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket or thread can't be had.
    pub fn entry(entry: SocketAddr, count: usize) -> Result<Self> {
        let turns = count.div_ceil(ENTRY_BEAT_TARGETS).max(1) as u32;
        Self::listen(Role::Entry, FakeMinion::Full, entry, ENTRY_BEAT * turns)
    }

    /// Starts an entry that holds a link to a sidecar.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket or thread can't be had or the sidecar refuses the session.
    pub fn entry_of_sidecar(sidecar: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shared = Shared::new(Role::Entry, FakeMinion::Full, listener.local_addr()?);
        shared.beat_to(sidecar, ENTRY_TO_SIDECAR_BEAT)?;
        let mut stream = TcpStream::connect(sidecar)?;
        stream.set_nodelay(true)?;
        shared.session.store(1, Ordering::Relaxed);
        *shared.stream() = Some(stream.try_clone()?);
        write(&mut stream, 1, shared.hello(1))?;
        shared.serve(stream)?;
        Ok(Self { shared })
    }

    fn listen(role: Role, minion: FakeMinion, entry: SocketAddr, beat: Duration) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shared = Shared::new(role, minion, listener.local_addr()?);
        shared.beat_to(entry, beat)?;
        let server = Arc::clone(&shared);
        thread::Builder::new().spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if server.is_stopped() || server.serve(stream).is_err() {
                    return;
                }
            }
        })?;
        Ok(Self { shared })
    }

    /// Sends a message on the link.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no link or it is broken.
    pub fn send(&self, message: Message) -> Result<()> {
        self.shared.send(message)
    }

    /// Pushes a first configuration over the link.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no link or it is broken.
    pub fn configure(&self, text: &str) -> Result<()> {
        let record = ConfigurationRecord::new(self.incarnation(), None, text);
        self.send(Message::ConfigurationPush { version: 1, record })
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.own.incarnation
    }

    /// Returns how many reports of tasks have arrived.
    pub fn reports_count(&self) -> u64 {
        self.shared.reports_count.load(Ordering::Relaxed)
    }
}

impl Drop for FakePeer {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        if let Some(stream) = self.shared.stream().take() {
            // The other side may have closed the connection before.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // A connection wakes the thread that waits in accept.
        let _ = TcpStream::connect(self.shared.own.link_address);
    }
}

impl Shared {
    fn new(role: Role, minion: FakeMinion, address: SocketAddr) -> Arc<Self> {
        let incarnation = NEXT_INCARNATION.fetch_add(1, Ordering::Relaxed);
        let name = match role {
            Role::Entry => "fake-entry",
            Role::Sidecar => "fake-sidecar",
        };
        Arc::new(Self {
            own: PeerAddress {
                incarnation,
                name: format!("{name}-{}", incarnation % 10_000),
                role,
                failure_domain: "fd-1".to_owned(),
                link_address: address,
                http_address: address,
            },
            minion,
            is_stopped: AtomicBool::new(false),
            starts_seen_count: AtomicU64::new(0),
            reports_count: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            session: AtomicU64::new(0),
            stream: Mutex::new(None),
        })
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    fn stream(&self) -> std::sync::MutexGuard<'_, Option<TcpStream>> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends heartbeats, and pings the link, until the process is stopped.
    fn beat_to(self: &Arc<Self>, address: SocketAddr, period: Duration) -> Result<()> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let beating = Arc::clone(self);
        thread::Builder::new().spawn(move || {
            while !beating.is_stopped() {
                if let Ok(bytes) = encode_datagram(&beating.datagram()) {
                    // A lost heartbeat is followed by the next.
                    let _ = socket.send_to(&bytes, address);
                }
                thread::sleep(period);
            }
        })?;
        let pinging = Arc::clone(self);
        thread::Builder::new().spawn(move || {
            while !pinging.is_stopped() {
                thread::sleep(PING);
                // There is no link yet, or no longer.
                let _ = pinging.send(Message::Ping);
            }
        })?;
        Ok(())
    }

    fn datagram(&self) -> Datagram {
        let body = match self.own.role {
            Role::Entry => DatagramBody::Entry(EntryBeat {
                own: self.own.clone(),
                is_stopping: false,
                known: Vec::new(),
                answers_for: Vec::new(),
            }),
            Role::Sidecar => DatagramBody::Announce {
                announcement: self.announcement(),
                report: self.report(),
            },
        };
        Datagram {
            protocol_version: PROTOCOL_VERSION,
            sender: self.own.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            clock: HybridTime::default(),
            configuration: None,
            body,
        }
    }

    fn announcement(&self) -> Announcement {
        Announcement {
            name: self.own.name.clone(),
            sidecar: self.own.incarnation,
            link_address: self.own.link_address,
            http_address: self.own.http_address,
            service: SERVICE.to_owned(),
            worker: "worker-1".to_owned(),
            failure_domain: self.own.failure_domain.clone(),
            slots: self.slot_count(),
            speed_hint_percent: 100,
            state: MinionState::Serving,
        }
    }

    fn slot_count(&self) -> u32 {
        match self.minion {
            FakeMinion::Full | FakeMinion::Prompt => 8,
            FakeMinion::Silent => 1_000_000,
        }
    }

    fn report(&self) -> SlotReport {
        SlotReport {
            slot_count: self.slot_count(),
            free_count: match self.minion {
                FakeMinion::Full => 0,
                FakeMinion::Prompt | FakeMinion::Silent => self.slot_count(),
            },
            speed_percent: 100,
            starts_seen_count: self.starts_seen_count.load(Ordering::Relaxed),
            ..SlotReport::default()
        }
    }

    fn hello(&self, session: SessionNumber) -> Message {
        Message::Hello(Hello {
            protocol_version: PROTOCOL_VERSION,
            incarnation: self.own.incarnation,
            role: self.own.role,
            name: self.own.name.clone(),
            session,
        })
    }

    /// Answers what comes on a connection, on a thread of its own.
    fn serve(self: &Arc<Self>, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let shared = Arc::clone(self);
        thread::Builder::new().spawn(move || {
            let Ok(reading) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(reading);
            let mut buffer = Vec::new();
            while let Ok(frame) = read_frame(&mut reader, FRAME_LENGTH_MAX_BYTES, &mut buffer) {
                if shared.take(frame, &stream).is_err() {
                    return;
                }
            }
        })?;
        Ok(())
    }

    fn take(&self, frame: Frame, stream: &TcpStream) -> Result<()> {
        match frame.message {
            Message::Hello(hello) => self.greet(&hello, stream),
            Message::Ping => self.send(Message::Pong),
            Message::Start { tasks, .. } => self.take_starts(tasks),
            Message::Reports { tasks, .. } => {
                let count = tasks.len() as u64;
                self.reports_count.fetch_add(count, Ordering::Relaxed);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Replies to a hello, unless it is itself the reply.
    fn greet(&self, hello: &Hello, stream: &TcpStream) -> Result<()> {
        if self.session.swap(hello.session, Ordering::Relaxed) == hello.session {
            return Ok(());
        }
        *self.stream() = Some(stream.try_clone()?);
        self.send(self.hello(hello.session))?;
        if self.own.role == Role::Sidecar {
            self.starts_seen_count.store(0, Ordering::Relaxed);
            self.send(Message::Slots {
                report: self.report(),
                credits: Vec::new(),
            })?;
        }
        Ok(())
    }

    fn take_starts(&self, tasks: Vec<Start>) -> Result<()> {
        let count = tasks.len() as u64;
        self.starts_seen_count.fetch_add(count, Ordering::Relaxed);
        if self.minion == FakeMinion::Silent {
            return Ok(());
        }
        self.send(Message::Reports {
            tasks: tasks.into_iter().map(ended).collect(),
            report: self.report(),
            credits: Vec::new(),
        })
    }

    fn send(&self, message: Message) -> Result<()> {
        let session = self.session.load(Ordering::Relaxed);
        let mut stream = self.stream();
        let stream = stream.as_mut().ok_or_else(|| eyre!("there is no link"))?;
        write(stream, session, message)
    }
}

fn write(stream: &mut TcpStream, session: SessionNumber, message: Message) -> Result<()> {
    let frame = Frame {
        session,
        clock: HybridTime::default(),
        message,
    };
    let mut buffer = Vec::new();
    encode_frame(&frame, &mut buffer)?;
    stream.write_all(&buffer)?;
    Ok(())
}

fn ended(start: Start) -> TaskReport {
    TaskReport::Ended {
        task: start.task,
        attempt: start.attempt,
        outcome: TaskOutcome::Done {
            result: start.payload,
        },
        run_time: REPORTED_RUN_TIME,
    }
}
