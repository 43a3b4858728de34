//! Tests of single parts of a node.

mod vm_list;
