//! Parsing and routing of HTTP API requests, on the threads of the HTTP server.

use std::sync::Arc;
use std::time::Duration;

use knapweedrill::api::{
    ApiCall, ErrorResponse, ExpectedParent, JobRequest, JobResponse, MinionRequest, OWNER_HEADER,
    OwnerResponse,
};
use knapweedrill::contract::OwnerToken;
use knapweedrill::entry::CallerRequest;
use knapweedrill::message::Role;
use serde::de::DeserializeOwned;

use super::PublishedState;
use super::job_responder::job_http_response;
use crate::http::{HttpRequest, HttpResponse, Responder};
use crate::telemetry::Metrics;

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const UNAVAILABLE: u16 = 503;

/// An HTTP API request that is handled by the control thread.
#[derive(Debug)]
pub enum ControlRequest {
    /// Submits, queries or cancels a job.
    Job {
        /// The validated request.
        request: CallerRequest,
        /// Sends the HTTP response.
        responder: Responder,
    },
    /// Applies a configuration.
    Apply {
        /// The configuration as INI text.
        body: String,
        /// The version that the new configuration is expected to replace.
        parent: ExpectedParent,
        /// The longest time to wait until the configuration is in force at all processes; zero to
        /// respond as soon as it is accepted.
        wait: Duration,
        /// Sends the HTTP response.
        responder: Responder,
    },
    /// Returns the current configuration.
    Configuration {
        /// Sends the HTTP response.
        responder: Responder,
    },
    /// Returns the state of the system.
    Show {
        /// Sends the HTTP response.
        responder: Responder,
    },
    /// Returns the events in the timeline of the process.
    Events {
        /// Sends the HTTP response.
        responder: Responder,
    },
    /// Starts a graceful shutdown.
    Drain {
        /// Sends the HTTP response.
        responder: Responder,
    },
    /// Registers the minion of a sidecar or updates its state.
    Minion {
        /// The minion's announcement.
        request: MinionRequest,
        /// Sends the HTTP response.
        responder: Responder,
    },
}

/// Parses HTTP API requests, responds to those that need no control state and passes on the others.
#[derive(Debug, Clone)]
pub struct ApiRouter {
    role: Role,
    published: Arc<PublishedState>,
    metrics: Arc<Metrics>,
}

impl ApiRouter {
    /// Creates the router of a process; `role` selects the API calls that it serves.
    pub fn new(role: Role, published: Arc<PublishedState>, metrics: Arc<Metrics>) -> Self {
        Self {
            role,
            published,
            metrics,
        }
    }

    /// Responds to a request, or returns it if the control thread has to handle it.
    pub fn route(&self, request: HttpRequest) -> Option<ControlRequest> {
        let call = match ApiCall::parse(request.method.as_str(), &request.url) {
            Ok(call) => call,
            Err(error) => {
                respond_error(request.responder, error.http_status(), error.to_string());
                return None;
            }
        };
        if !self.serves(&call) {
            let message = format!(
                "a process with the role {:?} does not serve {}",
                self.role, request.url
            );
            respond_error(request.responder, NOT_FOUND, message);
            return None;
        }
        self.route_call(call, request)
    }

    fn serves(&self, call: &ApiCall) -> bool {
        match call {
            ApiCall::Minion => self.role == Role::Sidecar,
            ApiCall::Owner | ApiCall::Apply { .. } => self.role == Role::Entry,
            call if call.is_about_job() => self.role == Role::Entry,
            _ => true,
        }
    }

    fn route_call(&self, call: ApiCall, request: HttpRequest) -> Option<ControlRequest> {
        let responder = request.responder;
        match call {
            ApiCall::Owner => self.respond_token(responder),
            ApiCall::Ready => self.respond_readiness(responder),
            ApiCall::Metrics => {
                responder.respond(HttpResponse::json(OK, &self.metrics.snapshot()));
                None
            }
            ApiCall::Health => {
                responder.respond(HttpResponse::text(OK, "ok"));
                None
            }
            ApiCall::Submit { key } => {
                let token = self.parse_token(request.owner.as_deref());
                self.parse_submission(key, token, &request.body, responder)
            }
            ApiCall::Status { key, team, wait } => {
                let build = |token| CallerRequest::Status {
                    token,
                    team,
                    key,
                    wait,
                };
                self.parse_job_request(request.owner.as_deref(), responder, build)
            }
            ApiCall::Cancel { key, team } => {
                let build = |token| CallerRequest::Cancel { token, team, key };
                self.parse_job_request(request.owner.as_deref(), responder, build)
            }
            ApiCall::Apply { parent, wait } => match String::from_utf8(request.body) {
                Ok(body) => Some(ControlRequest::Apply {
                    body,
                    parent,
                    wait,
                    responder,
                }),
                Err(error) => {
                    let message = format!("the configuration is not valid UTF-8: {error}");
                    respond_error(responder, BAD_REQUEST, message);
                    None
                }
            },
            ApiCall::Configuration => Some(ControlRequest::Configuration { responder }),
            ApiCall::Show => Some(ControlRequest::Show { responder }),
            ApiCall::Events => Some(ControlRequest::Events { responder }),
            ApiCall::Drain => Some(ControlRequest::Drain { responder }),
            ApiCall::Minion => parse_minion_request(&request.body, responder),
        }
    }

