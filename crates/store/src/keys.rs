//! Names of the keys that wisteriapoint uses.

use wisteriapoint_types::{ServiceName, VmName};

/// Key of the view.
pub const VIEW: &str = "wisteriapoint/view";

/// Prefix of the service records.
pub const SERVICES: &str = "wisteriapoint/services/";

/// Prefix of the published weight versions.
pub const WEIGHTS: &str = "wisteriapoint/weights/";

/// Prefix of the leases of VMs.
pub const LEASES: &str = "wisteriapoint/leases/";

/// Key of the record of a service.
pub fn service(name: &ServiceName) -> String {
    format!("{SERVICES}{name}")
}

/// Key of the published weight version of a service.
pub fn weights(name: &ServiceName) -> String {
    format!("{WEIGHTS}{name}")
}

/// Key of the lease of a VM.
pub fn lease(vm: &VmName) -> String {
    format!("{LEASES}{vm}")
}
