//! Names that operators write in settings and service documents.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Box<str>);

        impl $name {
            /// Wraps the text of a name.
            pub fn new(text: impl Into<Box<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// A service that one team owns, such as `advisor-lm`.
    ServiceName
}
name_type! {
    /// A virtual machine, unique within the deployment.
    VmName
}
name_type! {
    /// A set of machines that may fail together.
    FailureDomain
}
name_type! {
    /// A group of failure domains with low network latency between them.
    Region
}
name_type! {
    /// A back end: a model engine or an instance of a plain service.
    EndpointName
}
name_type! {
    /// A version of the software that an endpoint runs, such as `2026.11`; versions have no order.
    SoftwareVersion
}
name_type! {
    /// A process that trains a model on samples.
    TrainerName
}
