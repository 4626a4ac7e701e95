//! Errors of the daemon and of the commands.

use std::fmt;
use std::path::Path;

use wisteriapoint_types::{Revision, ServiceName, VmName};

use crate::record::AcceptedRevision;

/// The error of a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An I/O operation failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A node on the users' platform could not start.
    #[error(transparent)]
    Node(#[from] wisteriapoint_node::Error),
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The content of a file is invalid.
    #[error("{}", with_positions(path, source))]
    InvalidFile {
        /// Path of the file.
        path: Box<str>,
        /// All faults found in the file.
        source: wisteriapoint_settings::Error,
    },
    /// A service document or the settings of a VM are invalid.
    #[error(transparent)]
    Settings(#[from] wisteriapoint_settings::Error),
    /// A service's record is larger than a value of the platform's store may be.
    #[error("the document takes {size_bytes} bytes as stored; write at most {max_bytes}")]
    TooLarge {
        /// Size of the record as stored, in bytes.
        size_bytes: usize,
        /// Largest size that may be stored, in bytes.
        max_bytes: usize,
    },
    /// A call to the platform failed, and nothing was written.
    #[error("{0}; nothing was written")]
    Platform(#[from] wisteriapoint_store::Error),
    /// A call to the platform failed after an edit was sent, so the edit may have been accepted.
    #[error(
        "{source}; the edit may have been accepted: see `wisteriapoint service history {service}`"
    )]
    AmbiguousEdit {
        /// Service whose document was edited.
        service: ServiceName,
        /// Error of the call that failed last.
        source: wisteriapoint_store::Error,
    },
    /// The response to an edit was lost, and so many edits followed that the history no longer
    /// shows whether it was accepted.
    #[error("the answer was lost and the history no longer reaches back to revision {base}")]
    HistoryTruncated {
        /// Revision that the edit was made from.
        base: Revision,
    },
    /// The client for calls to endpoints could not be created.
    #[error(transparent)]
    Gateway(#[from] wisteriapoint_gateway::Failure),
    /// A record in the platform's store can't be decoded.
    #[error("a record in the platform's store is malformed: {0}")]
    Record(#[from] serde_json::Error),
    /// Another edit was accepted first, so this one was not made from the revision in force.
    #[error(transparent)]
    EditConflict(#[from] Box<EditConflict>),
    /// There is no such service.
    #[error("there is no service `{0}`; `wisteriapoint service list` names them")]
    UnknownService(ServiceName),
    /// The history does not contain the revision.
    #[error("revision {revision} of `{service}` is not kept")]
    UnknownRevision {
        /// Service whose history was searched.
        service: ServiceName,
        /// Revision that was requested.
        revision: Revision,
    },
    /// A request to a daemon failed.
    #[error("the daemon did not answer: {0}")]
    Daemon(#[from] reqwest::Error),
    /// A daemon does not accept requests, for the reason given.
    #[error("not ready: {0}")]
    NotReady(Box<str>),
    /// Some daemons did not have a revision in force in time.
    #[error("revision {revision} is not in force on {}", join_names(lagging))]
    NotInForce {
        /// Revision that was waited for.
        revision: Revision,
        /// VMs whose daemons have an earlier revision or do not answer.
        lagging: Vec<VmName>,
    },
    /// Logging was already initialized.
    #[error(transparent)]
    Logging(#[from] log::SetLoggerError),
}

/// Details of an edit that was not made from the revision in force.
#[derive(Debug)]
pub struct EditConflict {
    /// Service whose document was edited.
    pub service: ServiceName,
    /// Revision that the rejected edit was made from.
    pub expected: Revision,
    /// Revision in force.
    pub found: AcceptedRevision,
    /// Line diff from the expected revision to the one in force.
    pub change: Box<str>,
}

impl fmt::Display for EditConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (found, expected) = (self.found.revision, self.expected);
        writeln!(
            f,
            "revision {found} of `{}` came first, by {}; yours was made from {expected} and is \
             not written",
            self.service, self.found.author,
        )?;
        write!(f, "{}", self.change)?;
        write!(
            f,
            "take it over with `service get {} --to FILE`, edit FILE, `service apply FILE --from \
             {found}`",
            self.service,
        )
    }
}

impl std::error::Error for EditConflict {}

impl Error {
    /// Returns the exit code of a command that failed with this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidFile { .. } | Self::Settings(_) | Self::TooLarge { .. } => 3,
            Self::EditConflict(_) => 4,
            Self::Platform(_)
            | Self::AmbiguousEdit { .. }
            | Self::HistoryTruncated { .. }
            | Self::Daemon(_) => 5,
            Self::NotInForce { .. } => 6,
            _ => 1,
        }
    }

    /// Returns the error as a JSON object, for programs that run the command.
    pub fn to_json(&self) -> serde_json::Value {
        let mut value = serde_json::json!({
            "error": self.to_string(),
            "exit_code": self.exit_code(),
        });
        match self {
            Self::InvalidFile { path, source } => {
                value["file"] = serde_json::json!(path);
                value["faults"] = source.faults().iter().map(fault_to_json).collect();
            }
            Self::EditConflict(conflict) => {
                value["expected"] = serde_json::json!(conflict.expected);
                value["found"] = serde_json::json!(conflict.found.revision);
                value["author"] = serde_json::json!(conflict.found.author);
                value["change"] = serde_json::json!(conflict.change);
            }
            Self::NotInForce { lagging, .. } => value["lagging"] = serde_json::json!(lagging),
            _ => {}
        }
        value
    }

    pub(crate) fn file(path: &Path, source: std::io::Error) -> Self {
        Self::File {
            path: path.to_string_lossy().into(),
            source,
        }
    }

    pub(crate) fn invalid_file(path: &Path, source: wisteriapoint_settings::Error) -> Self {
        Self::InvalidFile {
            path: path.to_string_lossy().into(),
            source,
        }
    }
}

fn fault_to_json(fault: &wisteriapoint_settings::Fault) -> serde_json::Value {
    serde_json::json!({
        "line": fault.line,
        "column": fault.column,
        "message": fault.message,
    })
}

fn with_positions(path: &str, error: &wisteriapoint_settings::Error) -> String {
    let lines = error.faults().iter().map(|fault| match fault.line {
        0 => format!("{path}: {}", fault.message),
        line => format!("{path}:{line}:{}: {}", fault.column, fault.message),
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn join_names(vms: &[VmName]) -> String {
    let names: Vec<&str> = vms.iter().map(VmName::as_str).collect();
    names.join(", ")
}
