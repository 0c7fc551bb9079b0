//! Calls of the HTTP interface, read on the threads that took them in.

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

use super::Published;
use super::replies::job_reply;
use crate::http::{HttpRequest, HttpResponse, Responder};
use crate::telemetry::Metrics;

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const UNAVAILABLE: u16 = 503;

/// A call that the control thread deals with.
#[derive(Debug)]
pub enum HttpCall {
    /// A request about a job.
    Job {
        /// The request.
        request: CallerRequest,
        /// Takes the answer.
        responder: Responder,
    },
    /// Apply a configuration.
    Apply {
        /// The file.
        body: String,
        /// The configuration that it replaces.
        parent: ExpectedParent,
        /// How long the caller waits until it is in force everywhere.
        wait: Duration,
        /// Takes the answer.
        responder: Responder,
    },
    /// Tell the configuration in force.
    Configuration {
        /// Takes the answer.
        responder: Responder,
    },
    /// Tell the state of the system.
    Show {
        /// Takes the answer.
        responder: Responder,
    },
    /// Tell the events that the process remembers.
    Events {
        /// Takes the answer.
        responder: Responder,
    },
    /// Begin a planned stop.
    Drain {
        /// Takes the answer.
        responder: Responder,
    },
    /// A minion announces itself.
    Minion {
        /// What it says.
        notice: MinionRequest,
        /// Takes the answer.
        responder: Responder,
    },
}

/// Reads calls of the HTTP interface and answers what needs no control state.
#[derive(Debug, Clone)]
pub struct ApiGate {
    role: Role,
    published: Arc<Published>,
    metrics: Arc<Metrics>,
}

impl ApiGate {
    /// Creates the gate of a process of that role.
    pub fn new(role: Role, published: Arc<Published>, metrics: Arc<Metrics>) -> Self {
        Self {
            role,
            published,
            metrics,
        }
    }

    /// Reads a call, and returns it if the control thread is to deal with it.
    pub fn read(&self, request: HttpRequest) -> Option<HttpCall> {
        let call = match ApiCall::parse(request.method.as_str(), &request.url) {
            Ok(call) => call,
            Err(error) => {
                respond_error(request.responder, error.http_status(), error.to_string());
                return None;
            }
        };
        if !self.serves(&call) {
            let message = format!("a {:?} does not serve {}", self.role, request.url);
            respond_error(request.responder, NOT_FOUND, message);
            return None;
        }
        self.read_call(call, request)
    }

    fn serves(&self, call: &ApiCall) -> bool {
        match call {
            ApiCall::Minion => self.role == Role::Sidecar,
            ApiCall::Owner | ApiCall::Apply { .. } => self.role == Role::Entry,
            call if call.is_about_job() => self.role == Role::Entry,
            _ => true,
        }
    }

    fn read_call(&self, call: ApiCall, request: HttpRequest) -> Option<HttpCall> {
        let responder = request.responder;
        match call {
            ApiCall::Owner => self.hand_out_token(responder),
            ApiCall::Ready => self.tell_ready(responder),
            ApiCall::Metrics => {
                responder.respond(HttpResponse::json(OK, &self.metrics.snapshot()));
                None
            }
            ApiCall::Health => {
                responder.respond(HttpResponse::text(OK, "ok"));
                None
            }
            ApiCall::Submit { key } => {
                let token = self.token(request.owner.as_deref());
                self.read_submission(key, token, &request.body, responder)
            }
            ApiCall::Status { key, team, wait } => {
                let make = |token| CallerRequest::Status {
                    token,
                    team,
                    key,
                    wait,
                };
                self.read_question(request.owner.as_deref(), responder, make)
            }
            ApiCall::Cancel { key, team } => {
                let make = |token| CallerRequest::Cancel { token, team, key };
                self.read_question(request.owner.as_deref(), responder, make)
            }
            ApiCall::Apply { parent, wait } => match String::from_utf8(request.body) {
                Ok(body) => Some(HttpCall::Apply {
                    body,
                    parent,
                    wait,
                    responder,
                }),
                Err(error) => {
                    let message = format!("the configuration is not UTF-8 text: {error}");
                    respond_error(responder, BAD_REQUEST, message);
                    None
                }
            },
            ApiCall::Configuration => Some(HttpCall::Configuration { responder }),
            ApiCall::Show => Some(HttpCall::Show { responder }),
            ApiCall::Events => Some(HttpCall::Events { responder }),
            ApiCall::Drain => Some(HttpCall::Drain { responder }),
            ApiCall::Minion => read_minion(&request.body, responder),
        }
    }

