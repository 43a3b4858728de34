//! Probe of a runner whose stream is silent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::fleet::runner::RunnerClient;
use crate::id::Incarnation;

/// What a probe showed about the incarnation that holds the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// It is running.
    Alive,
    /// It does not answer, but its host accepts connections: a process that stands
    /// still may go on with the stream.
    Unresponsive,
    /// Its host cannot be reached, or the runner has restarted since.
    Gone,
    /// Nothing, because this process was paused during the probe.
    Inconclusive,
}

/// Asks a runner for a report within `window` to find out whether the
/// incarnation that holds the stream is still running, and connects to it to find
/// out whether its host is.
pub(crate) async fn probe_runner(
    client: RunnerClient,
    address: SocketAddr,
    incarnation: Incarnation,
    window: Duration,
) -> ProbeResult {
    let asked_at = Instant::now();
    let asked = client.report(address, window);
    let (report, accepts_connections) = tokio::join!(asked, accepts_connections(address, window));
    match report {
        Ok(report) if report.incarnation == incarnation || incarnation == 0 => ProbeResult::Alive,
        // The runner has restarted since it opened the stream.
        Ok(_) => ProbeResult::Gone,
        // The time-out fired far too late, so this process was paused.
        Err(_) if asked_at.elapsed() > window * 2 => ProbeResult::Inconclusive,
        Err(_) if accepts_connections => ProbeResult::Unresponsive,
        Err(_) => ProbeResult::Gone,
    }
}

/// Whether the host of a runner accepts a connection within `window`, as it also
/// does while the runner's process stands still.
pub(crate) async fn accepts_connections(address: SocketAddr, window: Duration) -> bool {
    let connected = tokio::time::timeout(window, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}

/// Waits for the result of the probe; waits for ever if none is running.
pub(crate) async fn probe_result(probe: &mut Option<JoinHandle<ProbeResult>>) -> ProbeResult {
    match probe {
        Some(handle) => handle.await.unwrap_or(ProbeResult::Inconclusive),
        None => std::future::pending().await,
    }
}
