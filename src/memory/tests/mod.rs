//! Tests of the budget without connections.

mod budget;
