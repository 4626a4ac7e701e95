//! What daemons tell each other about configuration, merged without coordination.
//!
//! A [`Catalog`] only ever moves forward: a document gives way to a higher revision, a
//! weight version to a higher one, the list of leaving VMs to a later observation. Two
//! catalogs that exchanged updates in both directions are equal.
//!
//! ```
//! use wisteriapoint_catalog::{Catalog, Document, Summary, Update};
//! use wisteriapoint_types::{Revision, ServiceName};
//!
//! let shop = ServiceName::new("shopfront");
//! let second = Document { revision: Revision(2), text: "{}".into() };
//! let mut catalog = Catalog::new();
//! catalog.merge(Update::of_document(shop.clone(), second));
//!
//! let first = Document { revision: Revision(1), text: "{}".into() };
//! let changes = catalog.merge(Update::of_document(shop, first));
//! assert!(changes.is_empty());
//! assert_eq!(catalog.newer_than(&Summary::default(), 1024).documents.len(), 1);
//! ```

pub mod catalog;
pub mod update;

pub use catalog::{Catalog, Changes};
pub use update::{Document, LeavingVms, Summary, Update};
