//! Command-line arguments.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use knapweedrill::api::{ExpectedParent, KEY_ALLOWED, WAIT_DEFAULT, is_client_key};
use knapweedrill::common::{ClientKey, JobId, TeamName};
use knapweedrill::contract::{Class, OwnerToken};
use knapweedrill::job::{JobSpec, TaskSpec};
use lexopt::{Arg, Parser, ValueExt};

use super::TimelineFilter;

/// An error in the command-line arguments.
pub type UsageError = lexopt::Error;

const ENTRY_DEFAULT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7_000);

/// The parsed command-line arguments.
#[derive(Debug, Clone, PartialEq)]
pub struct Arguments {
    /// The HTTP addresses of the entries to call.
    pub entries: Vec<SocketAddr>,
    /// Whether output is JSON instead of text.
    pub is_json: bool,
    /// The command to run, with its options.
    pub action: Action,
}

/// A command with its options.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Print the help text.
    Help,
    /// Print the version of the program.
    Version,
    /// Submit a job that the arguments describe.
    Submit {
        /// The content of the job.
        spec: JobSpec,
        /// The idempotency key, or `None` for a random one.
        key: Option<ClientKey>,
        /// The owner token of an earlier attempt, or `None` to obtain a new one.
        token: Option<OwnerToken>,
        /// The longest time to wait for the outcome.
        wait: Duration,
    },
    /// Submit a job that a JSON file describes.
    SubmitFile {
        /// The path of the file.
        file: PathBuf,
        /// The idempotency key, or `None` for a random one.
        key: Option<ClientKey>,
        /// The owner token of an earlier attempt, or `None` to obtain a new one.
        token: Option<OwnerToken>,
    },
    /// Query the outcome of a job.
    Status {
        /// The identity of the job.
        job: JobRef,
        /// The longest time to wait for the outcome.
        wait: Duration,
    },
    /// Cancel a job.
    Cancel {
        /// The identity of the job.
        job: JobRef,
    },
    /// Print the log lines of a job.
    Explain {
        /// The ID of the job, 16 hexadecimal digits as in the logs.
        job: String,
        /// The path of the log file, or `None` for standard input.
        file: Option<PathBuf>,
    },
    /// Check a configuration file.
    Check {
        /// The path of the file.
        file: PathBuf,
    },
    /// Apply a configuration file.
    Apply {
        /// The path of the file.
        file: PathBuf,
        /// The configuration that the file must replace.
        parent: ExpectedParent,
        /// Whether to wait until all processes use the configuration.
        waits_until_in_force: bool,
    },
    /// Show the state of the system.
    Show,
    /// Drain a process and stop it.
    Drain {
        /// The HTTP address of the process.
        process: SocketAddr,
    },
    /// Show the events of all processes.
    Timeline {
        /// Which events to show.
        filter: TimelineFilter,
    },
}

/// The identity of a submitted job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRef {
    /// The team that submitted the job.
    pub team: TeamName,
    /// The idempotency key of the job.
    pub key: ClientKey,
    /// The owner token under which the job was submitted.
    pub token: OwnerToken,
}

/// The options of all commands and the positional arguments, before they form an [`Action`].
#[derive(Debug, Default)]
struct Options {
    entries: Option<Vec<SocketAddr>>,
    is_json: bool,
    positionals: Vec<OsString>,
    team: Option<String>,
    kind: Option<String>,
    key: Option<ClientKey>,
    token: Option<OwnerToken>,
    class: Option<Class>,
    deadline: Option<Duration>,
    idempotent: Option<bool>,
    hint: Option<Duration>,
    wait: Option<Duration>,
    file: Option<PathBuf>,
    parent: Option<ExpectedParent>,
    waits_until_in_force: bool,
    filter: TimelineFilter,
}

