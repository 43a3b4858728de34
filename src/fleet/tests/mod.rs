//! Tests of the detection of poison requests.

mod poison;
