//! Errors of a node.

/// Why a node could not start, or a text could not be understood.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct Error(#[from] Kind);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Kind {
    #[error("{context}: {source}")]
    Io {
        context: Box<str>,
        source: std::io::Error,
    },
    #[error("settings: {0}")]
    Settings(serde_json::Error),
    #[error("metrics: {0}")]
    Metrics(prometheus::Error),
    #[error("{context}: {reason}")]
    Malformed { context: Box<str>, reason: Box<str> },
}

impl Error {
    /// Text that does not say what it should.
    pub fn malformed(context: impl Into<Box<str>>, reason: impl ToString) -> Self {
        let reason = reason.to_string().into();
        let context = context.into();
        Self(Kind::Malformed { context, reason })
    }

    pub(crate) fn io(context: impl Into<Box<str>>, source: std::io::Error) -> Self {
        let context = context.into();
        Self(Kind::Io { context, source })
    }

    /// Whether a text could not be understood.
    pub fn is_malformed(&self) -> bool {
        matches!(self.0, Kind::Malformed { .. } | Kind::Settings(_))
    }

    /// Whether a file or socket failed.
    pub fn is_io(&self) -> bool {
        matches!(self.0, Kind::Io { .. })
    }
}
