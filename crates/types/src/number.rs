//! Small `Copy` numbers with a meaning of their own.

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
    /// One run of a daemon; a restarted daemon takes a new one.
    MemberId(u64)
}
number_type! {
    /// The number of a view; each change of membership adds one.
    ViewNumber(u64)
}
number_type! {
    /// The revision of a service document; each accepted edit adds one.
    Revision(u64)
}
number_type! {
    /// A version of a model's weights, as its trainer numbers them.
    WeightVersion(u64)
}
number_type! {
    /// A random number that tells one attempt from another.
    Nonce(u64)
}
number_type! {
    /// A partition of the space of idempotency keys.
    PartitionId(u16)
}
