//! Newtypes for numeric identifiers and versions.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident($inner:ty)) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_type! {
    /// Identifies one run of a daemon process; a restarted daemon uses a new one.
    MemberId(u64)
}
number_type! {
    /// The number of a membership view; each change of membership increments it.
    ViewNumber(u64)
}
number_type! {
    /// The revision of a service document; each accepted edit increments it.
    Revision(u64)
}
number_type! {
    /// A version of a model's weights, numbered by its trainer.
    WeightVersion(u64)
}
number_type! {
    /// A random number that distinguishes attempts.
    Nonce(u64)
}
number_type! {
    /// Identifies a partition of the space of idempotency keys.
    PartitionId(u16)
}
