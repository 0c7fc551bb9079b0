//! A strict reader of INI files, for settings and configuration.
//!
//! `rust-ini` silently accepts duplicate keys and sections, keeps no line numbers and takes a
//! comment after a value as part of the value. This reader passes it one line at a time, so that
//! each key has a line number, and reports all problems of a file at once:
//!
//! - A comment is on a line of its own and starts with `;` or `#`. A value that contains `;` or `#`
//!   after a blank is rejected, since it most likely is a comment that would become part of the
//!   value.
//! - A value ends at the end of its line. There are no escapes, quotes or continuation lines.
//! - Section names are unique, and keys are unique in their section.

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
