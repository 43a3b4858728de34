//! Copies of the store, from which it comes back some seconds later.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;

use crate::edge_environment::store::{Store, StoreCopy};

const COPY_AGE_MAX: Duration = Duration::from_secs(5);
/// Time after which upstreams and operator have written again.
const WRITE_DELAY_MAX_MS: u64 = 1_500;

/// The copies of the last seconds, oldest first.
#[derive(Default)]
pub struct StoreCopies {
    copies: VecDeque<(Instant, StoreCopy)>,
}

impl StoreCopies {
    pub fn keep(&mut self, store: &Store) {
        let is_old = |(at, _): &(Instant, StoreCopy)| at.elapsed() > COPY_AGE_MAX;
        while self.copies.front().is_some_and(is_old) {
            self.copies.pop_front();
        }
        self.copies.push_back((Instant::now(), store.copy()));
    }

    /// Has the store come back from one of the copies, and its writers write again.
    pub async fn restore(&self, store: &Store, random: &mut StdRng) {
        let kinds = ["servers", "config"];
        let written = kinds.map(|kind| store.specs(kind));
        let at = random.random_range(0..self.copies.len());
        store.come_back_from(&self.copies[at].1);
        let delay_ms = random.random_range(0..WRITE_DELAY_MAX_MS);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        for (kind, specs) in kinds.into_iter().zip(written) {
            store.write_again(kind, specs);
        }
    }
}
