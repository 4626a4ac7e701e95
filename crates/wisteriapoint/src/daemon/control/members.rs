//! Control's part in membership.

use std::sync::Arc;

use wisteriapoint_membership::View;

use super::Control;

impl Control {
    pub(super) fn take_view(&mut self, view: View) {
        if view.number <= self.snapshot.view.number {
            return;
        }
        log::info!("view {} with {} members", view.number, view.members.len());
        self.shared.metrics.view_number.set(view.number.0 as i64);
        self.shared.metrics.members.set(view.members.len() as i64);
        self.snapshot.view = Arc::new(view);
        self.publish();
        self.start_transfer();
    }
}
