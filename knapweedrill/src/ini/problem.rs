//! Problems of INI files.

use std::fmt;

use knapweedrill_derive::message;

/// A problem of an INI file, with its location.
#[message]
pub struct IniProblem {
    /// The line number, starting at 1; `None` if the section is missing.
    pub line: Option<usize>,
    /// The section, if the problem concerns one.
    pub section: Option<String>,
    /// The key, if the problem concerns one.
    pub key: Option<String>,
    /// The kind of the problem, with its details.
    pub kind: IniProblemKind,
}

/// The kind of a problem.
#[message]
#[derive(thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum IniProblemKind {
    /// The line is neither a section header, an entry, a comment nor blank.
    #[error("'{text}' is not valid syntax; allowed: [section], key = value, ; comment, # comment")]
    Malformed {
        /// The text of the line.
        text: String,
    },
    /// The key is defined before the first section header.
    #[error("the key is outside of any section; move it below a [section] line")]
    OutsideSection,
    /// The section is defined more than once.
    #[error("the section was given in line {first_line} already; give it once")]
    DuplicateSection {
        /// The line number of the first definition.
        first_line: usize,
    },
    /// The key is defined more than once in its section.
    #[error("the key was given in line {first_line} already; give it once")]
    DuplicateKey {
        /// The line number of the first definition.
        first_line: usize,
    },
    /// The value seems to contain a comment.
    #[error("'{text}' has a comment after the value; move the comment to a line of its own")]
    InlineComment {
        /// The value, including the comment.
        text: String,
    },
    /// The section does not exist in this file format.
    #[error("the section is unknown; allowed: {allowed}")]
    UnknownSection {
        /// The valid sections.
        allowed: String,
    },
    /// The key does not exist in this section.
    #[error("the key is unknown; allowed: {allowed}")]
    UnknownKey {
        /// The valid keys.
        allowed: String,
    },
    /// A required key is missing.
    #[error("the value is missing; allowed: {allowed}")]
    Missing {
        /// A description of the valid values.
        allowed: String,
    },
    /// The value is not valid.
    #[error("'{text}' is not valid; allowed: {allowed}")]
    InvalidValue {
        /// The rejected value.
        text: String,
        /// A description of the valid values.
        allowed: String,
    },
}

impl fmt::Display for IniProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if let Some(section) = &self.section {
            write!(f, "[{section}] ")?;
        }
        if let Some(key) = &self.key {
            write!(f, "{key}: ")?;
        }
        self.kind.fmt(f)
    }
}
