//! Errors of the daemon and the command line.

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A file is refused.
    #[error(transparent)]
    Settings(#[from] wisteriapoint_settings::Error),
    /// The platform failed.
    #[error(transparent)]
    Platform(#[from] wisteriapoint_platform::Error),
    /// A client towards endpoints could not be set up.
    #[error(transparent)]
    Gateway(#[from] wisteriapoint_gateway::Failure),
    /// A record in the platform's store can't be read.
    #[error("a record in the platform's store is malformed: {0}")]
    Record(#[from] serde_json::Error),
    /// Another edit was accepted first.
    #[error("revision {found} was accepted in the meantime; yours was made from {expected}")]
    Race {
        /// The revision that the edit was made from.
        expected: wisteriapoint_types::Revision,
        /// The revision found.
        found: wisteriapoint_types::Revision,
    },
    /// The service is not known.
    #[error("there is no service `{0}`")]
    UnknownService(wisteriapoint_types::ServiceName),
    /// A daemon could not be asked.
    #[error("the daemon did not answer: {0}")]
    Daemon(#[from] reqwest::Error),
    /// Logging could not be set up.
    #[error(transparent)]
    Logging(#[from] log::SetLoggerError),
}
