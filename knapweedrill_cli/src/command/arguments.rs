//! The arguments of the tool.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use knapweedrill::api::{KEY_ALLOWED, Parent, WAIT_DEFAULT, is_client_key};
use knapweedrill::common::{ClientKey, JobId, TeamName};
use knapweedrill::contract::{Class, OwnerToken};
use knapweedrill::job::{JobSpec, TaskSpec};
use lexopt::{Arg, Parser, ValueExt};

use super::TimelineFilter;

/// What is wrong with the arguments.
pub type UsageError = lexopt::Error;

const ENTRY_DEFAULT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7_000);

/// The arguments of the tool.
#[derive(Debug, Clone, PartialEq)]
pub struct Arguments {
    /// The HTTP addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Whether the tool writes JSON.
    pub is_json: bool,
    /// What to do.
    pub action: Action,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Print the help text.
    Help,
    /// Print the version of the program.
    Version,
    /// Submit the job of the arguments.
    Submit {
        /// The job.
        spec: JobSpec,
        /// The key, or `None` for a random one.
        key: Option<ClientKey>,
        /// The token of an earlier try.
        token: Option<OwnerToken>,
        /// How long to wait for the outcome.
        wait: Duration,
    },
    /// Submit the job of a file.
    SubmitFile {
        /// The file.
        file: PathBuf,
        /// The key, or `None` for a random one.
        key: Option<ClientKey>,
        /// The token of an earlier try.
        token: Option<OwnerToken>,
    },
    /// Ask for the outcome of a job.
    Status {
        /// The job.
        job: JobName,
        /// How long to wait for the outcome.
        wait: Duration,
    },
    /// Cancel a job.
    Cancel {
        /// The job.
        job: JobName,
    },
    /// Tell the story of a job from logs.
    Explain {
        /// The job, as 16 hexadecimal digits.
        job: String,
        /// The file with the logs, or `None` for standard input.
        file: Option<PathBuf>,
    },
    /// Check a configuration file.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Apply a configuration file.
    Apply {
        /// The file.
        file: PathBuf,
        /// The configuration that it replaces.
        parent: Parent,
        /// Whether to wait until it is in force everywhere.
        is_waiting: bool,
    },
    /// Show the state of the system.
    Show,
    /// Stop a process as planned.
    Drain {
        /// The HTTP address of the process.
        process: SocketAddr,
    },
    /// Show the events of all processes.
    Timeline {
        /// Which events.
        filter: TimelineFilter,
    },
}

/// What names a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobName {
    /// The team.
    pub team: TeamName,
    /// The key.
    pub key: ClientKey,
    /// The token that names the owner.
    pub token: OwnerToken,
}

/// All options of all commands, before they are put together.
#[derive(Debug, Default)]
struct Options {
    entries: Option<Vec<SocketAddr>>,
    is_json: bool,
    values: Vec<OsString>,
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
    parent: Option<Parent>,
    is_waiting: bool,
    filter: TimelineFilter,
}

impl Arguments {
    /// Reads the arguments, without the name of the program.
    ///
    /// # Errors
    ///
    /// Returns an error that says what is wrong.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Self, UsageError> {
        let mut parser = Parser::from_args(arguments);
        let mut options = Options::default();
        let mut command = None;
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long("help") | Arg::Short('h') => return Ok(Self::bare(Action::Help)),
                Arg::Long("version") => return Ok(Self::bare(Action::Version)),
                Arg::Value(value) if command.is_none() => command = Some(value.string()?),
                Arg::Value(value) => options.values.push(value),
                Arg::Long(name) => {
                    let name = name.to_owned();
                    options.read(command.as_deref(), &name, &mut parser)?;
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

    fn bare(action: Action) -> Self {
        Self {
            entries: vec![ENTRY_DEFAULT],
            is_json: false,
            action,
        }
    }
}

impl Options {
    fn read(
        &mut self,
        command: Option<&str>,
        name: &str,
        parser: &mut Parser,
    ) -> Result<(), UsageError> {
        if !is_allowed(command, name) {
            return Err(format!("the option --{name} does not belong here").into());
        }
        match name {
            "entry" => self.entries = Some(addresses(&parser.value()?.string()?)?),
            "json" => self.is_json = true,
            "team" => self.team = Some(parser.value()?.string()?),
            "kind" => self.kind = Some(parser.value()?.string()?),
            "key" => self.key = Some(parser.value()?.parse_with(key)?),
            "owner" => self.token = Some(parser.value()?.parse()?),
            "class" => self.class = Some(parser.value()?.parse_with(class)?),
            "deadline-ms" => self.deadline = Some(milliseconds(parser)?),
            "idempotent" => self.idempotent = Some(parser.value()?.parse()?),
            "hint-ms" => self.hint = Some(milliseconds(parser)?),
            "wait-ms" => self.wait = Some(milliseconds(parser)?),
            "file" => self.file = Some(parser.value()?.into()),
            "parent" => self.parent = Some(parser.value()?.parse()?),
            "wait" => self.is_waiting = true,
            "job" => self.filter = TimelineFilter::Job(parser.value()?.parse_with(job_id)?),
            "minion" => self.filter = TimelineFilter::Minion(parser.value()?.string()?),
            _ => self.filter = TimelineFilter::Configuration,
        }
        Ok(())
    }

