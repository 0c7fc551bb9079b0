//! All that is wrong with an INI file.

use std::fmt;

use super::IniProblem;

/// All problems of an INI file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniError {
    file: String,
    problems: Vec<IniProblem>,
}

impl IniError {
    pub(super) fn new(file: String, problems: Vec<IniProblem>) -> Self {
        Self { file, problems }
    }

    /// Returns the name of the file.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the problems in the order of their lines; those without a line come last.
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
