//! The settings of one process, parsed from an INI file and validated as a whole.
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

/// The validated settings of one process.
#[value]
pub struct Settings {
    /// The name of the process and its location.
    pub process: ProcessSettings,
    /// The role of the process and the settings that apply to that role only.
    pub role: RoleSettings,
    /// Addresses that the process listens on and advertises.
    pub listen: ListenSettings,
    /// The link addresses of some entries, through which the process discovers the other processes.
    pub seed_addresses: Vec<SocketAddr>,
    /// Limits on memory, time and connections.
    pub limits: LimitSettings,
    /// Intervals of heartbeats and pings, and the silence timeout.
    pub timing: TimingSettings,
    /// The address of the StatsD server to which metrics are published, if any.
    pub statsd_address: Option<SocketAddr>,
    /// Level and format of log lines.
    pub logging: LoggingSettings,
    /// The policy by which an entry selects a minion for a task.
    pub placement: PlacementPolicy,
}

impl Settings {
    /// Parses and validates the text of an INI file; `file` is the file name for error messages.
    ///
    /// # Errors
    ///
    /// Returns an error that lists every problem in the text.
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
