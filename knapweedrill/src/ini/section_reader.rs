//! Reader of a single section.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use super::values::{self, ADDRESS_ALLOWED, NAME_ALLOWED};
use super::{IniEntry, IniProblem, IniProblemKind, IniSection};

/// Reads the values of a section by key and records all problems.
///
/// A method that returns `None` for a required value has recorded a problem.
#[derive(Debug)]
pub struct SectionReader<'a> {
    name: String,
    section: Option<&'a IniSection>,
    known_keys: Vec<&'static str>,
    problems: &'a mut Vec<IniProblem>,
}

impl<'a> SectionReader<'a> {
    pub(super) fn new(
        name: String,
        section: Option<&'a IniSection>,
        problems: &'a mut Vec<IniProblem>,
    ) -> Self {
        Self {
            name,
            section,
            known_keys: Vec::new(),
            problems,
        }
    }

    /// Returns a required value.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.entry(key).is_none() {
            self.add_problem(
                key,
                IniProblemKind::Missing {
                    allowed: allowed.to_owned(),
                },
            );
        }
        self.optional(key, allowed, parse)
    }

    /// Returns an optional value. An invalid value is recorded as a problem.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.known_keys.push(key);
        let text = self.entry(key)?.value.as_str();
        let value = parse(text);
        if value.is_none() {
            let kind = IniProblemKind::InvalidValue {
                text: text.to_owned(),
                allowed: allowed.to_owned(),
            };
            self.add_problem(key, kind);
        }
        value
    }

    /// Returns a required name.
    pub fn name(&mut self, key: &'static str) -> Option<String> {
        self.required(key, NAME_ALLOWED, |text| {
            values::is_name(text).then(|| text.to_owned())
        })
    }

    /// Returns a required socket address.
    pub fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.required(key, ADDRESS_ALLOWED, values::address)
    }

    /// Returns an optional socket address.
    pub fn optional_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.optional(key, ADDRESS_ALLOWED, values::address)
    }

    /// Returns a required list of socket addresses, separated by commas.
    pub fn addresses(&mut self, key: &'static str) -> Option<Vec<SocketAddr>> {
        let allowed = format!("one or more, separated by commas, of: {ADDRESS_ALLOWED}");
        self.required(key, &allowed, |text| {
            text.split(',')
                .map(str::trim)
                .map(values::address)
                .collect()
        })
    }

    /// Returns an integer, or `default` if the key is absent or its value invalid.
    pub fn number_or(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let allowed = number_allowed(&range);
        let value = self.optional(key, &allowed, |text| values::number(text, &range));
        value.unwrap_or(default)
    }

    /// Returns a required integer.
    pub fn number(&mut self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        self.required(key, &number_allowed(&range), |text| {
            values::number(text, &range)
        })
    }

    /// Returns a 32-bit integer, or `default` if the key is absent or its value invalid.
    pub fn number_u32_or(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
    ) -> u32 {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        let value = self.number_or(key, range, u64::from(default));
        u32::try_from(value).unwrap_or(default)
    }

    /// Returns a duration given in milliseconds, or `default` if the key is absent or its value
    /// invalid.
    pub fn milliseconds_or(
        &mut self,
        key: &'static str,
        range_ms: RangeInclusive<u64>,
        default: Duration,
    ) -> Duration {
        let allowed = milliseconds_allowed(&range_ms);
        let value_ms = self.optional(key, &allowed, |text| values::number(text, &range_ms));
        value_ms.map_or(default, Duration::from_millis)
    }

    /// Returns a required duration given in milliseconds.
    pub fn milliseconds(
        &mut self,
        key: &'static str,
        range_ms: RangeInclusive<u64>,
    ) -> Option<Duration> {
        let allowed = milliseconds_allowed(&range_ms);
        let value_ms = self.required(key, &allowed, |text| values::number(text, &range_ms));
        value_ms.map(Duration::from_millis)
    }

    /// Returns a required value out of a fixed set.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)]) -> Option<T> {
        self.required(key, &values::choices_allowed(choices), |text| {
            values::choice(text, choices)
        })
    }

    /// Returns a value out of a fixed set, or `default` if the key is absent or its value invalid.
    pub fn choice_or<T: Copy>(
        &mut self,
        key: &'static str,
        choices: &[(&str, T)],
        default: T,
    ) -> T {
        self.optional(key, &values::choices_allowed(choices), |text| {
            values::choice(text, choices)
        })
        .unwrap_or(default)
    }

    /// Records a problem if the duration of `key` is less than that of `other_key`.
    pub fn require_at_least(
        &mut self,
        key: &'static str,
        value: Duration,
        other_key: &str,
        other: Duration,
    ) {
        if value < other {
            let kind = IniProblemKind::InvalidValue {
                text: value.as_millis().to_string(),
                allowed: format!("not less than {other_key}, which is {}", other.as_millis()),
            };
            self.add_problem(key, kind);
        }
    }

    /// Records a problem with a key of this section.
    pub fn add_problem(&mut self, key: &'static str, kind: IniProblemKind) {
        let line = self
            .entry(key)
            .map(|entry| entry.line)
            .or(self.section.map(|section| section.line));
        self.problems.push(IniProblem {
            line,
            section: Some(self.name.clone()),
            key: Some(key.to_owned()),
            kind,
        });
    }

    /// Records a problem for each key of the section that was not read.
    pub fn finish(self) {
        let Some(section) = self.section else {
            return;
        };
        for entry in &section.entries {
            if !self.known_keys.contains(&entry.key.as_str()) {
                self.problems.push(IniProblem {
                    line: Some(entry.line),
                    section: Some(self.name.clone()),
                    key: Some(entry.key.clone()),
                    kind: IniProblemKind::UnknownKey {
                        allowed: self.known_keys.join(", "),
                    },
                });
            }
        }
    }

    fn entry(&self, key: &str) -> Option<&'a IniEntry> {
        self.section?.entry(key)
    }
}

fn number_allowed(range: &RangeInclusive<u64>) -> String {
    format!("a whole number from {} to {}", range.start(), range.end())
}

fn milliseconds_allowed(range_ms: &RangeInclusive<u64>) -> String {
    format!(
        "a whole number of milliseconds from {} to {}, without a unit",
        range_ms.start(),
        range_ms.end()
    )
}
