//! Parts of the forwarder without callers.

mod probe;
mod send_history;
