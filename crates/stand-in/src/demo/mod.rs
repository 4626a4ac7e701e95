//! A demonstration that sends requests and a trainer's step to running daemons.

mod documents;
mod run;

pub use documents::{model_document, plain_document};
pub use run::Demo;
