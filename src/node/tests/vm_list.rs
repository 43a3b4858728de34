//! Tests of reading the platform's list of VMs.

use crate::node::background::read_vms;

const NESTING_DEPTH: usize = 5_000;

fn sound(vm: &str) -> String {
    format!(
        "{{\"vm\":\"{vm}\",\"address\":\"127.0.0.1:9\",\"data_centre\":\"a\",\
         \"role\":{{\"runner\":{{\"checks_fence\":true}}}},\"state\":\"live\"}}"
    )
}

#[test]
fn a_vm_that_cannot_be_read_costs_no_other_one() {
    let nested = "[".repeat(NESTING_DEPTH) + &"]".repeat(NESTING_DEPTH);
    let odd = sound("odd");
    let cases = [
        nested,
        "1e999".to_owned(),
        odd.replace("127.0.0.1:9", "127.0.0.1:99999"),
        odd.replace("\"live\"", "\"dozing\""),
        "null".to_owned(),
    ];

    for case in cases {
        let list = format!("[{},{case},{}]", sound("r1"), sound("r2"));
        let vms = read_vms(list.as_bytes()).expect("a list");
        let names: Vec<&str> = vms.iter().map(|vm| vm.vm.as_str()).collect();
        assert_eq!(names, ["r1", "r2"], "{}", &case[..case.len().min(60)]);
    }
}

#[test]
fn what_is_no_list_replaces_no_list() {
    assert_eq!(read_vms(b"{\"vm\":\"r1\"}"), None);
    assert_eq!(read_vms(b"[{\"vm\":"), None);
}
