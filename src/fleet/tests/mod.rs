//! Requests that crash runners, and the load that their copies make.

mod poison;
