//! Nodes that reach no upstream, while callers, the store and other nodes reach them.

#[path = "../support/mod.rs"]
mod support;

mod evidence;
mod leaving;
mod one_call;
mod paused_peers;
mod scene;
mod served;
