//! Errors of a node.

/// Why a node could not start, or a text could not be understood.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct Error(#[from] Kind);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Kind {
    #[error("{what}: {source}")]
    Io {
        what: Box<str>,
        source: std::io::Error,
    },
    #[error("settings: {0}")]
    Settings(serde_json::Error),
    #[error("metrics: {0}")]
    Metrics(prometheus::Error),
    #[error("{what}: {why}")]
    Malformed { what: Box<str>, why: Box<str> },
}

impl Error {
    /// Text that does not say what it should.
    pub fn malformed(what: impl Into<Box<str>>, why: impl ToString) -> Self {
        let why = why.to_string().into();
        let what = what.into();
        Self(Kind::Malformed { what, why })
    }

    pub(crate) fn io(what: impl Into<Box<str>>, source: std::io::Error) -> Self {
        let what = what.into();
        Self(Kind::Io { what, source })
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
