//! Parses, checks and edits the settings of a VM and service documents, both JSON with comments.
//!
//! ```
//! let text = r#"{
//!     // Stock lookup behind the shop.
//!     "service": "shopfront",
//!     "owner": "shop team",
//!     "kind": "plain",
//!     "endpoints": [
//!         { "endpoint": "shop-1", "address": "127.0.0.1:9101", "failure_domain": "dk-east-a", "vm": "vm-1" },
//!     ],
//! }"#;
//! let document = wisteriapoint_settings::document_from_str(text)?;
//! assert_eq!(document.endpoints.len(), 1);
//! # Ok::<(), wisteriapoint_settings::Error>(())
//! ```

mod check;
pub mod document;
pub mod edit;
pub mod error;
pub mod read;
pub mod schema;
pub mod vm;

pub use check::is_name;
pub use document::{Endpoint, Limits, Rollouts, Route, ServiceDocument, ServiceKind, Weights};
pub use edit::with_field;
pub use error::{Error, Fault};
pub use read::{document_from_str, replacement_from_str, vm_from_str};
pub use vm::VmSettings;
