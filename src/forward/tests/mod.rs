//! Parts of the forwarder without callers.

mod probe;
mod sends;
