//! Decides how many prompts a node has read again at once, and how long the others wait in a queue.
//!
//! When nodes or engines are lost together, their callers take up hundreds of streams at the
//! same moment, each of which reads its prompt again for a second. If all are sent at once,
//! every engine has several prompts to read, and new callers wait behind streams that are late
//! already. So a part of the engines is kept for new prompts, and the others wait in a queue.

use std::time::Duration;

/// Number of prompt tokens below which reading a prompt again delays nobody for long.
pub(crate) const PROMPT_TOKENS_MIN: u64 = 2_000;
/// Longest wait in the queue. Callers of streams give up after a longer silence.
const WAIT_MAX: Duration = Duration::from_secs(4);
/// Part of the caller's remaining time that the wait may take.
const TIME_LEFT_DIVISOR: u32 = 4;
/// One in so many engines reads prompts again at the same time, over all nodes.
const ENGINES_PER_REREAD: usize = 4;

/// Number of prompts that one of `node_count` nodes has read again at once.
pub(crate) fn rereads_max(engine_count: usize, node_count: usize) -> usize {
    let divisor = ENGINES_PER_REREAD * node_count.max(1);
    engine_count.div_ceil(divisor).max(1)
}

/// How long a stream waits in the queue whose caller waits for `time_left`. Then it is sent all the
/// same.
pub(crate) fn wait_max(time_left: Duration) -> Duration {
    (time_left / TIME_LEFT_DIVISOR).min(WAIT_MAX)
}
