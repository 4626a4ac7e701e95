//! Workspaces and their keys: who sends a request, and how old the knowledge of that is.
//!
//! Owns the digests of keys and the age of the configuration that names them. It knows no socket
//! and no clock: the caller passes times on the clock that includes suspension.
//!
//! ```
//! use wisteriapoint_workspace::{Credential, Rejection, Workspace, Workspaces};
//!
//! let workspaces = Workspaces::new([(Workspace::new("forms", None), vec!["k1"])]);
//! let known = Credential::from_key("k1");
//! let identity = workspaces.authenticate(&known, false).expect("the key is valid");
//! assert_eq!(identity.expect("it has a workspace").name(), "forms");
//! let unknown = Credential::from_key("k2");
//! assert_eq!(workspaces.authenticate(&unknown, true), Err(Rejection::UnknownKey));
//! ```

pub mod credential;
pub mod knowledge;
pub mod workspaces;

pub use credential::{Credential, KeyDigest, MAX_KEY_BYTES};
pub use knowledge::Knowledge;
pub use workspaces::{Rejection, Workspace, Workspaces};
