//! Settings, signals, identity and threads that processes of both roles have.

use std::future::Future;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use knapweedrill::dispatch::RunTiming;
use knapweedrill::dispatch::message::Role;
use knapweedrill::dispatch::session::{Identity, SessionSettings, Sessions};
use knapweedrill_platform::{ProcessSettings, SETTINGS_VARIABLE};

use super::DispatchRole;
use super::process_clock::{ProcessClock, time_since_boot};
use super::process_signals::ProcessSignals;
use super::settings_watcher::SettingsWatcher;
use crate::telemetry;

/// The interval of timeout checks while there is work. It is shorter than the shortest timeout, the
/// acknowledgement delay.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The interval of timeout checks while there is no work. The shortest timeout is then the
/// heartbeat period of a session, which sessions report themselves.
pub(super) const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of queued events that are handled before the resulting actions are sent.
pub(super) const EVENT_BATCH_COUNT_MAX: usize = 128;

/// The state that processes of both roles have.
pub(super) struct Process {
    pub(super) clock: ProcessClock,
    pub(super) settings: ProcessSettings,
    settings_watcher: SettingsWatcher,
    pub(super) identity: Identity,
    pub(super) signals: ProcessSignals,
}

impl Process {
    /// Initialises logging, reads the settings and registers the signal handlers.
    pub(super) fn start(role: DispatchRole) -> eyre::Result<Self> {
        let clock = ProcessClock::start(time_since_boot);
        let started_at = clock.started_at();
        telemetry::init_stdout_logs()?;
        let file = std::env::var(SETTINGS_VARIABLE)
            .wrap_err_with(|| format!("can't read the environment variable {SETTINGS_VARIABLE}"))?;
        let (settings_watcher, settings) = SettingsWatcher::start(file, started_at)?;
        let role = match role {
            DispatchRole::Entry => Role::Entry,
            DispatchRole::Sidecar => Role::Sidecar,
        };
        let identity = Identity {
            // 0 means that the process is unknown.
            incarnation: rand::random::<u64>().max(1),
            role,
            started_at,
        };
        log::info!(
            process = settings.name.as_str(), role:? = role, incarnation:% = identity.incarnation,
            failure_domain = settings.failure_domain.as_str(),
            version = env!("CARGO_PKG_VERSION"); "process started"
        );
        Ok(Self {
            clock,
            signals: ProcessSignals::register(settings.stop_grace)?,
            settings,
            settings_watcher,
            identity,
        })
    }

    /// Returns an empty set of sessions with the identity of the process.
    pub(super) fn sessions(&self) -> Sessions {
        let settings = SessionSettings {
            link_bytes_per_s: self.settings.link_bytes_per_s,
            ..SessionSettings::default()
        };
        Sessions::new(self.identity, settings)
    }

    /// Reloads the settings if they have changed, and then returns the addresses of other entries;
    /// otherwise returns none. Only the grace period of a stop and the seeds are applied.
    ///
    /// Changed addresses of this process and a changed rate of its link need a restart. So do the times of runs: processes that
    /// applied them at different times would disagree on when a run is over.
    pub(super) fn reload_settings(&mut self, now: Instant) -> Vec<SocketAddr> {
        let is_forced = self.signals.take_reload_request();
        let Some(settings) = self.settings_watcher.poll(is_forced, now) else {
            return Vec::new();
        };
        let applied = ProcessSettings {
            stop_grace: settings.stop_grace,
            seed_addresses: settings.seed_addresses.clone(),
            ..self.settings.clone()
        };
        let needs_restart = applied != settings;
        self.settings = applied;
        self.signals.grace = self.settings.stop_grace;
        log::info!(
            needs_restart, grace_ms = self.signals.grace_ms(),
            seeds = self.settings.seed_addresses.len(); "settings taken over"
        );
        self.seeds().collect()
    }

    /// Returns the possible addresses of other entries, from the seeds of the platform.
    pub(super) fn seeds(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let port = self.settings.internal_ports.0;
        let seeds = self.settings.seed_addresses.iter();
        seeds
            .map(move |seed| SocketAddr::new(seed.ip(), port))
            .filter(|address| *address != self.address())
    }

    /// Returns the times that bound how long runs may outlive the entry that ordered them.
    pub(super) fn run_timing(&self) -> RunTiming {
        let settings = &self.settings;
        RunTiming::new(
            settings.lease_max,
            settings.run_stop_time_max,
            settings.resubmission_delay,
        )
    }

    /// Returns the address at which other processes reach this one.
    pub(super) fn address(&self) -> SocketAddr {
        SocketAddr::new(self.settings.ip, self.settings.internal_ports.0)
    }
}

/// Returns how long a process may wait for an event: until its next timeout check or until a
/// session is due, whichever is earlier.
pub(super) fn event_timeout(
    next_tick: Instant,
    next_session_due: Option<Instant>,
    now: Instant,
) -> Duration {
    let deadline = next_session_due.map_or(next_tick, |due| due.min(next_tick));
    deadline.saturating_duration_since(now)
}

/// Runs HTTP on the traffic thread. If it fails, the process exits.
///
/// # Errors
///
/// Fails if the thread or its runtime can't be started.
pub(super) fn spawn_traffic_thread<F>(
    traffic: impl FnOnce() -> F + Send + 'static,
) -> eyre::Result<()>
where
    F: Future<Output = eyre::Result<()>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .wrap_err("can't start the runtime of the traffic thread")?;
    thread::Builder::new()
        .name("traffic".into())
        .spawn(move || {
            if let Err(error) = runtime.block_on(traffic()) {
                // A process without HTTP serves no requests; the platform restarts it.
                log::error!(error:? = error; "traffic thread failed");
                eprintln!("knapweedrilld: {error:?}");
                std::process::exit(1);
            }
        })
        .wrap_err("can't start the traffic thread")?;
    Ok(())
}
