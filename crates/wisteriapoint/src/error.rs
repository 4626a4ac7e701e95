//! Errors of the daemon and the command line.

use std::fmt;
use std::path::Path;

use wisteriapoint_types::{Revision, ServiceName, VmName};

use crate::record::AcceptedRevision;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A node on the users' platform could not start.
    #[error(transparent)]
    Node(#[from] wisteriapoint_node::Error),
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: Box<str>,
        /// What the system said.
        source: std::io::Error,
    },
    /// The content of a file is refused.
    #[error("{}", with_positions(path, source))]
    InvalidFile {
        /// The file.
        path: Box<str>,
        /// Its faults.
        source: wisteriapoint_settings::Error,
    },
    /// A text is refused.
    #[error(transparent)]
    Settings(#[from] wisteriapoint_settings::Error),
    /// A document does not fit one value of the platform's store.
    #[error("the document takes {size_bytes} bytes as stored; write at most {max_bytes}")]
    TooLarge {
        /// Size as stored.
        size_bytes: usize,
        /// Largest size.
        max_bytes: usize,
    },
    /// The platform failed; nothing was written.
    #[error("{0}; nothing was written")]
    Platform(#[from] wisteriapoint_store::Error),
    /// The platform failed after an edit was sent.
    #[error(
        "{source}; the edit may have been accepted: see `wisteriapoint service history {service}`"
    )]
    AmbiguousEdit {
        /// The service.
        service: ServiceName,
        /// Why it could not be read back.
        source: wisteriapoint_store::Error,
    },
    /// So many edits came after a lost answer that the edit can't be found in the history.
    #[error("the answer was lost and the history no longer reaches back to revision {base}")]
    HistoryTruncated {
        /// The revision that the edit was made from.
        base: Revision,
    },
    /// A client towards endpoints could not be set up.
    #[error(transparent)]
    Gateway(#[from] wisteriapoint_gateway::Failure),
    /// A record in the platform's store can't be read.
    #[error("a record in the platform's store is malformed: {0}")]
    Record(#[from] serde_json::Error),
    /// Another edit was accepted first.
    #[error(transparent)]
    EditConflict(#[from] Box<EditConflict>),
    /// The service is not known.
    #[error("there is no service `{0}`; `wisteriapoint service list` names them")]
    UnknownService(ServiceName),
    /// The revision is not kept.
    #[error("revision {revision} of `{service}` is not kept")]
    UnknownRevision {
        /// The service.
        service: ServiceName,
        /// The revision.
        revision: Revision,
    },
    /// A daemon could not be asked.
    #[error("the daemon did not answer: {0}")]
    Daemon(#[from] reqwest::Error),
    /// A daemon does not take requests.
    #[error("not ready: {0}")]
    NotReady(Box<str>),
    /// Some daemons do not have a revision in force.
    #[error("revision {revision} is not in force on {}", join_names(lagging))]
    NotInForce {
        /// The revision.
        revision: Revision,
        /// The VMs that lag or do not answer.
        lagging: Vec<VmName>,
    },
    /// Logging could not be set up.
    #[error(transparent)]
    Logging(#[from] log::SetLoggerError),
}

/// A lost race between operators.
#[derive(Debug)]
pub struct EditConflict {
    /// The service.
    pub service: ServiceName,
    /// The revision that the edit was made from.
    pub expected: Revision,
    /// The revision that came first.
    pub found: AcceptedRevision,
    /// What it changed since the expected revision, as a line difference.
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
    /// The exit code of a command that failed so.
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

    /// The error as a JSON object, for programs.
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
