//! What binds a stream that has begun.

use serde::{Deserialize, Serialize};

use crate::SoftwareVersion;

/// What generated the events of a stream that its receiver already has.
///
/// What two software versions generate doesn't fit together, and endpoints don't check this.
///
/// ```
/// use wisteriapoint_types::{SoftwareVersion, StreamOrigin};
///
/// let (old, new) = (SoftwareVersion::new("1.4"), SoftwareVersion::new("1.5"));
/// let mut origin = StreamOrigin::None;
/// assert!(origin.admits(Some(&new)));
/// origin.record_event(Some(&old));
/// assert!(origin.admits(Some(&old)));
/// assert!(!origin.admits(Some(&new)));
/// assert!(!origin.admits(None));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOrigin {
    /// There are no events yet.
    #[default]
    None,
    /// Endpoints of one software version.
    Software(SoftwareVersion),
    /// Endpoints of a software version that is not known.
    Unknown,
}

impl StreamOrigin {
    /// Returns `true` if an endpoint of a software version may generate the next event.
    pub fn admits(&self, software: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::None => true,
            Self::Software(origin) => software == Some(origin),
            Self::Unknown => false,
        }
    }

    /// Records an event of an endpoint; only the first one has an effect.
    pub fn record_event(&mut self, software: Option<&SoftwareVersion>) {
        if *self == Self::None {
            *self = software.map_or(Self::Unknown, |software| Self::Software(software.clone()));
        }
    }

    /// Returns the software version, if there are events and it is known.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Software(software) => Some(software),
            Self::None | Self::Unknown => None,
        }
    }
}
