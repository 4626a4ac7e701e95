//! The error type of a node.

/// An error at the start of a node, or in input that can't be parsed.
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
    #[error("{context}: over {max_bytes} bytes in memory")]
    TooLarge { context: Box<str>, max_bytes: usize },
}

impl Error {
    /// Creates an error for input that takes more memory than a node allows; `context` names the input.
    pub fn too_large(context: impl Into<Box<str>>, max_bytes: usize) -> Self {
        let context = context.into();
        Self(Kind::TooLarge { context, max_bytes })
    }

    /// Returns `true` if input takes more memory than a node allows; another node may have it.
    pub fn is_too_large(&self) -> bool {
        matches!(self.0, Kind::TooLarge { .. })
    }

    /// Creates an error for input that can't be parsed; `context` names the input.
    pub fn malformed(context: impl Into<Box<str>>, reason: impl ToString) -> Self {
        let reason = reason.to_string().into();
        let context = context.into();
        Self(Kind::Malformed { context, reason })
    }

    pub(crate) fn io(context: impl Into<Box<str>>, source: std::io::Error) -> Self {
        let context = context.into();
        Self(Kind::Io { context, source })
    }

    /// Returns `true` if input could not be parsed.
    pub fn is_malformed(&self) -> bool {
        matches!(self.0, Kind::Malformed { .. } | Kind::Settings(_))
    }

    /// Returns `true` if an operation on a file, socket or signal failed.
    pub fn is_io(&self) -> bool {
        matches!(self.0, Kind::Io { .. })
    }
}
