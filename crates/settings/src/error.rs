//! Faults found in a file.

use std::fmt;

/// One fault and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line, from 1; 0 if the fault has no place of its own.
    pub line: usize,
    /// Column, from 1; 0 if the fault has no place of its own.
    pub column: usize,
    /// What is wrong and what to write instead.
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

/// All faults of one file.
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

    /// The faults in the order of the file.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Whether the text is not JSON with comments at all.
    pub fn is_syntax(&self) -> bool {
        self.syntax
    }

    /// Whether the text is well formed but its content is refused.
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
