//! Tests of the reasons for which a batch job may be taken from its owner.

use wisteriapoint_batch::{Members, Owner, TakeOverReason};

fn run(vm: &str, run: u64) -> Owner {
    Owner {
        vm: vm.into(),
        run,
        address: ([127, 0, 0, 1], 7_003).into(),
    }
}

fn condition(reason: &TakeOverReason) -> (&str, u64) {
    reason.member_condition().expect("depends on a member row")
}

/// Guards against batch jobs taken from an owner that is a member, and against reasons that never hold as
/// their condition is on a row that nobody removes.
#[test]
fn an_owner_is_gone_unless_the_row_of_its_vm_names_its_run() {
    let members = Members::new()
        .with_row("a", 7, Some(run("a", 2)))
        .with_row("b", 8, None);
    assert!(members.contains(&run("a", 2)));
    assert_eq!(members.reason_against(&run("a", 2)), None);
    for (owner, revision) in [(run("a", 1), 7), (run("b", 1), 8), (run("c", 1), 0)] {
        let reason = members.reason_against(&owner).expect("it is gone");
        assert_eq!(condition(&reason), (&*owner.vm, revision));
        assert!(reason.is_against(&owner, &run("d", 1)));
    }
}

/// Guards against a reason that is used against another owner than the one that it was found for.
#[test]
fn a_reason_is_against_one_owner_only() {
    let taker = run("a", 2);
    let gone = Members::new().reason_against(&run("b", 1));
    let gone = gone.expect("it is gone");
    let handed_over = TakeOverReason::HandedOver { owner: run("b", 1) };
    for reason in [gone, handed_over] {
        assert!(reason.is_against(&run("b", 1), &taker));
        for owner in [run("b", 2), run("c", 1), taker.clone()] {
            assert!(!reason.is_against(&owner, &taker), "{owner:?}");
        }
    }
    assert!(TakeOverReason::EarlierRun.is_against(&run("a", 1), &taker));
    assert!(!TakeOverReason::EarlierRun.is_against(&taker, &taker));
    assert!(!TakeOverReason::EarlierRun.is_against(&run("b", 1), &taker));
    assert!(TakeOverReason::OwnRow.is_against(&taker, &taker));
    assert!(!TakeOverReason::OwnRow.is_against(&run("a", 1), &taker));
}
