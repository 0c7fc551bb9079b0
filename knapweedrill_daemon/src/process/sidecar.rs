//! Start and shutdown of a process with the role `sidecar`.

use std::sync::Arc;

use knapweedrill::membership::SidecarMembership;
use knapweedrill::minion::{Announcement, MinionState};
use knapweedrill::sidecar::{Sidecar, SidecarSettings};

use super::runtime::{ProcessRuntime, membership_settings};
use crate::control::{ControlEvent, SidecarControl, SidecarParts, run as run_control};
use crate::minion_calls::CallPool;
use crate::settings::{MinionSettings, Settings};

/// Runs a sidecar until its graceful shutdown is complete.
pub(super) fn run(
    settings: Settings,
    runtime: ProcessRuntime,
    minion: MinionSettings,
) -> eyre::Result<()> {
    let announcement = initial_announcement(&settings, &runtime, minion);
    let membership = SidecarMembership::new(
        announcement,
        settings.seed_addresses.clone(),
        membership_settings(&settings),
    );
    let events = runtime.event_sender.clone();
    let calls = CallPool::new(move |task, attempt, completed| {
        let _ = events.send(ControlEvent::CallEnded {
            task,
            attempt,
            result: completed.result,
            run_time: completed.run_time,
        });
    });
    let sidecar = Sidecar::new(runtime.incarnation, sidecar_settings(&settings));
    let mut control = SidecarControl::new(SidecarParts {
        sidecar,
        peers: runtime.peers(&settings),
        membership,
        datagrams: runtime.datagrams.clone(),
        calls,
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
    drop(control);
    runtime.shut_down();
    Ok(())
}

/// Returns the announcement of a minion that the sidecar has not reached yet.
fn initial_announcement(
    settings: &Settings,
    runtime: &ProcessRuntime,
    minion: MinionSettings,
) -> Announcement {
    Announcement {
        name: settings.process.name.clone(),
        sidecar: runtime.incarnation,
        link_address: settings.listen.reachable_link(),
        http_address: settings.listen.reachable_http(),
        service: minion.service,
        worker: settings.process.worker.clone(),
        failure_domain: settings.process.failure_domain.clone(),
        slots: 0,
        speed_hint_percent: 0,
        state: MinionState::Absent,
    }
}

fn sidecar_settings(settings: &Settings) -> SidecarSettings {
    SidecarSettings::new()
        .prefetch_count(settings.limits.prefetch_count)
        .start_retention(settings.limits.key_retention)
}