    fn into_action(mut self, command: Option<String>) -> Result<Action, UsageError> {
        let command = command.ok_or("no command is given")?;
        let action = match command.as_str() {
            "submit" => return self.into_submission(),
            "status" => Action::Status {
                wait: self.wait.unwrap_or_default(),
                job: self.job_name()?,
            },
            "cancel" => Action::Cancel {
                job: self.job_name()?,
            },
            "explain" => Action::Explain {
                job: self.value("ID")?.string()?,
                file: self.optional_value().map(PathBuf::from),
            },
            "check" => Action::Check {
                file: self.value("FILE")?.into(),
            },
            "apply" => Action::Apply {
                file: self.value("FILE")?.into(),
                parent: self.parent.unwrap_or_default(),
                is_waiting: self.is_waiting,
            },
            "show" => Action::Show,
            "drain" => Action::Drain {
                process: self.value("PROCESS")?.parse()?,
            },
            "timeline" => Action::Timeline {
                filter: self.filter.clone(),
            },
            _ => return Err(format!("there is no command '{command}'").into()),
        };
        match self.values.first() {
            Some(value) => Err(UsageError::UnexpectedArgument(value.clone())),
            None => Ok(action),
        }
    }

    fn into_submission(self) -> Result<Action, UsageError> {
        if let Some(file) = self.file {
            if !self.values.is_empty() || self.team.is_some() || self.kind.is_some() {
                return Err(
                    "--file brings the whole job; leave out --team, --kind, PAYLOAD".into(),
                );
            }
            return Ok(Action::SubmitFile {
                file,
                key: self.key,
                token: self.token,
            });
        }
        if self.values.is_empty() {
            return Err("a job needs a PAYLOAD or more".into());
        }
        let hint = self.hint;
        let tasks = self.values.into_iter().map(|value| {
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

    fn job_name(&mut self) -> Result<JobName, UsageError> {
        Ok(JobName {
            team: self.team.take().ok_or("--team is missing")?,
            key: self.key.take().ok_or("--key is missing")?,
            token: self.token.ok_or("--owner is missing")?,
        })
    }

    fn value(&mut self, name: &str) -> Result<OsString, UsageError> {
        if self.values.is_empty() {
            return Err(format!("{name} is missing").into());
        }
        Ok(self.values.remove(0))
    }

    fn optional_value(&mut self) -> Option<OsString> {
        (!self.values.is_empty()).then(|| self.values.remove(0))
    }
}

fn is_allowed(command: Option<&str>, option: &str) -> bool {
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

fn addresses(text: &str) -> Result<Vec<SocketAddr>, UsageError> {
    let addresses: Result<_, _> = text.split(',').map(SocketAddr::from_str).collect();
    addresses.map_err(|_| {
        format!("'{text}' is not valid; allowed: addresses such as 127.0.0.1:7000,127.0.0.2:7000")
            .into()
    })
}

fn key(text: &str) -> Result<ClientKey, String> {
    let allowed = || format!("allowed: {KEY_ALLOWED}");
    is_client_key(text)
        .then(|| text.to_owned())
        .ok_or_else(allowed)
}

fn class(text: &str) -> Result<Class, &'static str> {
    match text {
        "urgent" => Ok(Class::Urgent),
        "normal" => Ok(Class::Normal),
        "bulk" => Ok(Class::Bulk),
        _ => Err("allowed: urgent, normal, bulk"),
    }
}

fn job_id(text: &str) -> Result<JobId, &'static str> {
    JobId::from_str_radix(text, 16).map_err(|_| "allowed: the hexadecimal id that submit prints")
}

fn milliseconds(parser: &mut Parser) -> Result<Duration, UsageError> {
    Ok(Duration::from_millis(parser.value()?.parse()?))
}
