//! What a node believes of the store, the configuration and the endpoints, and its duties.

pub mod endpoints;
pub mod feed;
pub mod health;
pub mod keeper;
pub mod lease;
pub mod members;
pub mod orders;
pub mod watch;

pub use feed::Feed;
pub use health::Health;
pub use lease::Lease;
pub use members::members;

use std::rc::Rc;

use tokio::task::spawn_local;
use wisteriapoint_store::TransactionalStore;

use crate::dialect::Dialect;
use crate::event;
use crate::jobs;
use crate::node::Node;

/// Starts all tasks of control.
pub fn start<D: Dialect>(node: &Rc<Node<D>>) {
    spawn_local(watch::configuration(node.clone()));
    spawn_local(endpoints::follow(node.clone()));
    spawn_local(lease::hold(node.clone()));
    spawn_local(keeper::run(node.clone()));
    spawn_local(jobs::take_over_former(node.clone()));
}

/// Gives the lease back, and with it the rows of this node.
pub async fn leave<D: Dialect>(node: &Rc<Node<D>>) {
    if let Some(lease) = node.lease.take() {
        let ended = node.store.end_lease(lease).await;
        node.note_store("end-lease", &ended);
        if let Err(error) = ended {
            event!(warn, "lease not given back", why = error);
        }
    }
}
