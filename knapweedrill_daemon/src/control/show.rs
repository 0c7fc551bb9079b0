//! The state of the system from the view of an entry.

use std::collections::BTreeMap;

use knapweedrill::api::{EntryView, MinionView, ServiceView, ShowResponse, TeamView};
use knapweedrill::common::Incarnation;
use knapweedrill::contract::ConfigurationVersion;
use knapweedrill::minion::{Announcement, MinionState};

use super::entry::EntryControl;

/// The configuration version in force at each process; `None` if it has none yet.
type Versions = BTreeMap<Incarnation, Option<ConfigurationVersion>>;

impl EntryControl {
    /// Returns the services, minions, teams and entries that this entry knows.
    pub(super) fn show(&self) -> ShowResponse {
        let versions: Versions = self.membership.configurations().collect();
        ShowResponse {
            process: self.settings.process.name.clone(),
            configuration_version: self.configuration.version(),
            services: self.service_views(),
            minions: self.minion_views(&versions),
            teams: self.team_views(),
            entries: self.entry_views(&versions),
        }
    }

    fn service_views(&self) -> Vec<ServiceView> {
        self.configuration
            .configuration()
            .services
            .iter()
            .map(|service| self.service_view(&service.name))
            .collect()
    }

    fn service_view(&self, service: &str) -> ServiceView {
        let minions: Vec<&Announcement> = self
            .membership
            .minions()
            .filter(|minion| minion.service == service)
            .collect();
        let serving = || {
            minions
                .iter()
                .filter(|minion| minion.state == MinionState::Serving)
        };
        ServiceView {
            name: service.to_owned(),
            serving_count: to_u32(serving().count()),
            minion_count: to_u32(minions.len()),
            slot_count: serving().map(|minion| minion.slots).sum(),
        }
    }

    fn minion_views(&self, versions: &Versions) -> Vec<MinionView> {
        self.membership
            .minions()
            .map(|minion| self.minion_view(minion, versions))
            .collect()
    }

    fn minion_view(&self, minion: &Announcement, versions: &Versions) -> MinionView {
        let overview = self.entry.minion_overview(minion.sidecar);
        MinionView {
            sidecar: minion.name.clone(),
            service: minion.service.clone(),
            worker: minion.worker.clone(),
            failure_domain: minion.failure_domain.clone(),
            http_address: minion.http_address,
            state: minion.state,
            is_ejected: overview.is_some_and(|overview| overview.is_ejected),
            is_suspect: !self.peers.is_connected(minion.sidecar),
            slot_count: minion.slots,
            busy_count: overview.map_or(0, |overview| overview.busy_count),
            speed_percent: overview.map_or(0, |overview| overview.speed_percent),
            configuration_version: versions.get(&minion.sidecar).copied().flatten(),
        }
    }

    fn team_views(&self) -> Vec<TeamView> {
        let work = self.entry.team_overviews();
        let slot_count = self.entry.slot_count().max(1);
        self.configuration
            .configuration()
            .teams
            .into_iter()
            .map(|team| {
                let work = work.get(&team.name).copied().unwrap_or_default();
                TeamView {
                    name: team.name,
                    share_percent: team.share_percent,
                    cap_percent: team.cap_percent,
                    used_percent: work.running_count * 100 / slot_count,
                    queued_count: work.queued_count,
                    running_count: work.running_count,
                }
            })
            .collect()
    }

    fn entry_views(&self, versions: &Versions) -> Vec<EntryView> {
        let local = EntryView {
            name: self.settings.process.name.clone(),
            http_address: self.settings.listen.reachable_http(),
            link_address: self.settings.listen.reachable_link(),
            failure_domain: self.settings.process.failure_domain.clone(),
            is_suspect: false,
            is_stopping: self.entry.is_stopping(),
            configuration_version: self.configuration.version(),
        };
        let peers = self.membership.entries().map(|entry| EntryView {
            name: entry.name.clone(),
            http_address: entry.http_address,
            link_address: entry.link_address,
            failure_domain: entry.failure_domain.clone(),
            is_suspect: !self.peers.is_connected(entry.incarnation),
            is_stopping: self.entry.is_entry_stopping(entry.incarnation),
            configuration_version: versions.get(&entry.incarnation).copied().flatten(),
        });
        std::iter::once(local).chain(peers).collect()
    }
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
