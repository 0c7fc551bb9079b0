//! Start and shutdown of a process with the role `entry`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use knapweedrill::entry::{Entry, EntrySettings};
use knapweedrill::membership::EntryMembership;

use super::runtime::{ProcessRuntime, membership_settings};
use crate::control::{ControlEvent, EntryControl, EntryParts, JobResponder, run as run_control};
use crate::platform_log::{HttpLog, InstrumentedLog, LogRecord, LogWriter, PlatformLog, tail};
use crate::settings::{LogServiceSettings, Settings};

/// Runs an entry until its graceful shutdown is complete.
pub(super) fn run(
    settings: Settings,
    runtime: ProcessRuntime,
    log: &LogServiceSettings,
) -> eyre::Result<()> {
    let log: Arc<dyn PlatformLog> = Arc::new(InstrumentedLog::new(
        HttpLog::new(log.address),
        Arc::clone(&runtime.metrics),
    ));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let writer = start_log_threads(&runtime, &log, &is_stopped)?;
    let own_address = runtime.peer_address(&settings);
    writer.append(
        runtime.incarnation,
        LogRecord::Presence(own_address.clone()),
    );
    let membership = EntryMembership::new(
        own_address,
        settings.seed_addresses.clone(),
        membership_settings(&settings),
    );
    let entry = Entry::new(
        runtime.incarnation,
        entry_settings(&settings),
        Instant::now(),
    );
    let mut control = EntryControl::new(EntryParts {
        entry,
        peers: runtime.peers(&settings),
        membership,
        datagrams: runtime.datagrams.clone(),
        log: writer,
        job_responder: JobResponder::start(&runtime.published)?,
        published: Arc::clone(&runtime.published),
        timeline: Arc::clone(&runtime.timeline),
        metrics: Arc::clone(&runtime.metrics),
        settings,
    });
    run_control(
        &mut control,
        &runtime.events,
        &runtime.metrics,
        &runtime.http,
    )?;
    is_stopped.store(true, Ordering::Release);
    drop(control);
    runtime.shut_down();
    Ok(())
}

/// Starts the threads that read and append to the platform's log, and returns the writer.
fn start_log_threads(
    runtime: &ProcessRuntime,
    log: &Arc<dyn PlatformLog>,
    is_stopped: &Arc<AtomicBool>,
) -> eyre::Result<LogWriter> {
    let events = runtime.event_sender.clone();
    tail(Arc::clone(log), Arc::clone(is_stopped), move |log_event| {
        let _ = events.send(ControlEvent::Log(log_event));
    })?;
    let events = runtime.event_sender.clone();
    LogWriter::start(Arc::clone(log), move |record_id, result| {
        let _ = events.send(ControlEvent::Appended { record_id, result });
    })
}

fn entry_settings(settings: &Settings) -> EntrySettings {
    let limits = &settings.limits;
    EntrySettings::new()
        .token_rotation_interval(limits.token_rotation_interval)
        .key_retention(limits.key_retention)
        .answer_bytes_max(usize::try_from(limits.answer_bytes).unwrap_or(usize::MAX))
        .shutdown_deadline(limits.shutdown_deadline)
        .placement(settings.placement)
        .seed(rand::random())
}
