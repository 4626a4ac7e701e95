//! Background tasks of a node: watches on the store, endpoint changes, its lease and leadership.

pub mod endpoints;
pub mod feed;
pub mod health;
pub mod leader;
pub mod lease;
pub mod leaving;
pub mod malformed;
pub mod members;
pub mod orders;
pub mod term;
pub mod watch;

pub use feed::Feed;
pub use health::StoreHealth;
pub use lease::Lease;
pub use malformed::MalformedRows;
pub use members::members;
pub use term::Term;

use std::rc::Rc;

use tokio::task::spawn_local;
use wisteriapoint_store::TransactionalStore;

use crate::dialect::Dialect;
use crate::event;
use crate::jobs;
use crate::node::Node;
use crate::streams;

/// Spawns all tasks of this module; they run until the node stops.
pub fn start<D: Dialect>(node: &Rc<Node<D>>) {
    spawn_local(watch::watch_configuration(node.clone()));
    spawn_local(endpoints::sync_endpoints(node.clone()));
    spawn_local(lease::maintain_lease(node.clone()));
    spawn_local(leader::run_election(node.clone()));
    spawn_local(jobs::end::watch_ends(node.clone()));
    spawn_local(jobs::end::forget_ended(node.clone()));
    spawn_local(jobs::take_over_previous_run(node.clone()));
    spawn_local(streams::check_rows(node.clone()));
}

/// Ends the lease in the store, which removes the rows of this node.
pub async fn release_lease<D: Dialect>(node: &Rc<Node<D>>) {
    if let Some(lease) = node.lease.take_id() {
        let ended = node.store.end_lease(lease).await;
        node.record_store_call("end-lease", &ended);
        if let Err(error) = ended {
            event!(
                warn,
                "lease not ended; it expires in the store",
                error = error
            );
        }
    }
}
