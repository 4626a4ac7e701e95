//! The demonstration: an operator's edit, callers' requests and a trainer's step.

mod documents;
mod run;

pub use documents::{model_document, plain_document};
pub use run::Demo;
