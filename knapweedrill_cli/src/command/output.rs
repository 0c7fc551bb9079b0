//! Prints the results of commands.

use knapweedrill::api::{ApplyResponse, Content, JobResponse};
use knapweedrill::event::Event;
use serde::Serialize;

/// Prints a value as one line of JSON.
pub(super) fn print_json(value: &impl Serialize) -> eyre::Result<()> {
    println!("{}", serde_json::to_string(value)?);
    Ok(())
}

/// Prints the results of a job to standard output, and its outcome and progress to standard error.
pub(super) fn print_job(answer: &JobResponse) -> eyre::Result<()> {
    for result in answer.results.iter().flatten() {
        match result {
            Content::Text(text) => println!("{text}"),
            Content::Hex { hex } => println!("hex:{hex}"),
        }
    }
    eprintln!("{}", variant_name(&answer.outcome)?);
    if let (Some(ended_count), Some(task_count)) = (answer.ended_count, answer.task_count) {
        eprintln!("{ended_count} of {task_count} tasks have ended");
    }
    let message = answer.message.as_deref().unwrap_or_default();
    match &answer.reason {
        Some(reason) => eprintln!("{}: {message}", variant_name(reason)?),
        None if !message.is_empty() => eprintln!("{message}"),
        None => {}
    }
    Ok(())
}

/// Prints the outcome of a configuration change and the problems of the file.
pub(super) fn print_apply(answer: &ApplyResponse) -> eyre::Result<()> {
    println!("{}", variant_name(&answer.outcome)?);
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

/// Prints an event as one line: time, process, incarnation and the event itself as JSON.
pub(super) fn print_event(event: &Event) -> eyre::Result<()> {
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

/// Returns the name that a unit variant has in JSON.
pub(super) fn variant_name(value: &impl Serialize) -> eyre::Result<String> {
    Ok(serde_json::to_string(value)?.trim_matches('"').to_owned())
}