    fn respond_token(&self, responder: Responder) -> Option<ControlRequest> {
        match self.published.token() {
            Some(token) => responder.respond(
                HttpResponse::json(OK, &OwnerResponse::new(token))
                    .with_header(OWNER_HEADER, token.to_string()),
            ),
            None => {
                let message = "the entry accepts no new jobs; use another entry";
                respond_error(responder, UNAVAILABLE, message);
            }
        }
        None
    }

    fn respond_readiness(&self, responder: Responder) -> Option<ControlRequest> {
        let response = if self.published.is_ready() {
            HttpResponse::text(OK, "ready")
        } else {
            HttpResponse::text(UNAVAILABLE, "not ready")
        };
        responder.respond(response);
        None
    }

    fn parse_token(&self, text: Option<&str>) -> OwnerTokenHeader {
        match text.map(str::parse) {
            None => OwnerTokenHeader::Missing,
            Some(Ok(token)) => OwnerTokenHeader::Token(token),
            Some(Err(error)) => OwnerTokenHeader::Malformed(format!("{error}")),
        }
    }

    fn parse_submission(
        &self,
        key: String,
        token: OwnerTokenHeader,
        body: &[u8],
        responder: Responder,
    ) -> Option<ControlRequest> {
        let token = match token {
            OwnerTokenHeader::Token(token) => token,
            // A job is identified by token and key, so without a token nothing can have run for it.
            OwnerTokenHeader::Missing => {
                return self.reject(responder, &JobResponse::token_needed());
            }
            OwnerTokenHeader::Malformed(message) => {
                return self.reject(responder, &JobResponse::invalid_submission(message));
            }
        };
        match from_json::<JobRequest>(body)
            .and_then(|job| job.into_caller_request(token, key).map_err(to_message))
        {
            Ok(request) => Some(ControlRequest::Job { request, responder }),
            // An earlier attempt with the same token and key may have run.
            Err(message) => self.reject(responder, &JobResponse::invalid_request(message)),
        }
    }

    fn reject(&self, responder: Responder, job_response: &JobResponse) -> Option<ControlRequest> {
        responder.respond(job_http_response(job_response, &self.published));
        None
    }

    fn parse_job_request(
        &self,
        owner: Option<&str>,
        responder: Responder,
        build: impl FnOnce(OwnerToken) -> CallerRequest,
    ) -> Option<ControlRequest> {
        let message = match self.parse_token(owner) {
            OwnerTokenHeader::Token(token) => {
                let request = build(token);
                return Some(ControlRequest::Job { request, responder });
            }
            OwnerTokenHeader::Missing => {
                format!("the header {OWNER_HEADER} is missing; use its value from the submission")
            }
            OwnerTokenHeader::Malformed(message) => message,
        };
        self.reject(responder, &JobResponse::invalid_request(message))
    }
}

/// The owner token in the header of a request.
enum OwnerTokenHeader {
    Missing,
    Token(OwnerToken),
    /// The header can't be parsed; contains the error message.
    Malformed(String),
}

fn parse_minion_request(body: &[u8], responder: Responder) -> Option<ControlRequest> {
    let request = from_json::<MinionRequest>(body)
        .and_then(|request| request.validate().map(|()| request).map_err(to_message));
    match request {
        Ok(request) => Some(ControlRequest::Minion { request, responder }),
        Err(message) => {
            respond_error(responder, BAD_REQUEST, message);
            None
        }
    }
}

fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| format!("the request body is not valid: {error}"))
}

fn to_message(error: impl ToString) -> String {
    error.to_string()
}

fn respond_error(responder: Responder, status: u16, message: impl Into<String>) {
    let body = ErrorResponse {
        message: message.into(),
    };
    responder.respond(HttpResponse::json(status, &body));
}
