//! A process of the role sidecar.

use std::sync::Arc;

use knapweedrill::membership::SidecarMembership;
use knapweedrill::minion::{Announcement, MinionState};
use knapweedrill::sidecar::{Sidecar, SidecarSettings};

use super::common::{Common, membership_settings};
use crate::control::{ControlEvent, SidecarControl, SidecarParts, run as run_control};
use crate::minion_calls::CallPool;
use crate::settings::{MinionSettings, Settings};

/// Runs a sidecar until its planned stop has ended.
pub(super) fn run(settings: Settings, common: Common, minion: MinionSettings) -> eyre::Result<()> {
    let announcement = announcement(&settings, &common, minion);
    let membership = SidecarMembership::new(
        announcement,
        settings.seed_addresses.clone(),
        membership_settings(&settings),
    );
    let events = common.sender.clone();
    let calls = CallPool::new(move |task, attempt, end| {
        let _ = events.send(ControlEvent::CallEnded {
            task,
            attempt,
            result: end.result,
            run_time: end.run_time,
        });
    });
    let sidecar = Sidecar::new(common.incarnation, sidecar_settings(&settings));
    let mut control = SidecarControl::new(SidecarParts {
        sidecar,
        peers: common.peers(&settings),
        membership,
        datagrams: common.datagrams.clone(),
        calls,
        published: Arc::clone(&common.published),
        timeline: Arc::clone(&common.timeline),
        metrics: Arc::clone(&common.metrics),
        settings,
    });
    run_control(&mut control, &common.events, &common.metrics, &common.http)?;
    drop(control);
    common.end();
    Ok(())
}

fn announcement(settings: &Settings, common: &Common, minion: MinionSettings) -> Announcement {
    Announcement {
        name: settings.process.name.clone(),
        sidecar: common.incarnation,
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
        .start_memory(settings.limits.key_retention)
}
