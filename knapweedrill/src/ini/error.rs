//! The error of an invalid INI file.

use std::fmt;

use super::IniProblem;

/// An invalid INI file, with all its problems.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniError {
    file: String,
    problems: Vec<IniProblem>,
}

impl IniError {
    pub(super) fn new(file: String, problems: Vec<IniProblem>) -> Self {
        Self { file, problems }
    }

    /// Returns the file name, as given to [`IniReader::finish`](super::IniReader::finish).
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the problems ordered by line number, followed by those without one.
    pub fn problems(&self) -> &[IniProblem] {
        &self.problems
    }
}

impl fmt::Display for IniError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {problem}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for IniError {}