impl Arguments {
    /// Parses the arguments, which exclude the program name.
    ///
    /// # Errors
    ///
    /// Returns an error if the command is missing or unknown, if an option is unknown or belongs to
    /// another command, or if a value is missing, invalid or superfluous.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Self, UsageError> {
        let mut parser = Parser::from_args(arguments);
        let mut options = Options::default();
        let mut command = None;
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long("help") | Arg::Short('h') => return Ok(Self::with_action(Action::Help)),
                Arg::Long("version") => return Ok(Self::with_action(Action::Version)),
                Arg::Value(value) if command.is_none() => command = Some(value.string()?),
                Arg::Value(value) => options.positionals.push(value),
                Arg::Long(name) => {
                    let name = name.to_owned();
                    options.parse_option(command.as_deref(), &name, &mut parser)?;
                }
                Arg::Short(_) => return Err(argument.unexpected()),
            }
        }
        let entries = options.entries.take();
        Ok(Self {
            entries: entries.unwrap_or_else(|| vec![ENTRY_DEFAULT]),
            is_json: options.is_json,
            action: options.into_action(command)?,
        })
    }

    fn with_action(action: Action) -> Self {
        Self {
            entries: vec![ENTRY_DEFAULT],
            is_json: false,
            action,
        }
    }
}

impl Options {
    fn parse_option(
        &mut self,
        command: Option<&str>,
        name: &str,
        parser: &mut Parser,
    ) -> Result<(), UsageError> {
        if !accepts_option(command, name) {
            return Err(format!(
                "option --{name} is unknown or not accepted here; place it after its command"
            )
            .into());
        }
        match name {
            "entry" => self.entries = Some(parse_addresses(&parser.value()?.string()?)?),
            "json" => self.is_json = true,
            "team" => self.team = Some(parser.value()?.string()?),
            "kind" => self.kind = Some(parser.value()?.string()?),
            "key" => self.key = Some(parser.value()?.parse_with(parse_key)?),
            "owner" => self.token = Some(parser.value()?.parse()?),
            "class" => self.class = Some(parser.value()?.parse_with(parse_class)?),
            "deadline-ms" => self.deadline = Some(parse_milliseconds(parser)?),
            "idempotent" => self.idempotent = Some(parser.value()?.parse()?),
            "hint-ms" => self.hint = Some(parse_milliseconds(parser)?),
            "wait-ms" => self.wait = Some(parse_milliseconds(parser)?),
            "file" => self.file = Some(parser.value()?.into()),
            "parent" => self.parent = Some(parser.value()?.parse()?),
            "wait" => self.waits_until_in_force = true,
            "job" => self.filter = TimelineFilter::Job(parser.value()?.parse_with(parse_job_id)?),
            "minion" => self.filter = TimelineFilter::Minion(parser.value()?.string()?),
            _ => self.filter = TimelineFilter::Configuration,
        }
        Ok(())
    }

    fn into_action(mut self, command: Option<String>) -> Result<Action, UsageError> {
        let command = command.ok_or("no command was given")?;
        let action = match command.as_str() {
            "submit" => return self.into_submit_action(),
            "status" => Action::Status {
                wait: self.wait.unwrap_or_default(),
                job: self.take_job_ref()?,
            },
            "cancel" => Action::Cancel {
                job: self.take_job_ref()?,
            },
            "explain" => Action::Explain {
                job: self.take_positional("ID")?.string()?,
                file: self.take_optional_positional().map(PathBuf::from),
            },
            "check" => Action::Check {
                file: self.take_positional("FILE")?.into(),
            },
            "apply" => Action::Apply {
                file: self.take_positional("FILE")?.into(),
                parent: self.parent.unwrap_or_default(),
                waits_until_in_force: self.waits_until_in_force,
            },
            "show" => Action::Show,
            "drain" => Action::Drain {
                process: self.take_positional("PROCESS")?.parse()?,
            },
            "timeline" => Action::Timeline {
                filter: self.filter.clone(),
            },
            _ => return Err(format!("unknown command '{command}'").into()),
        };
        match self.positionals.first() {
            Some(value) => Err(UsageError::UnexpectedArgument(value.clone())),
            None => Ok(action),
        }
    }

