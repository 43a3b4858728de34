//! Tests of the detection of silent streams.

mod runner_probe;
mod silence;