    fn hand_out_token(&self, responder: Responder) -> Option<HttpCall> {
        match self.published.token() {
            Some(token) => responder.respond(
                HttpResponse::json(OK, &OwnerResponse::new(token))
                    .with_header(OWNER_HEADER, token.to_string()),
            ),
            None => {
                let message = "the entry takes no new jobs; ask another entry";
                respond_error(responder, UNAVAILABLE, message);
            }
        }
        None
    }

    fn tell_ready(&self, responder: Responder) -> Option<HttpCall> {
        let reply = if self.published.is_ready() {
            HttpResponse::text(OK, "ready")
        } else {
            HttpResponse::text(UNAVAILABLE, "not ready")
        };
        responder.respond(reply);
        None
    }

    fn token(&self, text: Option<&str>) -> TokenGiven {
        match text.map(str::parse) {
            None => TokenGiven::Missing,
            Some(Ok(token)) => TokenGiven::Token(token),
            Some(Err(error)) => TokenGiven::Malformed(format!("{error}")),
        }
    }

    fn read_submission(
        &self,
        key: String,
        token: TokenGiven,
        body: &[u8],
        responder: Responder,
    ) -> Option<HttpCall> {
        let token = match token {
            TokenGiven::Token(token) => token,
            // Without a token the request names no job, so nothing can have run for it.
            TokenGiven::Missing => return self.refuse(responder, &JobResponse::token_needed()),
            TokenGiven::Malformed(message) => {
                return self.refuse(responder, &JobResponse::invalid_submission(message));
            }
        };
        match from_json::<JobRequest>(body)
            .and_then(|job| job.into_caller_request(token, key).map_err(to_text))
        {
            Ok(request) => Some(HttpCall::Job { request, responder }),
            // An earlier try under the same token and key may have run.
            Err(message) => self.refuse(responder, &JobResponse::invalid_request(message)),
        }
    }

    fn refuse(&self, responder: Responder, answer: &JobResponse) -> Option<HttpCall> {
        responder.respond(job_reply(answer, &self.published));
        None
    }

    fn read_question(
        &self,
        owner: Option<&str>,
        responder: Responder,
        make: impl FnOnce(OwnerToken) -> CallerRequest,
    ) -> Option<HttpCall> {
        let message = match self.token(owner) {
            TokenGiven::Token(token) => {
                let request = make(token);
                return Some(HttpCall::Job { request, responder });
            }
            TokenGiven::Missing => {
                format!("the header {OWNER_HEADER} is missing; repeat that of the submission")
            }
            TokenGiven::Malformed(message) => message,
        };
        self.refuse(responder, &JobResponse::invalid_request(message))
    }
}

/// What a request says about the owner of its job.
enum TokenGiven {
    Missing,
    Token(OwnerToken),
    Malformed(String),
}

fn read_minion(body: &[u8], responder: Responder) -> Option<HttpCall> {
    let notice = from_json::<MinionRequest>(body)
        .and_then(|notice| notice.validate().map(|()| notice).map_err(to_text));
    match notice {
        Ok(notice) => Some(HttpCall::Minion { notice, responder }),
        Err(message) => {
            respond_error(responder, BAD_REQUEST, message);
            None
        }
    }
}

fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| format!("the body is not as expected: {error}"))
}

fn to_text(error: impl ToString) -> String {
    error.to_string()
}

fn respond_error(responder: Responder, status: u16, message: impl Into<String>) {
    let answer = ErrorResponse {
        message: message.into(),
    };
    responder.respond(HttpResponse::json(status, &answer));
}
