//! The query of a call.

use std::time::Duration;

use super::{CallError, Parent, WAIT_MAX};
use crate::common::TeamName;
use crate::ini::{NAME_ALLOWED, is_name};

/// The parts of a query.
#[derive(Debug, Default)]
pub(super) struct Query<'a> {
    team: Option<&'a str>,
    wait_ms: Option<&'a str>,
    parent: Option<&'a str>,
}

impl<'a> Query<'a> {
    /// Reads the text behind the question mark; only the parts in `known` are allowed.
    pub(super) fn parse(text: &'a str, known: &'static [&'static str]) -> Result<Self, CallError> {
        let mut query = Self::default();
        for part in text.split('&').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            query.add(name, value, known)?;
        }
        Ok(query)
    }

    fn add(&mut self, name: &str, value: &'a str, known: &[&str]) -> Result<(), CallError> {
        let slot = match name {
            "team" => &mut self.team,
            "wait_ms" => &mut self.wait_ms,
            "parent" => &mut self.parent,
            _ => {
                return Err(error(
                    name,
                    "team, wait_ms and parent, where the call has them",
                ));
            }
        };
        if !known.contains(&name) {
            return Err(error(name, "a part that this call has"));
        }
        if slot.replace(value).is_some() {
            return Err(error(name, "each part once"));
        }
        Ok(())
    }

    pub(super) fn team(&self) -> Result<TeamName, CallError> {
        match self.team {
            Some(team) if is_name(team) => Ok(team.to_owned()),
            _ => Err(error("team", NAME_ALLOWED)),
        }
    }

    pub(super) fn wait(&self) -> Result<Duration, CallError> {
        let Some(text) = self.wait_ms else {
            return Ok(Duration::ZERO);
        };
        let wait_ms = text
            .parse()
            .map_err(|_| error("wait_ms", "a whole number of milliseconds"))?;
        Ok(Duration::from_millis(wait_ms).min(WAIT_MAX))
    }

    pub(super) fn parent(&self) -> Result<Parent, CallError> {
        let Some(text) = self.parent else {
            return Ok(Parent::Current);
        };
        text.parse()
            .map_err(|_| error("parent", "the number of a version, none, current"))
    }
}

fn error(name: &str, allowed: &'static str) -> CallError {
    CallError::Query {
        name: name.to_owned(),
        allowed,
    }
}
