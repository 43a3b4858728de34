//! Tests of the detection of silent streams.

mod silence;
