//! A checked reader of INI files, for settings and configuration.
//!
//! `rust-ini` takes doubled keys and sections without a word, keeps no line numbers and takes a
//! comment after a value as part of the value. This reader hands it one line at a time, so that
//! each key has its line, and notes every problem of a file before it gives up:
//!
//! - A comment has a line of its own, starting with `;` or `#`. A value that contains `;` or `#`
//!   after a blank is refused, since it is most likely a comment that would become part of the
//!   value.
//! - A value ends with its line; there are no escapes, quotes or continuation lines.
//! - A section stands once, and a key stands once in its section.

mod document;
mod error;
mod problem;
mod reader;
mod section_reader;
mod values;

pub use document::{IniDocument, IniEntry, IniSection};
pub use error::IniError;
pub use problem::{IniProblem, IniProblemKind};
pub use reader::IniReader;
pub use section_reader::SectionReader;
pub use values::{NAME_ALLOWED, NAME_LENGTH_MAX, is_name};
