//! Tests of what a node knows of its runners.

mod listed_addresses;
mod poison;
