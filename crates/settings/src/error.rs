//! Faults found in a file.

use std::fmt;

/// A fault in a file with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line, counted from 1; 0 if the fault has no position.
    pub line: usize,
    /// Column in characters, counted from 1; 0 if the fault has no position.
    pub column: usize,
    /// Description of the fault and of a valid value.
    pub message: Box<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => f.write_str(&self.message),
            line => write!(f, "line {line} column {}: {}", self.column, self.message),
        }
    }
}

/// Error that lists all faults of one file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    faults: Vec<Fault>,
    syntax: bool,
}

impl Error {
    pub(crate) fn syntax(fault: Fault) -> Self {
        Self {
            faults: vec![fault],
            syntax: true,
        }
    }

    pub(crate) fn data(faults: Vec<Fault>) -> Self {
        Self {
            faults,
            syntax: false,
        }
    }

    /// Returns the faults in the order of the file.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Returns `true` if the text is empty, too long or not valid JSON with comments.
    pub fn is_syntax(&self) -> bool {
        self.syntax
    }

    /// Returns `true` if the text is well formed but its content is invalid.
    pub fn is_data(&self) -> bool {
        !self.syntax
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            match index {
                0 => write!(f, "{fault}")?,
                _ => write!(f, "\n{fault}")?,
            }
        }
        Ok(())
    }
}
