//! Waiting for the loss of an upstream under a call.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use tokio::sync::{broadcast, watch};

use super::directory::Directory;
use super::forwarder::{Forwarder, NodeContext};
use super::upstream::Upstream;
use crate::id::DataCentreId;
use crate::observe::metrics::{Counter, Metrics};
use crate::platform::engine::{EngineReport, REPORT_PATH, read_report};
use crate::policy::silence::{ALARM_TIME, Phase, pause_before_loss, pause_before_probe};

/// How long an engine may take to show that it lives.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Largest report of an engine.
const REPORT_MAX_BYTES: usize = 256 * 1024;

/// Why a call is moved away from its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// The upstream is lost, as another call or the probe found.
    Upstream,
    /// The upstream lives, but the call makes no progress there.
    NoProgress,
}

/// Watches the upstream of one call. It outlives the frames of the answer, so
/// that what is heard between two of them is not missed.
#[derive(Debug)]
pub(crate) struct LossWatch {
    upstream: Arc<Upstream>,
    losses: watch::Receiver<u64>,
    alarms: broadcast::Receiver<DataCentreId>,
    alarmed_until: Option<Instant>,
}

impl LossWatch {
    /// Begins to watch.
    pub(crate) fn new(directory: &Directory, upstream: Arc<Upstream>) -> Self {
        Self {
            losses: upstream.losses(),
            alarms: directory.alarms(),
            alarmed_until: None,
            upstream,
        }
    }

    /// Waits until the upstream must be taken as lost, counted from now.
    pub(crate) async fn wait(
        &mut self,
        directory: &Directory,
        phase: Phase,
        metrics: &Metrics,
    ) -> Loss {
        let since = Instant::now();
        let mut asked_at = since;
        loop {
            let is_alarmed = self.alarmed_until.is_some_and(|at| at > Instant::now());
            let pause = pause_before_probe(phase, is_alarmed);
            let next_look = asked_at + pause;
            tokio::select! {
                _ = self.losses.changed() => return Loss::Upstream,
                alarm = self.alarms.recv() => {
                    if alarm.is_ok_and(|centre| centre == self.upstream.entry.data_centre) {
                        self.alarmed_until = Some(Instant::now() + ALARM_TIME);
                    }
                    continue;
                }
                () = tokio::time::sleep_until(next_look.into()) => {}
            }
            let now = Instant::now();
            if now.saturating_duration_since(since) >= pause_before_loss(phase) {
                return Loss::NoProgress;
            }
            asked_at = now;
            let silence = self.upstream.silence(now);
            if silence.is_some_and(|silence| silence < pause) {
                continue;
            }
            metrics.add(Counter::EngineProbes, 1);
            if ask(&self.upstream).await.is_none() {
                directory.lose(&self.upstream, "no_report", Instant::now());
                return Loss::Upstream;
            }
        }
    }
}

/// Asks an engine for its report; none means that it is out of reach.
pub(crate) async fn ask(upstream: &Upstream) -> Option<EngineReport> {
    let asked = tokio::time::timeout(PROBE_TIMEOUT, fetch(upstream)).await;
    let report = asked.ok().flatten();
    if report.is_some() {
        upstream.heard(Instant::now());
    }
    report
}

async fn fetch(upstream: &Upstream) -> Option<EngineReport> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = REPORT_PATH.parse().ok()?;
    let (status, body) = exchange(upstream, request).await?;
    (status == StatusCode::OK).then(|| read_report(&body))?
}

/// Asks an upstream something beside its calls, and reads the whole answer.
pub(crate) async fn exchange(
    upstream: &Upstream,
    mut request: Request<Full<Bytes>>,
) -> Option<(StatusCode, Bytes)> {
    let mut connection = upstream.pool.take().await.ok()?;
    let host = upstream.entry.address.to_string().parse().ok()?;
    request.headers_mut().insert(HOST, host);
    let response = connection.send(request).await.ok()?;
    let status = response.status();
    let body = Limited::new(response.into_body(), REPORT_MAX_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    upstream.pool.put(connection, None);
    Some((status, body))
}

impl<S: NodeContext> Forwarder<S> {
    /// Asks an engine whose connection broke whether it lives, for all others
    /// that run or keep something there.
    pub(crate) fn confirm_loss(self: &Arc<Self>, upstream: &Arc<Upstream>) {
        let (forwarder, upstream) = (self.clone(), upstream.clone());
        tokio::spawn(async move {
            forwarder.metrics.add(Counter::EngineProbes, 1);
            if ask(&upstream).await.is_none() {
                let now = Instant::now();
                forwarder.directory.lose(&upstream, "broke", now);
            }
        });
    }
}
