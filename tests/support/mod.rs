//! Fixtures that several test files share.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod cluster;
pub mod outside;
pub mod payments;
pub mod processes;
pub mod register;
