//! Runs the commands.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufReader, IsTerminal, stderr, stdin, stdout};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eyre::WrapErr;
use indicatif::{ProgressBar, ProgressStyle};
use knapweedrill::api::{ExpectedParent, JobRequest, JobResponse};
use knapweedrill::contract::{Configuration, OwnerToken};

use super::show::print_state;
use super::{Action, Arguments, ExitStatus, TimelineFilter, explain, help, merge_events, output};
use crate::client::{Client, ClientBuilder, Submission};

/// The longest time that `apply --wait` waits until all processes use the configuration.
const IN_FORCE_WAIT_MAX: Duration = Duration::from_secs(30);

/// Runs a command and returns the exit status of the process.
///
/// # Errors
///
/// Returns an error if a call fails, if a file or the logs cannot be read, or if a job file is
/// invalid.
pub(super) fn run(arguments: Arguments) -> eyre::Result<ExitStatus> {
    let client = || ClientBuilder::new(arguments.entries.clone()).build();
    let is_json = arguments.is_json;
    match arguments.action {
        Action::Help => {
            print!("{}", help::HELP);
            Ok(ExitStatus::Success)
        }
        Action::Version => {
            println!("knapweedrill {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitStatus::Success)
        }
        Action::Submit {
            spec,
            key,
            token,
            wait,
        } => {
            let key = key.unwrap_or_else(random_key);
            let submission = Submission {
                key,
                token,
                spec,
                wait,
            };
            submit(&mut client()?, submission, is_json)
        }
        Action::SubmitFile { file, key, token } => {
            let submission = read_submission(&file, key, token)?;
            submit(&mut client()?, submission, is_json)
        }
        Action::Status { job, wait } => {
            let answer = client()?.status(job.token, job.team, job.key, wait)?;
            print_job_answer(&answer, is_json)
        }
        Action::Cancel { job } => {
            let answer = client()?.cancel(job.token, job.team, job.key)?;
            print_job_answer(&answer, is_json)
        }
        Action::Explain { job, file } => explain_logs(&job, file.as_deref()),
        Action::Check { file } => check_configuration(&file),
        Action::Apply {
            file,
            parent,
            waits_until_in_force,
        } => apply(&mut client()?, &file, parent, waits_until_in_force, is_json),
        Action::Show => {
            let answer = client()?.show()?;
            if is_json {
                output::print_json(&answer)?;
            } else {
                print_state(&answer)?;
            }
            Ok(ExitStatus::Success)
        }
        Action::Drain { process } => {
            let answer = client()?.drain(process)?;
            if is_json {
                output::print_json(&answer)?;
            } else {
                println!("{} stops within {} ms", answer.process, answer.deadline_ms);
            }
            Ok(ExitStatus::Success)
        }
        Action::Timeline { filter } => timeline(&mut client()?, &filter, is_json),
    }
}

fn submit(client: &mut Client, submission: Submission, is_json: bool) -> eyre::Result<ExitStatus> {
    let bar = progress_bar(submission.spec.tasks.len());
    let team = submission.spec.team.clone();
    let key = submission.key.clone();
    let report = client.submit_with_progress(submission, |answer| {
        bar.set_position(u64::from(answer.ended_count.unwrap_or(0)));
    });
    bar.finish_and_clear();
    let report = report?;
    let job = report.token.job_id(&team, &key);
    eprintln!("job {job:032x} --owner {} --key {key}", report.token);
    print_job_answer(&report.answer, is_json)
}

fn progress_bar(task_count: usize) -> ProgressBar {
    if !stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(task_count as u64);
    bar.set_style(ProgressStyle::default_bar());
    bar
}

fn print_job_answer(answer: &JobResponse, is_json: bool) -> eyre::Result<ExitStatus> {
    if is_json {
        output::print_json(answer)?;
    } else {
        output::print_job(answer)?;
    }
    Ok(answer.outcome.into())
}

fn read_submission(
    file: &Path,
    key: Option<String>,
    token: Option<OwnerToken>,
) -> eyre::Result<Submission> {
    let request: JobRequest = serde_json::from_str(&read_file(file)?)
        .wrap_err_with(|| format!("{} is not a valid job file", file.display()))?;
    let wait = request.wait();
    Ok(Submission {
        key: key.unwrap_or_else(random_key),
        token,
        spec: request.into_spec()?,
        wait,
    })
}

fn check_configuration(file: &Path) -> eyre::Result<ExitStatus> {
    match Configuration::parse(&read_file(file)?, file.display().to_string()) {
        Ok(_) => {
            println!("{}: no problems", file.display());
            Ok(ExitStatus::Success)
        }
        Err(error) => {
            eprintln!("{error}");
            Ok(ExitStatus::InvalidConfiguration)
        }
    }
}

fn apply(
    client: &mut Client,
    file: &Path,
    parent: ExpectedParent,
    waits_until_in_force: bool,
    is_json: bool,
) -> eyre::Result<ExitStatus> {
    let wait = if waits_until_in_force {
        IN_FORCE_WAIT_MAX
    } else {
        Duration::ZERO
    };
    let answer = client.apply(read_file(file)?, parent, wait)?;
    if is_json {
        output::print_json(&answer)?;
    } else {
        output::print_apply(&answer)?;
    }
    Ok(answer.outcome.into())
}

fn timeline(
    client: &mut Client,
    filter: &TimelineFilter,
    is_json: bool,
) -> eyre::Result<ExitStatus> {
    let mut events = Vec::new();
    let mut is_visited: BTreeMap<SocketAddr, bool> = client
        .entries()
        .iter()
        .map(|entry| (*entry, false))
        .collect();
    let mut status = ExitStatus::Success;
    while let Some(process) = next_process(&mut is_visited) {
        match client.events(process) {
            Ok(answer) => {
                events.extend(answer.events);
                for peer in answer.peers {
                    is_visited.entry(peer.http_address).or_insert(false);
                }
            }
            Err(error) => {
                eprintln!("knapweedrill: the timeline is incomplete: {error}");
                status = ExitStatus::Error;
            }
        }
    }
    for event in merge_events(events, filter) {
        if is_json {
            output::print_json(&event)?;
        } else {
            output::print_event(&event)?;
        }
    }
    Ok(status)
}

/// Returns a process that was not visited yet, and marks it as visited.
fn next_process(is_visited: &mut BTreeMap<SocketAddr, bool>) -> Option<SocketAddr> {
    let (process, is_visited) = is_visited
        .iter_mut()
        .find(|(_, is_visited)| !**is_visited)?;
    *is_visited = true;
    Some(*process)
}

fn random_key() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn read_file(file: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("cannot read {}", file.display()))
}

fn explain_logs(job: &str, file: Option<&Path>) -> eyre::Result<ExitStatus> {
    let line_count = match file {
        Some(file) => {
            let logs =
                File::open(file).wrap_err_with(|| format!("cannot read {}", file.display()))?;
            explain(job, BufReader::new(logs), stdout().lock())?
        }
        None => explain(job, stdin().lock(), stdout().lock())?,
    };
    if line_count == 0 {
        eprintln!("knapweedrill: the logs have no lines of job {job}");
        return Ok(ExitStatus::Error);
    }
    Ok(ExitStatus::Success)
}
