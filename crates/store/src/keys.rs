//! Keys of the key-value service that wisteriapoint uses.

use wisteriapoint_types::{ServiceName, VmName};

/// Key of the membership view.
pub const VIEW: &str = "wisteriapoint/view";

/// Prefix of the keys of service records.
pub const SERVICES: &str = "wisteriapoint/services/";

/// Prefix of the keys of published weight versions.
pub const WEIGHTS: &str = "wisteriapoint/weights/";

/// Prefix of the keys of VM leases.
pub const LEASES: &str = "wisteriapoint/leases/";

/// Returns the key of the record of a service.
pub fn service(name: &ServiceName) -> String {
    format!("{SERVICES}{name}")
}

/// Returns the key of the published weight version of a service.
pub fn weights(name: &ServiceName) -> String {
    format!("{WEIGHTS}{name}")
}

/// Returns the key of the lease of a VM.
pub fn lease(vm: &VmName) -> String {
    format!("{LEASES}{vm}")
}
