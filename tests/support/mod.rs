//! Fixtures that several test files share.

#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

pub mod cluster;
pub mod edge_environment;
pub mod payments;
pub mod processes;
pub mod register;
