//! What is wrong with an INI file.

use std::fmt;

use knapweedrill_derive::message;

/// A problem of an INI file, with its place.
#[message]
pub struct IniProblem {
    /// The line, counted from 1; `None` if something is missing altogether.
    pub line: Option<usize>,
    /// The section, if the problem lies in one.
    pub section: Option<String>,
    /// The key, if the problem concerns one.
    pub key: Option<String>,
    /// What is wrong.
    pub kind: IniProblemKind,
}

/// What is wrong.
#[message]
#[derive(thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum IniProblemKind {
    /// The line is neither a section, a key with its value, a comment nor blank.
    #[error("'{text}' is not understood; allowed: [section], key = value, ; comment, # comment")]
    Malformed {
        /// The line.
        text: String,
    },
    /// A key stands before the first section.
    #[error("the key stands before the first [section]; move it into one")]
    OutsideSection,
    /// The section stands a second time.
    #[error("the section was given in line {first_line} already; give it once")]
    DuplicateSection {
        /// The line of the first.
        first_line: usize,
    },
    /// The key stands a second time in its section.
    #[error("the key was given in line {first_line} already; give it once")]
    DuplicateKey {
        /// The line of the first.
        first_line: usize,
    },
    /// The value seems to have a comment behind it.
    #[error("'{text}' has a comment after the value; allowed: comments on lines of their own")]
    InlineComment {
        /// The value with the comment.
        text: String,
    },
    /// No such section is known.
    #[error("the section is unknown; allowed: {allowed}")]
    UnknownSection {
        /// The sections that are known.
        allowed: String,
    },
    /// No such key is known in the section.
    #[error("the key is unknown; allowed: {allowed}")]
    UnknownKey {
        /// The keys that are known.
        allowed: String,
    },
    /// A key that must be given is not.
    #[error("the value is missing; allowed: {allowed}")]
    Missing {
        /// The values that are allowed.
        allowed: String,
    },
    /// The value is not allowed.
    #[error("'{text}' is not valid; allowed: {allowed}")]
    InvalidValue {
        /// The value.
        text: String,
        /// The values that are allowed.
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
