//! Views of the model.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::OnceLock;

use wisteriapoint_claim::Pull;
use wisteriapoint_membership::{Holders, Member, View};
use wisteriapoint_types::{FailureDomain, MemberId, Nonce, PartitionId, Region, VmName};

/// Number of daemons in the model.
pub const DAEMONS: usize = 4;

/// Partition of the request key.
pub const PARTITION: PartitionId = PartitionId(0);

/// Number of views in the model.
pub const VIEWS: usize = 3;

/// A view with the data derived from it.
#[derive(Debug)]
pub struct DerivedView {
    /// View with the earlier views that its record retains.
    pub view: View,
    /// Holders of [`PARTITION`] in the view.
    pub holders: Holders,
    /// Pull of [`PARTITION`] with no pages collected.
    pub pull: Pull,
}

/// Returns the view with a number, whose record retains the earlier views from `oldest` on.
pub fn derived_view(number: u64, oldest: u64) -> &'static DerivedView {
    static ALL: OnceLock<Vec<DerivedView>> = OnceLock::new();
    let all = ALL.get_or_init(|| {
        let numbers = 1..=VIEWS as u64;
        let pairs =
            numbers.flat_map(|number| (1..=VIEWS as u64).map(move |oldest| (number, oldest)));
        pairs
            .map(|(number, oldest)| derive(number, oldest))
            .collect()
    });
    &all[(number as usize - 1) * VIEWS + oldest as usize - 1]
}

fn derive(number: u64, oldest: u64) -> DerivedView {
    let mut view = first_view();
    while view.number.0 < number {
        view = next_view(&view);
    }
    view.earlier.retain(|earlier| earlier.number.0 >= oldest);
    DerivedView {
        holders: view.holders(PARTITION),
        pull: Pull::new(&view, PARTITION),
        view,
    }
}

/// Creates the member entry of the daemon with an index.
pub fn member(index: usize) -> Member {
    let name = format!("vm-{}", index + 1);
    Member {
        id: id(index),
        vm: VmName::new(name.clone()),
        failure_domain: FailureDomain::new(name),
        region: Region::new("region"),
        peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, index as u16 + 1)),
        admin_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
    }
}

/// Returns the member ID of the daemon with an index.
pub fn id(index: usize) -> MemberId {
    MemberId(index as u64 + 1)
}

/// Returns the index of the daemon with a member ID.
pub fn index(id: MemberId) -> usize {
    id.0 as usize - 1
}

/// Creates the first view: daemons 1, 2 and 3.
fn first_view() -> View {
    let joined = (0..3).fold(View::default(), |view, index| {
        view.with_member(member(index), Nonce(0))
    });
    let mut first = View::default().with_member(member(0), Nonce(0));
    first.members = joined.members;
    first
}

/// Creates the view that follows another: daemon 4 replaces daemon 1, then daemon 2 leaves.
fn next_view(view: &View) -> View {
    let mut next = match view.number.0 {
        1 => view.without_members(&[id(0)], Nonce(0)),
        _ => view.without_members(&[id(1)], Nonce(0)),
    };
    if view.number.0 == 1 {
        next.members.push(member(3));
    }
    next
}
