//! The calls of the HTTP interface.

use std::fmt;
use std::time::Duration;

use knapweedrill_derive::message;

use super::query::Query;
use super::{CallError, ExpectedParent, is_client_key};
use crate::common::{ClientKey, TeamName};

const OWNER_PATH: &str = "/v1/owner";
const JOBS_PATH: &str = "/v1/jobs/";
const CONFIGURATION_PATH: &str = "/v1/configuration";
const SHOW_PATH: &str = "/v1/show";
const EVENTS_PATH: &str = "/v1/events";
const DRAIN_PATH: &str = "/v1/drain";
const MINION_PATH: &str = "/v1/minion";
const METRICS_PATH: &str = "/v1/metrics";
const HEALTH_PATH: &str = "/healthz";
const READY_PATH: &str = "/readyz";

const PATHS_ALLOWED: &str = "/v1/owner, /v1/jobs/KEY, /v1/configuration, /v1/show, /v1/events, \
                             /v1/drain, /v1/minion, /v1/metrics, /healthz, /readyz";

/// A call of the HTTP interface with the parameters from its path and query.
///
/// # Examples
///
/// ```
/// use knapweedrill::api::{ApiCall, Method};
///
/// let call = ApiCall::parse("GET", "/v1/jobs/order-7?team=tin-a&wait_ms=500").unwrap();
/// assert!(matches!(&call, ApiCall::Status { key, .. } if key == "order-7"));
/// assert_eq!(call.method(), Method::Get);
/// assert_eq!(call.url(), "/v1/jobs/order-7?team=tin-a&wait_ms=500");
/// ```
#[message]
pub enum ApiCall {
    /// `GET /v1/owner`: returns an owner token.
    Owner,
    /// `POST /v1/jobs/KEY`: submits a job; the body is a [`super::JobRequest`].
    Submit {
        /// The key of the job.
        key: ClientKey,
    },
    /// `GET /v1/jobs/KEY?team=TEAM&wait_ms=N`: returns the outcome of a job.
    Status {
        /// The key of the job.
        key: ClientKey,
        /// The team that the job belongs to.
        team: TeamName,
        /// How long the call waits for the outcome.
        wait: Duration,
    },
    /// `DELETE /v1/jobs/KEY?team=TEAM`: cancels a job.
    Cancel {
        /// The key of the job.
        key: ClientKey,
        /// The team that the job belongs to.
        team: TeamName,
    },
    /// `POST /v1/configuration?parent=PARENT&wait_ms=N`: applies the file in the body.
    Apply {
        /// The configuration that the file is expected to replace.
        parent: ExpectedParent,
        /// How long the call waits for the file to be in force at all processes.
        wait: Duration,
    },
    /// `GET /v1/configuration`: returns the configuration in force.
    Configuration,
    /// `GET /v1/show`: returns the state of the system as the process sees it.
    Show,
    /// `GET /v1/events`: returns the events that the process retains.
    Events,
    /// `POST /v1/drain`: begins a graceful shutdown of the process.
    Drain,
    /// `POST /v1/minion`: registers a minion with its sidecar; the body is a
    /// [`super::MinionRequest`].
    Minion,
    /// `GET /v1/metrics`: returns the counters, gauges and timers of the process.
    Metrics,
    /// `GET /healthz`: liveness check of the process.
    Health,
    /// `GET /readyz`: readiness check, whether the process accepts callers' requests.
    Ready,
}

/// An HTTP method.
#[message]
#[derive(Copy)]
pub enum Method {
    /// Reads without side effects.
    Get,
    /// Submits a job, applies a configuration or triggers an operation.
    Post,
    /// Cancels a job.
    Delete,
}

impl Method {
    /// Returns the method as the request line spells it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Delete => "DELETE",
        }
    }
}

