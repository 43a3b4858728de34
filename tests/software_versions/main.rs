//! Streams go on only at the software version that began them, while engines of
//! several versions serve side by side.

#[path = "../support/mod.rs"]
mod support;

mod entries;
mod fixtures;
mod killed_nodes;
mod limited;
mod nodes_out_of_step;
mod one_answer;
mod relayed;
mod resumes;
mod store_away;
mod stored_origins;
