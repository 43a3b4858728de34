//! Tests of how often nodes call the platform's store about origins.

use std::time::Duration;

use crate::edge::stored_run_origin_reader::read_interval;
use crate::edge::stored_run_origins::{awaited_write_interval, write_interval};

/// Writes or reads a second of all nodes together.
fn rate(node_count: usize, interval: Duration) -> f64 {
    node_count as f64 / interval.as_secs_f64()
}

#[test]
fn all_nodes_together_write_at_most_a_quarter_of_what_the_store_accepts() {
    for node_count in 1..=400 {
        let writes_per_s = rate(node_count, write_interval(node_count));
        assert!(writes_per_s <= 100.01, "{node_count}: {writes_per_s}");
    }
}

#[test]
fn writes_that_callers_wait_for_stay_below_what_the_store_accepts() {
    for node_count in 1..=400 {
        let writes_per_s = rate(node_count, awaited_write_interval(node_count));
        assert!(writes_per_s <= 300.01, "{node_count}: {writes_per_s}");
    }
}

#[test]
fn all_nodes_together_read_at_most_a_quarter_of_what_the_store_accepts() {
    for node_count in 1..=400 {
        for page_count in 1..=64 {
            let interval = read_interval(node_count, page_count);
            let pages_per_s = rate(node_count * page_count, interval);
            assert!(pages_per_s <= 500.01, "{node_count}: {pages_per_s}");
        }
    }
}
