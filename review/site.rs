//! A small deployment: the stand-in of the store, and the project's processes on loopback addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::minion::{Kind, Minion};
use crate::record::Record;
use crate::store::Store;

pub const SERVICE: &str = "desk";
pub const HOST: &str = "orders.example";

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// A process of the project, killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        // SAFETY: the call takes plain numbers; the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An entry with its addresses.
pub struct Entry {
    pub process: Process,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

/// A machine with a minion: its sidecar process and its addresses.
pub struct Side {
    pub process: Process,
    pub minion: Option<Minion>,
    pub app: SocketAddr,
    pub control: SocketAddr,
}

/// The deployment.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub entries: Vec<Entry>,
    pub sides: Vec<Side>,
    pub inner_port: u16,
    folder: PathBuf,
    program: PathBuf,
    octet: u8,
}

/// Returns an address of the site.
pub fn ip(octet: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, octet, 77, host))
}

/// Returns a free port of an address.
pub fn free_port(ip: IpAddr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a loopback address has free ports");
    listener.local_addr().expect("a bound socket has an address").port()
}

impl Site {
    /// Starts a site without processes. `folder` holds settings and logs.
    pub fn new(record: &Record, folder: PathBuf, program: PathBuf) -> std::io::Result<Self> {
        let octet = 20 + (std::process::id() % 200) as u8;
        let store = Store::start(SocketAddr::new(ip(octet, 1), 0))?;
        Ok(Self {
            record: record.clone(),
            store,
            entries: Vec::new(),
            sides: Vec::new(),
            inner_port: free_port(ip(octet, 10)),
            folder,
            program,
            octet,
        })
    }

    pub fn entry_ip(&self, index: usize) -> IpAddr {
        ip(self.octet, 10 + index as u8)
    }

    pub fn side_ip(&self, index: usize) -> IpAddr {
        ip(self.octet, 100 + index as u8)
    }

    pub fn add_entry(&mut self) -> std::io::Result<()> {
        let index = self.entries.len();
        let ip = self.entry_ip(index);
        let address = |port| SocketAddr::new(ip, port);
        let callers = address(free_port(ip));
        let readiness = address(free_port(ip));
        let control = address(free_port(ip));
        let listen = format!(
            "Front = \"{callers}\"\nReadiness = \"{readiness}\"\nControl = \"{control}\"\n"
        );
        let name = format!("front-{index}");
        let process = self.start(&name, "entry", "front", ip, "", &listen)?;
        self.entries.push(Entry {
            process,
            callers,
            readiness,
        });
        Ok(())
    }

    /// Adds a machine with a minion of the given kind.
    pub fn add_side(&mut self, kind: Kind) -> std::io::Result<()> {
        let index = self.sides.len();
        let ip = self.side_ip(index);
        let app = SocketAddr::new(ip, free_port(ip));
        let control = SocketAddr::new(ip, free_port(ip));
        let listen = format!("Control = \"{control}\"\n");
        let own = format!("app = \"{app}\"\nService = \"{SERVICE}\"\n");
        let name = format!("side-{index}");
        let process = self.start(&name, "sidecar", "side", ip, &own, &listen)?;
        let id = format!("i-{index}-1");
        let minion = Minion::start(&id, kind, app, control, &self.record)?;
        self.sides.push(Side {
            process,
            minion: Some(minion),
            app,
            control,
        });
        Ok(())
    }

    fn start(
        &self,
        name: &str,
        role: &str,
        class: &str,
        ip: IpAddr,
        own: &str,
        listen: &str,
    ) -> std::io::Result<Process> {
        let (port, last, store) = (self.inner_port, self.inner_port + 15, self.store.address);
        let settings = format!(
            "NodeName = \"{name}\"\nRole = \"{role}\"\nMachineClass = \"{class}\"\nIp = \"{ip}\"\n\
             Zone = \"z-a\"\nRegion = \"z\"\nInternalPorts = [{port},{last}]\nSeeds = []\n\
             Bootstrap = true\nInTolerance = false\nDiscovery = \"local\"\nHeartbeatMs = 1500\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\n\
             Orders = \"rpc\"\n{own}[Listen]\n{listen}[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\n\
             ContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\nGraceS = 6\n\
             LossSlackMs = 200\nConfigApplyMs = 2000\nDowngradeMs = 250\nMaxStretchMs = 5000\n\
             RecoveryS = 12\nHoldMaxMs = 1000\nStopTimeoutMs = 50\nGangWaitMs = 3000\n\
             cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n\
             RetransmitMs = 1300\n[platform]\nAddress = \"{store}\"\nform = \"log\"\n"
        );
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings)?;
        let log = std::fs::File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(&self.program)
            .arg(role)
            .env_clear()
            .env("KNAPWEEDRILL_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(Process { child })
    }

    /// Writes a desired state with one queue per prefix, and waits until all entries are ready.
    pub fn configure(&self, version: u64, prefixes: &[&str]) -> bool {
        let routes: Vec<String> = prefixes
            .iter()
            .map(|prefix| {
                format!(
                    "{{\"Name\":\"q{}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\
                     \"Service\":\"{SERVICE}\",\"Priority\":0,\"MaxAttempts\":3,\"Stretch\":1.6,\
                     \"TargetLatencyMs\":3000}}",
                    prefix.trim_matches('/')
                )
            })
            .collect();
        let state = format!(
            "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"{SERVICE}\",\
             \"AdmissionCheck\":true}}],\"Limits\":{{\"MaxBodyBytes\":262144}}}}",
            routes.join(",")
        );
        self.store.write("keyed.op", "config", &state);
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let is_ready = |entry: &Entry| {
                let wait = Duration::from_millis(500);
                let answer = http::call(entry.readiness, "GET", "/v1/ready", HOST, wait, "");
                matches!(answer, Ok((200, _)))
            };
            if self.entries.iter().all(is_ready) {
                self.record.note("all entries are ready");
                // All sidecars get sessions with all entries meanwhile.
                thread::sleep(Duration::from_secs(3));
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// Returns a kind of minion with the given labels.
pub fn kind(labels: &[&str]) -> Kind {
    Kind {
        service: SERVICE.to_owned(),
        labels: labels.iter().map(|label| (*label).to_owned()).collect(),
        millicores: 16_000,
        memory_mb: 32_768,
    }
}
