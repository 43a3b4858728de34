//! A load of calls that go to several nodes in turn.

use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use super::caller::{Caller, Response};

/// Method, path and headers of a call.
pub type CallShape = (&'static str, &'static str, &'static str);

/// Calls the nodes in turn at an interval for `duration`, the n-th time with the shape of
/// n. Returns when each call was sent, and its answer.
pub async fn call_in_turn(
    callers: &[Caller],
    duration: Duration,
    interval: Duration,
    shape_of: impl Fn(usize) -> CallShape,
) -> Vec<(Instant, Response)> {
    let began_at = Instant::now();
    let mut sent: Vec<(Instant, JoinHandle<Response>)> = Vec::new();
    while began_at.elapsed() < duration {
        let caller = callers[sent.len() % callers.len()].clone();
        let (method, path, headers) = shape_of(sent.len());
        let call = tokio::spawn(async move { caller.call(method, path, headers).await });
        sent.push((Instant::now(), call));
        tokio::time::sleep(interval).await;
    }
    let mut answers = Vec::new();
    for (sent_at, call) in sent {
        answers.push((sent_at, call.await.expect("no panic")));
    }
    answers
}

/// Share of the calls that were answered with status 200.
pub fn served_share(answers: &[(Instant, Response)]) -> f64 {
    let served = answers.iter().filter(|(_, answer)| answer.status == 200);
    served.count() as f64 / answers.len() as f64
}
