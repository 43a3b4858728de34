//! Tests of lists of VMs in which another writer has left an entry.

use std::net::SocketAddr;
use std::time::Instant;

use crate::fleet::table::Fleet;
use crate::store::object_api::{Vm, VmRole, VmState};

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn runner(name: &str, port: u16) -> Vm {
    Vm {
        vm: name.to_owned(),
        address: address(port),
        data_centre: "a".to_owned(),
        role: VmRole::Runner { checks_fence: true },
        state: VmState::Live,
    }
}

fn address_of(fleet: &Fleet, name: &str) -> SocketAddr {
    fleet.locate(name).expect("listed").0
}

/// Otherwise the entry shuts the sound runner out, or makes it look as if it left.
#[test]
fn an_entry_with_the_name_of_a_runner_does_not_move_it() {
    for odd_port in [1, 3] {
        let fleet = Fleet::default();
        fleet.replace_vms(&[runner("r1", 2)]);

        let odd = Vm {
            state: VmState::Leaving,
            ..runner("r1", odd_port)
        };
        fleet.replace_vms(&[runner("r1", 2), odd]);
        let beside = address_of(&fleet, "r1");
        let is_leaving = fleet.views().iter().any(|view| view.leaving);
        fleet.replace_vms(&[runner("r1", 2)]);

        assert_eq!([beside, address_of(&fleet, "r1")], [address(2); 2]);
        assert!(!is_leaving);
    }
}

/// Which entry is right is told by what answers.
#[test]
fn a_runner_is_looked_for_at_each_address_at_which_it_is_listed() {
    let fleet = Fleet::default();
    fleet.replace_vms(&[runner("r1", 1), runner("r1", 2)]);

    let first = address_of(&fleet, "r1");
    fleet.mark_unreachable("r1", Instant::now());
    let second = address_of(&fleet, "r1");
    fleet.mark_unreachable("r1", Instant::now());

    assert_ne!(first, second);
    assert_eq!(address_of(&fleet, "r1"), first);
}

#[test]
fn a_runner_that_is_listed_at_another_address_moves_there() {
    let fleet = Fleet::default();
    fleet.replace_vms(&[runner("r1", 1)]);

    fleet.replace_vms(&[runner("r1", 2)]);

    assert_eq!(address_of(&fleet, "r1"), address(2));
}