    fn into_submit_action(self) -> Result<Action, UsageError> {
        if let Some(file) = self.file {
            if !self.positionals.is_empty() || self.team.is_some() || self.kind.is_some() {
                return Err(
                    "--file provides the whole job; remove --team, --kind and PAYLOAD".into(),
                );
            }
            return Ok(Action::SubmitFile {
                file,
                key: self.key,
                token: self.token,
            });
        }
        if self.positionals.is_empty() {
            return Err("PAYLOAD is missing; a job needs at least one".into());
        }
        let hint = self.hint;
        let tasks = self.positionals.into_iter().map(|value| {
            let payload = value.string()?.into_bytes();
            Ok(TaskSpec { payload, hint })
        });
        let tasks: Result<_, UsageError> = tasks.collect();
        Ok(Action::Submit {
            spec: JobSpec {
                team: self.team.ok_or("--team is missing")?,
                kind: self.kind.ok_or("--kind is missing")?,
                class: self.class,
                deadline: self.deadline,
                idempotent: self.idempotent,
                tasks: tasks?,
            },
            key: self.key,
            token: self.token,
            wait: self.wait.unwrap_or(WAIT_DEFAULT),
        })
    }

    fn take_job_ref(&mut self) -> Result<JobRef, UsageError> {
        Ok(JobRef {
            team: self.team.take().ok_or("--team is missing")?,
            key: self.key.take().ok_or("--key is missing")?,
            token: self.token.ok_or("--owner is missing")?,
        })
    }

    fn take_positional(&mut self, name: &str) -> Result<OsString, UsageError> {
        if self.positionals.is_empty() {
            return Err(format!("{name} is missing").into());
        }
        Ok(self.positionals.remove(0))
    }

    fn take_optional_positional(&mut self) -> Option<OsString> {
        (!self.positionals.is_empty()).then(|| self.positionals.remove(0))
    }
}

fn accepts_option(command: Option<&str>, option: &str) -> bool {
    let options: &[&str] = match command {
        Some("submit") => &[
            "team",
            "kind",
            "key",
            "owner",
            "class",
            "deadline-ms",
            "idempotent",
            "hint-ms",
            "wait-ms",
            "file",
        ],
        Some("status") => &["team", "key", "owner", "wait-ms"],
        Some("cancel") => &["team", "key", "owner"],
        Some("apply") => &["parent", "wait"],
        Some("timeline") => &["job", "minion", "configuration"],
        _ => &[],
    };
    matches!(option, "entry" | "json") || options.contains(&option)
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, UsageError> {
    let addresses: Result<_, _> = text.split(',').map(SocketAddr::from_str).collect();
    addresses.map_err(|_| {
        format!(
            "invalid addresses '{text}'; allowed: addresses such as 127.0.0.1:7000,127.0.0.2:7000"
        )
        .into()
    })
}

fn parse_key(text: &str) -> Result<ClientKey, String> {
    let allowed = || format!("allowed: {KEY_ALLOWED}");
    is_client_key(text)
        .then(|| text.to_owned())
        .ok_or_else(allowed)
}

fn parse_class(text: &str) -> Result<Class, &'static str> {
    match text {
        "urgent" => Ok(Class::Urgent),
        "normal" => Ok(Class::Normal),
        "bulk" => Ok(Class::Bulk),
        _ => Err("allowed: urgent, normal, bulk"),
    }
}

fn parse_job_id(text: &str) -> Result<JobId, &'static str> {
    JobId::from_str_radix(text, 16)
        .map_err(|_| "allowed: the hexadecimal job ID that submit prints")
}

fn parse_milliseconds(parser: &mut Parser) -> Result<Duration, UsageError> {
    Ok(Duration::from_millis(parser.value()?.parse()?))
}
