//! Configuration that daemons replicate to each other and merge without coordination.
//!
//! A [`Catalog`] holds the newest value of each entry: a document is replaced by one with a
//! higher revision, a weight version by a higher one, and the list of leaving VMs by one
//! that was observed later. Two catalogs that have exchanged complete updates in both
//! directions are equal.
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
