//! Writes the state of the system as tables.

use knapweedrill::api::{EntryView, MinionView, ServiceView, ShowAnswer, TeamView};
use knapweedrill::contract::ConfigurationVersion;

use super::report::name;
use super::table::Table;

/// Writes services, minions, teams and entries, each as a table.
pub(super) fn show(answer: &ShowAnswer) -> eyre::Result<()> {
    let configuration = version(answer.configuration_version);
    println!(
        "as {} sees it; configuration {configuration}\n",
        answer.process
    );
    println!("{}", services(&answer.services));
    println!("{}", minions(&answer.minions)?);
    println!("{}", teams(&answer.teams));
    print!("{}", entries(&answer.entries));
    Ok(())
}

fn services(services: &[ServiceView]) -> Table {
    let mut table = Table::new(&["SERVICE", "SERVING", "MINIONS", "SLOTS"]);
    for service in services {
        table.row([
            service.name.clone(),
            service.serving_count.to_string(),
            service.minion_count.to_string(),
            service.slot_count.to_string(),
        ]);
    }
    table
}

fn minions(minions: &[MinionView]) -> eyre::Result<Table> {
    let mut table = Table::new(&[
        "MINION",
        "SERVICE",
        "FAILURE_DOMAIN",
        "STATE",
        "BUSY/SLOTS",
        "SPEED_PERCENT",
        "CONFIGURATION",
    ]);
    for minion in minions {
        table.row([
            minion.sidecar.clone(),
            minion.service.clone(),
            minion.failure_domain.clone(),
            minion_state(minion)?,
            format!("{}/{}", minion.busy_count, minion.slot_count),
            minion.speed_percent.to_string(),
            version(minion.configuration_version),
        ]);
    }
    Ok(table)
}

fn teams(teams: &[TeamView]) -> Table {
    let mut table = Table::new(&[
        "TEAM",
        "SHARE_PERCENT",
        "CAP_PERCENT",
        "USED_PERCENT",
        "QUEUED",
        "RUNNING",
    ]);
    for team in teams {
        table.row([
            team.name.clone(),
            team.share_percent.to_string(),
            team.cap_percent.to_string(),
            team.used_percent.to_string(),
            team.queued_count.to_string(),
            team.running_count.to_string(),
        ]);
    }
    table
}

fn entries(entries: &[EntryView]) -> Table {
    let mut table = Table::new(&["ENTRY", "HTTP", "FAILURE_DOMAIN", "STATE", "CONFIGURATION"]);
    for entry in entries {
        table.row([
            entry.name.clone(),
            entry.http_address.to_string(),
            entry.failure_domain.clone(),
            entry_state(entry).to_owned(),
            version(entry.configuration_version),
        ]);
    }
    table
}

fn minion_state(minion: &MinionView) -> eyre::Result<String> {
    match (minion.is_ejected, minion.is_suspect) {
        (true, _) => Ok("ejected".to_owned()),
        (false, true) => Ok("suspect".to_owned()),
        (false, false) => name(&minion.state),
    }
}

fn entry_state(entry: &EntryView) -> &'static str {
    match (entry.is_stopping, entry.is_suspect) {
        (true, _) => "stopping",
        (false, true) => "suspect",
        (false, false) => "serving",
    }
}

fn version(version: Option<ConfigurationVersion>) -> String {
    version.map_or("none".to_owned(), |version| version.to_string())
}
