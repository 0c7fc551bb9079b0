//! Prints the state of the system as tables.

use knapweedrill::api::{EntryView, MinionView, ServiceView, ShowResponse, TeamView};
use knapweedrill::contract::ConfigurationVersion;

use super::output::variant_name;
use super::table::Table;

/// Prints a table each of the services, minions, teams and entries.
pub(super) fn print_state(answer: &ShowResponse) -> eyre::Result<()> {
    let configuration = version_text(answer.configuration_version);
    println!(
        "state as seen by {}; configuration {configuration}\n",
        answer.process
    );
    println!("{}", service_table(&answer.services));
    println!("{}", minion_table(&answer.minions)?);
    println!("{}", team_table(&answer.teams));
    print!("{}", entry_table(&answer.entries));
    Ok(())
}

fn service_table(services: &[ServiceView]) -> Table {
    let mut table = Table::new(&["SERVICE", "SERVING", "MINIONS", "SLOTS"]);
    for service in services {
        table.push_row([
            service.name.clone(),
            service.serving_count.to_string(),
            service.minion_count.to_string(),
            service.slot_count.to_string(),
        ]);
    }
    table
}

fn minion_table(minions: &[MinionView]) -> eyre::Result<Table> {
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
        table.push_row([
            minion.sidecar.clone(),
            minion.service.clone(),
            minion.failure_domain.clone(),
            minion_state(minion)?,
            format!("{}/{}", minion.busy_count, minion.slot_count),
            minion.speed_percent.to_string(),
            version_text(minion.configuration_version),
        ]);
    }
    Ok(table)
}

fn team_table(teams: &[TeamView]) -> Table {
    let mut table = Table::new(&[
        "TEAM",
        "SHARE_PERCENT",
        "CAP_PERCENT",
        "USED_PERCENT",
        "QUEUED",
        "RUNNING",
    ]);
    for team in teams {
        table.push_row([
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

fn entry_table(entries: &[EntryView]) -> Table {
    let mut table = Table::new(&["ENTRY", "HTTP", "FAILURE_DOMAIN", "STATE", "CONFIGURATION"]);
    for entry in entries {
        table.push_row([
            entry.name.clone(),
            entry.http_address.to_string(),
            entry.failure_domain.clone(),
            entry_state(entry).to_owned(),
            version_text(entry.configuration_version),
        ]);
    }
    table
}

fn minion_state(minion: &MinionView) -> eyre::Result<String> {
    match (minion.is_ejected, minion.is_suspect) {
        (true, _) => Ok("ejected".to_owned()),
        (false, true) => Ok("suspect".to_owned()),
        (false, false) => variant_name(&minion.state),
    }
}

fn entry_state(entry: &EntryView) -> &'static str {
    match (entry.is_stopping, entry.is_suspect) {
        (true, _) => "stopping",
        (false, true) => "suspect",
        (false, false) => "serving",
    }
}

fn version_text(version: Option<ConfigurationVersion>) -> String {
    version.map_or("none".to_owned(), |version| version.to_string())
}