impl fmt::Display for Method {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl ApiCall {
    /// Parses a method and a path with its query.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid part and the values that are allowed.
    pub fn parse(method: &str, url: &str) -> Result<Self, CallError> {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        if let Some(key) = path.strip_prefix(JOBS_PATH) {
            return Self::parse_job(method, path, key, query);
        }
        if path == CONFIGURATION_PATH {
            return Self::parse_configuration(method, query);
        }
        let call = match path {
            OWNER_PATH => Self::Owner,
            SHOW_PATH => Self::Show,
            EVENTS_PATH => Self::Events,
            DRAIN_PATH => Self::Drain,
            MINION_PATH => Self::Minion,
            METRICS_PATH => Self::Metrics,
            HEALTH_PATH => Self::Health,
            READY_PATH => Self::Ready,
            _ => {
                return Err(CallError::Path {
                    path: path.to_owned(),
                    allowed: PATHS_ALLOWED,
                });
            }
        };
        if call.method().as_str() != method {
            return Err(method_error(path, method, call.method().as_str()));
        }
        Query::parse(query, &[])?;
        Ok(call)
    }

    /// Returns the method of the call.
    pub fn method(&self) -> Method {
        match self {
            Self::Owner
            | Self::Status { .. }
            | Self::Configuration
            | Self::Show
            | Self::Events
            | Self::Metrics
            | Self::Health
            | Self::Ready => Method::Get,
            Self::Submit { .. } | Self::Apply { .. } | Self::Drain | Self::Minion => Method::Post,
            Self::Cancel { .. } => Method::Delete,
        }
    }

    /// Returns the path of the call with its query.
    pub fn url(&self) -> String {
        match self {
            Self::Owner => OWNER_PATH.to_owned(),
            Self::Submit { key } => format!("{JOBS_PATH}{key}"),
            Self::Status { key, team, wait } => {
                format!("{JOBS_PATH}{key}?team={team}&wait_ms={}", wait.as_millis())
            }
            Self::Cancel { key, team } => format!("{JOBS_PATH}{key}?team={team}"),
            Self::Apply { parent, wait } => {
                format!(
                    "{CONFIGURATION_PATH}?parent={parent}&wait_ms={}",
                    wait.as_millis()
                )
            }
            Self::Configuration => CONFIGURATION_PATH.to_owned(),
            Self::Show => SHOW_PATH.to_owned(),
            Self::Events => EVENTS_PATH.to_owned(),
            Self::Drain => DRAIN_PATH.to_owned(),
            Self::Minion => MINION_PATH.to_owned(),
            Self::Metrics => METRICS_PATH.to_owned(),
            Self::Health => HEALTH_PATH.to_owned(),
            Self::Ready => READY_PATH.to_owned(),
        }
    }

    /// Returns whether the call concerns a job, so that its response is a [`super::JobResponse`].
    pub fn is_about_job(&self) -> bool {
        matches!(
            self,
            Self::Submit { .. } | Self::Status { .. } | Self::Cancel { .. }
        )
    }

    fn parse_job(method: &str, path: &str, key: &str, query: &str) -> Result<Self, CallError> {
        if !is_client_key(key) {
            return Err(CallError::Key {
                key: key.chars().take(super::KEY_LENGTH_MAX).collect(),
            });
        }
        let key = key.to_owned();
        match method {
            "POST" => {
                Query::parse(query, &[])?;
                Ok(Self::Submit { key })
            }
            "GET" => {
                let query = Query::parse(query, &["team", "wait_ms"])?;
                Ok(Self::Status {
                    key,
                    team: query.team()?,
                    wait: query.wait()?,
                })
            }
            "DELETE" => {
                let team = Query::parse(query, &["team"])?.team()?;
                Ok(Self::Cancel { key, team })
            }
            _ => Err(method_error(path, method, "GET, POST, DELETE")),
        }
    }

    fn parse_configuration(method: &str, query: &str) -> Result<Self, CallError> {
        match method {
            "GET" => {
                Query::parse(query, &[])?;
                Ok(Self::Configuration)
            }
            "POST" => {
                let query = Query::parse(query, &["parent", "wait_ms"])?;
                Ok(Self::Apply {
                    parent: query.parent()?,
                    wait: query.wait()?,
                })
            }
            _ => Err(method_error(CONFIGURATION_PATH, method, "GET, POST")),
        }
    }
}

fn method_error(path: &str, method: &str, allowed: &'static str) -> CallError {
    CallError::Method {
        path: path.to_owned(),
        method: method.to_owned(),
        allowed,
    }
}
