//! What a process of either role is made of.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::WrapErr;
use knapweedrill::dispatch::RunTiming;
use knapweedrill::dispatch::message::Role;
use knapweedrill::dispatch::session::{Identity, SessionSettings, Sessions};
use knapweedrill_platform::{ProcessSettings, SETTINGS_VARIABLE};

use super::DispatchRole;
use super::settings_watch::SettingsWatch;
use crate::telemetry;

/// The pause between two looks at time-outs while there is work: below the shortest of them, the delay of
/// an acknowledgement.
pub(super) const TICK: Duration = Duration::from_millis(10);

/// The same while there is no work: the shortest time-out is then the pause between two beats of a
/// session, which sessions tell by themselves.
pub(super) const IDLE_TICK: Duration = Duration::from_millis(50);

/// How many events are dealt with before their effects are sent.
pub(super) const BATCH_EVENT_COUNT: usize = 128;

/// How long the platform takes to notice that a process is not ready: it asks once a second, and
/// twice in vain.
const NOT_READY_NOTICED: Duration = Duration::from_millis(2_300);

/// How long before the end of the grace a process that was asked to stop ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// How long a process that was asked to stop must have had no work before it ends.
const QUIET_BEFORE_STOP: Duration = Duration::from_millis(1_500);

/// What a process of either role is made of.
pub(super) struct Process {
    pub(super) settings: ProcessSettings,
    watch: SettingsWatch,
    pub(super) identity: Identity,
    pub(super) stop: StopRequest,
}

impl Process {
    /// Reads the settings and sets up logs and signals.
    pub(super) fn start(role: DispatchRole) -> eyre::Result<Self> {
        let started_at = Instant::now();
        telemetry::init_stdout_logs()?;
        let file = std::env::var(SETTINGS_VARIABLE)
            .wrap_err_with(|| format!("the environment variable {SETTINGS_VARIABLE}"))?;
        let (watch, settings) = SettingsWatch::start(file, started_at)?;
        let role = match role {
            DispatchRole::Entry => Role::Entry,
            DispatchRole::Sidecar => Role::Sidecar,
        };
        let identity = Identity {
            // 0 stands for a process that is not known.
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
            stop: StopRequest::watch(settings.stop_grace)?,
            settings,
            watch,
            identity,
        })
    }

    /// Returns the sessions of the process: none yet.
    pub(super) fn sessions(&self) -> Sessions {
        Sessions::new(self.identity, SessionSettings::default())
    }

    /// Looks whether the settings have changed. The grace of a planned stop and the seeds are taken
    /// over; returns the addresses of other entries if there are new ones.
    ///
    /// Addresses of this process need a restart, and so do the times of runs: processes that took them
    /// over at different moments would not agree on when a run is over.
    pub(super) fn reload(&mut self, now: Instant) -> Vec<SocketAddr> {
        let is_asked = self.stop.take_reload();
        let Some(settings) = self.watch.look(is_asked, now) else {
            return Vec::new();
        };
        let taken_over = ProcessSettings {
            stop_grace: settings.stop_grace,
            seed_addresses: settings.seed_addresses.clone(),
            ..self.settings.clone()
        };
        let needs_restart = taken_over != settings;
        log::info!(
            needs_restart, grace_ms = settings.stop_grace.as_millis() as u64,
            seeds = settings.seed_addresses.len(); "settings taken over"
        );
        self.settings = taken_over;
        self.stop.grace = self.settings.stop_grace;
        self.seeds().collect()
    }

    /// Returns where other entries may be.
    pub(super) fn seeds(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let port = self.settings.internal_ports.0;
        let seeds = self.settings.seed_addresses.iter();
        seeds
            .map(move |seed| SocketAddr::new(seed.ip(), port))
            .filter(|address| *address != self.address())
    }

    /// Returns how long runs may outlive the entry that ordered them.
    pub(super) fn run_timing(&self) -> RunTiming {
        let settings = &self.settings;
        RunTiming::new(
            settings.lease_max,
            settings.run_stop_time_max,
            settings.resubmission_delay,
        )
    }

    /// Returns where other processes reach this one.
    pub(super) fn address(&self) -> SocketAddr {
        SocketAddr::new(self.settings.ip, self.settings.internal_ports.0)
    }
}

/// Returns how long a process may wait for an event, given when it is to look at time-outs and when its
/// sessions have something due.
pub(super) fn wait_for_events(next_tick: Instant, sessions_due: Option<Instant>) -> Duration {
    let until = sessions_due.map_or(next_tick, |due| due.min(next_tick));
    until.saturating_duration_since(Instant::now())
}

/// Returns the wall clock, in Unix milliseconds.
pub(super) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Runs HTTP on a thread of its own.
pub(super) fn start_traffic<F>(traffic: impl FnOnce() -> F + Send + 'static) -> eyre::Result<()>
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
                // Without HTTP the process serves nobody; the platform starts it anew.
                log::error!(error:? = error; "traffic ended");
                eprintln!("knapweedrilld: {error:?}");
                std::process::exit(1);
            }
        })
        .wrap_err("can't start the traffic thread")?;
    Ok(())
}

/// Whether and when the process was asked to stop or to read its settings anew.
pub(super) struct StopRequest {
    is_asked: Arc<AtomicBool>,
    is_reload_asked: Arc<AtomicBool>,
    grace: Duration,
    asked_at: Option<Instant>,
    busy_at: Option<Instant>,
}

impl StopRequest {
    fn watch(grace: Duration) -> eyre::Result<Self> {
        let is_asked = Arc::new(AtomicBool::new(false));
        let is_reload_asked = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(signal_hook::consts::SIGTERM, Arc::clone(&is_asked))
            .wrap_err("can't watch for SIGTERM")?;
        signal_hook::flag::register(signal_hook::consts::SIGHUP, Arc::clone(&is_reload_asked))
            .wrap_err("can't watch for SIGHUP")?;
        Ok(Self {
            is_asked,
            is_reload_asked,
            grace,
            asked_at: None,
            busy_at: None,
        })
    }

    /// Returns whether the process was just asked to stop.
    pub(super) fn has_begun(&mut self, now: Instant) -> bool {
        if self.asked_at.is_some() || !self.is_asked.load(Ordering::Relaxed) {
            return false;
        }
        log::info!(grace_ms = self.grace.as_millis() as u64; "asked to stop");
        self.asked_at = Some(now);
        self.busy_at = Some(now);
        true
    }

    /// Returns whether the platform has had the time to send new callers elsewhere, so that those
    /// whose connections are closed do not come back.
    pub(super) fn is_to_send_callers_away(&self, now: Instant) -> bool {
        let is_noticed = |at| now.saturating_duration_since(at) >= NOT_READY_NOTICED;
        self.asked_at.is_some_and(is_noticed)
    }

    /// Returns whether it is time to end.
    pub(super) fn is_over(&mut self, has_work: bool, now: Instant) -> bool {
        let Some(asked_at) = self.asked_at else {
            return false;
        };
        if has_work {
            self.busy_at = Some(now);
        }
        let is_quiet = self
            .busy_at
            .is_some_and(|at| now.saturating_duration_since(at) >= QUIET_BEFORE_STOP);
        is_quiet || now >= asked_at + self.grace.saturating_sub(STOP_MARGIN)
    }

    /// Returns whether the process was asked to read its settings anew since the last call.
    fn take_reload(&self) -> bool {
        self.is_reload_asked.swap(false, Ordering::Relaxed)
    }
}
