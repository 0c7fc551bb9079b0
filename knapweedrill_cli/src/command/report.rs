//! Writes what a command found.

use knapweedrill::api::{ApplyAnswer, Content, JobAnswer, ShowAnswer};
use knapweedrill::event::Event;
use serde::Serialize;

/// Writes a value as one line of JSON.
pub(super) fn json(value: &impl Serialize) -> eyre::Result<()> {
    println!("{}", serde_json::to_string(value)?);
    Ok(())
}

pub(super) fn job(answer: &JobAnswer) -> eyre::Result<()> {
    for result in answer.results.iter().flatten() {
        match result {
            Content::Text(text) => println!("{text}"),
            Content::Hex { hex } => println!("hex:{hex}"),
        }
    }
    eprintln!("{}", name(&answer.outcome)?);
    if let (Some(ended_count), Some(task_count)) = (answer.ended_count, answer.task_count) {
        eprintln!("{ended_count} of {task_count} tasks have ended");
    }
    if let Some(reason) = &answer.reason {
        let message = answer.message.as_deref().unwrap_or_default();
        eprintln!("{}: {message}", name(reason)?);
    }
    Ok(())
}

pub(super) fn apply(answer: &ApplyAnswer) -> eyre::Result<()> {
    println!("{}", name(&answer.outcome)?);
    if let Some(version) = answer.version {
        println!("version {version}");
    }
    if let Some(version) = answer.current_version {
        println!("in force: version {version}");
    }
    if let (Some(in_force_count), Some(process_count)) =
        (answer.in_force_count, answer.process_count)
    {
        println!("in force at {in_force_count} of {process_count} processes");
    }
    if let Some(message) = &answer.message {
        eprintln!("{message}");
    }
    for problem in &answer.problems {
        eprintln!("{problem}");
    }
    Ok(())
}

pub(super) fn show(answer: &ShowAnswer) -> eyre::Result<()> {
    let version = |version: Option<u64>| version.map_or("none".to_owned(), |v| v.to_string());
    println!(
        "as {} sees it; configuration {}",
        answer.process,
        version(answer.configuration_version)
    );
    println!("\nSERVICE  SERVING  MINIONS  SLOTS");
    for service in &answer.services {
        println!(
            "{}  {}  {}  {}",
            service.name, service.serving_count, service.minion_count, service.slot_count
        );
    }
    println!("\nMINION  SERVICE  FAILURE_DOMAIN  STATE  BUSY/SLOTS  SPEED_PERCENT  CONFIGURATION");
    for minion in &answer.minions {
        let state = match (minion.is_ejected, minion.is_suspect) {
            (true, _) => "ejected".to_owned(),
            (false, true) => "suspect".to_owned(),
            (false, false) => name(&minion.state)?,
        };
        println!(
            "{}  {}  {}  {state}  {}/{}  {}  {}",
            minion.sidecar,
            minion.service,
            minion.failure_domain,
            minion.busy_count,
            minion.slot_count,
            minion.speed_percent,
            version(minion.configuration_version)
        );
    }
    println!("\nTEAM  SHARE_PERCENT  CAP_PERCENT  USED_PERCENT  QUEUED  RUNNING");
    for team in &answer.teams {
        println!(
            "{}  {}  {}  {}  {}  {}",
            team.name,
            team.share_percent,
            team.cap_percent,
            team.used_percent,
            team.queued_count,
            team.running_count
        );
    }
    println!("\nENTRY  HTTP  FAILURE_DOMAIN  STATE  CONFIGURATION");
    for entry in &answer.entries {
        let state = match (entry.is_stopping, entry.is_suspect) {
            (true, _) => "stopping",
            (false, true) => "suspect",
            (false, false) => "serving",
        };
        println!(
            "{}  {}  {}  {state}  {}",
            entry.name,
            entry.http_address,
            entry.failure_domain,
            version(entry.configuration_version)
        );
    }
    Ok(())
}

pub(super) fn event(event: &Event) -> eyre::Result<()> {
    println!(
        "{}.{:06}+{} {} {:016x} {}",
        event.at.wall_us / 1_000_000,
        event.at.wall_us % 1_000_000,
        event.at.logical_count,
        event.process,
        event.incarnation,
        serde_json::to_string(&event.kind)?
    );
    Ok(())
}

/// Returns the name of a variant as in JSON.
fn name(value: &impl Serialize) -> eyre::Result<String> {
    Ok(serde_json::to_string(value)?.trim_matches('"').to_owned())
}
