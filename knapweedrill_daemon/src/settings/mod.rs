//! The settings of one process, read from an INI file and checked as a whole.
//!
//! ```
//! use knapweedrill_daemon::settings::{RoleSettings, Settings};
//!
//! let text = "
//! [process]
//! role = sidecar
//! name = sidecar-1
//! worker = worker-1
//! failure_domain = fd-1
//! [listen]
//! http = 127.0.0.1:7000
//! link = 127.0.0.1:7001
//! [seeds]
//! entries = 127.0.0.2:7001, 127.0.0.3:7001
//! [minion]
//! service = embossing
//! ";
//! let settings = Settings::parse(text, "sidecar-1.ini").unwrap();
//! assert!(matches!(settings.role, RoleSettings::Sidecar(_)));
//! ```

mod limits;
mod listen;
mod logging;
mod placement;
mod process;
mod role;
mod timing;

pub use knapweedrill::ini::IniError as SettingsError;
pub use limits::LimitSettings;
pub use listen::ListenSettings;
pub use logging::LoggingSettings;
pub use process::ProcessSettings;
pub use role::{LogServiceSettings, MinionSettings, RoleSettings};
pub use timing::TimingSettings;

use std::net::SocketAddr;

use knapweedrill::entry::PlacementPolicy;
use knapweedrill::ini::IniReader;
use knapweedrill_derive::value;

const SECTIONS_ALLOWED: &str = "[process], [listen], [seeds], [log] of an entry, [minion] of a \
                                sidecar, [limits], [timing], [metrics], [logging], [policy]";

/// The settings of one process.
#[value]
pub struct Settings {
    /// What the process is and where it runs.
    pub process: ProcessSettings,
    /// What the process does.
    pub role: RoleSettings,
    /// The addresses of the process itself.
    pub listen: ListenSettings,
    /// The link addresses of a few entries, by which the process finds the others.
    pub seed_addresses: Vec<SocketAddr>,
    /// Bounds on memory, time and connections.
    pub limits: LimitSettings,
    /// The spacing of heartbeats and pings.
    pub timing: TimingSettings,
    /// The address of a StatsD server that gets the metrics, if there is one.
    pub statsd_address: Option<SocketAddr>,
    /// How log lines are written.
    pub logging: LoggingSettings,
    /// How an entry chooses a minion for a task.
    pub placement: PlacementPolicy,
}

impl Settings {
    /// Reads settings from the text of an INI file; `file` is its name, for messages.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text at once.
    pub fn parse(text: &str, file: impl Into<String>) -> Result<Self, SettingsError> {
        let mut reader = IniReader::new(text);
        let settings = Self::read(&mut reader);
        reader.finish(file, SECTIONS_ALLOWED, settings)
    }

    fn read(reader: &mut IniReader) -> Option<Self> {
        let (process, role_name) = process::read(reader);
        let role = role::read(reader, role_name);
        let listen = ListenSettings::read(reader);
        let seed_addresses = read_seeds(reader);
        let limits = LimitSettings::read(reader);
        let timing = TimingSettings::read(reader);
        let statsd_address = read_metrics(reader);
        let logging = LoggingSettings::read(reader);
        let placement = placement::read(reader);
        Some(Self {
            process: process?,
            role: role?,
            listen: listen?,
            seed_addresses: seed_addresses?,
            limits,
            timing,
            statsd_address,
            logging,
            placement,
        })
    }
}

fn read_seeds(reader: &mut IniReader) -> Option<Vec<SocketAddr>> {
    let mut section = reader.section("seeds");
    let entries = section.addresses("entries");
    section.finish();
    entries
}

fn read_metrics(reader: &mut IniReader) -> Option<SocketAddr> {
    let mut section = reader.section("metrics");
    let statsd = section.optional_address("statsd");
    section.finish();
    statsd
}
