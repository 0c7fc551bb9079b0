//! A process of the role entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use knapweedrill::entry::{Entry, EntrySettings};
use knapweedrill::membership::EntryMembership;

use super::common::{Common, membership_settings};
use crate::control::{ControlEvent, EntryControl, EntryParts, Replies, run as run_control};
use crate::platform_log::{HttpLog, LogRecord, LogWriter, PlatformLog, TimedLog, tail};
use crate::settings::{LogServiceSettings, Settings};

/// Runs an entry until its planned stop has ended.
pub(super) fn run(
    settings: Settings,
    common: Common,
    log: &LogServiceSettings,
) -> eyre::Result<()> {
    let log: Arc<dyn PlatformLog> = Arc::new(TimedLog::new(
        HttpLog::new(log.address),
        Arc::clone(&common.metrics),
    ));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let writer = start_log(&common, &log, &is_stopped)?;
    let own = common.address(&settings);
    writer.append(common.incarnation, LogRecord::Presence(own.clone()));
    let membership = EntryMembership::new(
        own,
        settings.seed_addresses.clone(),
        membership_settings(&settings),
    );
    let entry = Entry::new(
        common.incarnation,
        entry_settings(&settings),
        Instant::now(),
    );
    let mut control = EntryControl::new(EntryParts {
        entry,
        peers: common.peers(&settings),
        membership,
        datagrams: common.datagrams.clone(),
        log: writer,
        replies: Replies::start(&common.published)?,
        published: Arc::clone(&common.published),
        timeline: Arc::clone(&common.timeline),
        metrics: Arc::clone(&common.metrics),
        settings,
    });
    run_control(&mut control, &common.events, &common.metrics, &common.http)?;
    is_stopped.store(true, Ordering::Release);
    drop(control);
    common.end();
    Ok(())
}

fn start_log(
    common: &Common,
    log: &Arc<dyn PlatformLog>,
    is_stopped: &Arc<AtomicBool>,
) -> eyre::Result<LogWriter> {
    let events = common.sender.clone();
    tail(Arc::clone(log), Arc::clone(is_stopped), move |news| {
        let _ = events.send(ControlEvent::Log(news));
    })?;
    let events = common.sender.clone();
    LogWriter::start(Arc::clone(log), move |record_id, result| {
        let _ = events.send(ControlEvent::Appended { record_id, result });
    })
}

fn entry_settings(settings: &Settings) -> EntrySettings {
    let limits = &settings.limits;
    EntrySettings::new()
        .generation(limits.token_rotation_interval)
        .kept_keys(limits.key_retention)
        .answer_bytes(usize::try_from(limits.answer_bytes).unwrap_or(usize::MAX))
        .shutdown_deadline(limits.shutdown_deadline)
        .placement(settings.placement)
        .seed(rand::random())
}
