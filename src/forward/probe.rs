//! Detects that an upstream is lost while it runs a call.
//!
//! A probe is a request for an engine's report on itself, which a live engine
//! answers at once, even if it is busy.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use tokio::sync::{broadcast, watch};
use tokio::task::{JoinError, JoinHandle};

use super::connection::{Connection, ConnectionLife, SendFailure};
use super::directory::Directory;
use super::forwarder::{Forwarder, NodeContext};
use super::reported_start::ReportedStart;
use super::upstream::Upstream;
use crate::id::{DataCentreId, UpstreamId};
use crate::observe::metrics::{Counter, Metrics};
use crate::platform::answer::{AnswerOwner, actual_upstream, owner, stated_rest};
use crate::platform::engine::{EngineReport, REPORT_PATH, read_report};
use crate::policy::liveness::{
    OUTAGE_ALERT_DURATION, SOUND_SILENCE_MAX, StreamPhase, probe_delay, stall_timeout,
};

/// How long an engine may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// How long the host of an engine may take to complete a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(60);
/// Interval at which a stream that waits for another one's probe of its upstream looks for the
/// outcome.
const SHARED_PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a call stays at a silent upstream after no other upstream could take
/// it.
const HOLD_DURATION: Duration = Duration::from_millis(300);
/// Largest answer of an engine to a probe or control request.
const CONTROL_ANSWER_MAX_BYTES: usize = 256 * 1024;

/// Why a call is moved away from its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossReason {
    /// The upstream is lost, as another call or a probe found out.
    UpstreamLost,
    /// The call makes no progress, though no loss of its upstream was found.
    NoProgress,
}

/// Watches the upstream of one call. One watch serves all events of an answer, so
/// that no report of a loss or outage is missed between two events.
#[derive(Debug)]
pub(crate) struct LossWatch {
    upstream: Arc<Upstream>,
    watching_since: Instant,
    losses: watch::Receiver<u64>,
    /// Changes when other upstreams register with the address.
    conflicts: watch::Receiver<Vec<Arc<Upstream>>>,
    outages: broadcast::Receiver<DataCentreId>,
    /// Until this time the upstream is probed after a shorter silence, because an
    /// outage of its data centre was suspected.
    outage_alert_until: Option<Instant>,
    /// Until this time the call stays at its upstream, whatever happens to it.
    held_until: Option<Instant>,
}

impl LossWatch {
    pub(crate) fn new(directory: &Directory, upstream: Arc<Upstream>) -> Self {
        Self {
            watching_since: Instant::now(),
            losses: upstream.subscribe_losses(),
            conflicts: upstream.subscribe_conflicts(),
            outages: directory.subscribe_outages(),
            outage_alert_until: None,
            held_until: None,
            upstream,
        }
    }

    /// Keeps the call at its upstream for [`HOLD_DURATION`], because it can't be
    /// moved to another one now.
    pub(crate) fn hold(&mut self) {
        self.held_until = Some(Instant::now() + HOLD_DURATION);
    }

    async fn wait_while_held(&mut self) {
        let Some(held_until) = self.held_until else {
            return;
        };
        tokio::time::sleep_until(held_until.into()).await;
        self.held_until = None;
        self.losses.mark_unchanged();
    }

    /// Waits until the call should be moved away from its upstream: until the
    /// upstream is lost, or answers probes but has sent nothing for too long since the
    /// start of this wait. A silent engine is probed before that.
    pub(crate) async fn wait_for_loss(
        &mut self,
        directory: &Directory,
        phase: StreamPhase,
        metrics: &Metrics,
    ) -> LossReason {
        self.wait_while_held().await;
        let started_at = Instant::now();
        let mut checked_at = started_at;
        loop {
            let is_alerted = self
                .outage_alert_until
                .is_some_and(|at| at > Instant::now());
            let delay = probe_delay(phase, is_alerted);
            let next_check = checked_at + delay;
            tokio::select! {
                _ = self.losses.changed() => return LossReason::UpstreamLost,
                outage = self.outages.recv() => {
                    if outage.is_ok_and(|centre| centre == self.upstream.entry.data_centre) {
                        self.outage_alert_until = Some(Instant::now() + OUTAGE_ALERT_DURATION);
                    }
                    continue;
                }
                // Its sender lives as long as the upstream.
                Ok(()) = self.conflicts.changed() => {
                    let is_silent = self.silence(Instant::now()) >= delay;
                    if is_silent && self.is_replaced(directory, metrics).await {
                        return LossReason::UpstreamLost;
                    }
                    continue;
                }
                () = tokio::time::sleep_until(next_check.into()) => {}
            }
            let is_silent = self.silence(Instant::now()) >= delay;
            if is_silent && self.is_lost(directory, metrics).await {
                return LossReason::UpstreamLost;
            }
            checked_at = Instant::now();
            let may_go_on = (delay..SOUND_SILENCE_MAX).contains(&self.silence(checked_at));
            if started_at.elapsed() >= stall_timeout(phase) && !may_go_on {
                return LossReason::NoProgress;
            }
        }
    }

    /// Asks for the report of the upstream, which is silent and with whose address another one
    /// has registered, and returns whether the upstream has ended. The streams there share
    /// their requests. Unlike after silence alone, something is expected to answer.
    async fn is_replaced(&self, directory: &Directory, metrics: &Metrics) -> bool {
        let upstream = &self.upstream;
        while !upstream.begin_probe(Instant::now()) {
            tokio::time::sleep(SHARED_PROBE_CHECK_INTERVAL).await;
            if self.losses.has_changed().unwrap_or(true) {
                return true;
            }
            if upstream.later_conflicts().is_empty() {
                return false;
            }
        }
        if upstream.counts_probes() {
            return false;
        }
        metrics.add(Counter::EngineProbes, 1);
        let began_at = Instant::now();
        let Ok(report) = fetch_report_or_connect(upstream).await else {
            return false;
        };
        if let Err(replaced) = check_start(upstream, &report) {
            directory.apply_probe_failure(upstream, replaced, "claimed", Instant::now());
            return true;
        }
        if report.born_unix_ms != 0 {
            directory.record_present(upstream, began_at, "report");
        }
        false
    }

    /// Probes the upstream, which is silent, and returns whether it is lost: its host did
    /// not take a connection or broke it, or the probe met silence like one before, after
    /// a longer silence than a sound upstream's. The streams at an upstream share their
    /// probes.
    async fn is_lost(&self, directory: &Directory, metrics: &Metrics) -> bool {
        let upstream = &self.upstream;
        let now = Instant::now();
        let was_probed = upstream.has_silent_probe(now);
        let is_probe_due = !was_probed || self.silence(now) >= SOUND_SILENCE_MAX;
        if !is_probe_due || !upstream.begin_probe(now) {
            return false;
        }
        metrics.add(Counter::EngineProbes, 1);
        let Err(failure) = check_alive(upstream).await else {
            return false;
        };
        let now = Instant::now();
        directory.apply_probe_failure(upstream, failure, "no_report", now);
        if failure != ProbeFailure::Silent {
            return true;
        }
        let is_lost = was_probed && self.silence(now) >= SOUND_SILENCE_MAX;
        if is_lost {
            directory.mark_lost(upstream, "silent", now);
        }
        is_lost
    }

    /// Time since the upstream was heard, or since this watch began.
    fn silence(&self, now: Instant) -> Duration {
        let watched = now.saturating_duration_since(self.watching_since);
        let silence = self.upstream.time_since_contact(now);
        silence.map_or(watched, |silence| silence.min(watched))
    }
}

/// Why a probe shows no life of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeFailure {
    /// The engine's host completes a handshake, but the engine does not answer. It may
    /// stand still for a moment and go on.
    Silent,
    /// The engine's host completes no handshake: it is lost or cut off.
    Unreachable,
    /// The connection was refused or broken, or the answer is no report.
    Broken,
    /// Another incarnation reports from the address: this one has ended, or was never there.
    Replaced,
}

/// Whether an engine answers a probe. One that rests or limits its requests is only
/// connected to, because a probe counts like a call.
pub(crate) async fn responds(upstream: &Arc<Upstream>) -> bool {
    check_alive(upstream).await.is_ok()
}

/// Probes an engine like [`responds`], and returns what the probe met if it shows no
/// life.
pub(crate) async fn check_alive(upstream: &Arc<Upstream>) -> Result<(), ProbeFailure> {
    if !upstream.counts_probes() {
        let probed = probe_engine(upstream).await;
        let probed = probed.and_then(|report| check_start(upstream, &report));
        // An engine that asks for rest is alive, whatever became of its report.
        if probed != Err(ProbeFailure::Broken) || !upstream.is_resting() {
            return probed;
        }
    }
    let connecting = tokio::time::timeout(PROBE_TIMEOUT, upstream.pool.keeps_connection());
    match connecting.await {
        Ok(true) => Ok(()),
        Ok(false) => Err(ProbeFailure::Broken),
        Err(_) => Err(ProbeFailure::Unreachable),
    }
}

/// Whether the report may be that of the incarnation that registered.
fn check_start(upstream: &Upstream, report: &EngineReport) -> Result<(), ProbeFailure> {
    let (entry, reported) = (&upstream.entry, report.born_unix_ms);
    if entry.may_have_started_at(reported) {
        return Ok(());
    }
    log::info!(
        "event=another_start_reported upstream={} born={} reported={reported}",
        entry.id,
        entry.born_unix_ms
    );
    Err(ProbeFailure::Replaced)
}

/// Probes an engine by requesting its report.
///
/// One that a probe found silent gets no other before [`SOUND_SILENCE_MAX`] has passed: a
/// process that stands still accepts nothing, and the probes of all nodes would fill its
/// listen queue, so that it looked unreachable. The report that was requested is awaited
/// instead.
pub(crate) async fn probe_engine(upstream: &Arc<Upstream>) -> Result<EngineReport, ProbeFailure> {
    if upstream.is_report_awaited(Instant::now()) {
        return Err(ProbeFailure::Silent);
    }
    let probed = fetch_report_or_connect(upstream).await;
    if let Err(failure) = &probed {
        log::info!(
            "event=probe_unanswered upstream={} outcome={failure:?} heard_ms_ago={:?}",
            upstream.entry.id,
            upstream
                .time_since_contact(Instant::now())
                .map(|silence| silence.as_millis())
        );
    }
    probed
}

/// Requests the report over a connection of the pool. If that is an idle one and the
/// report does not come soon, requests it over a new one, which shows whether the
/// engine's host completes a handshake.
async fn fetch_report_or_connect(upstream: &Arc<Upstream>) -> Result<EngineReport, ProbeFailure> {
    let deadline = tokio::time::Instant::now() + PROBE_TIMEOUT;
    let connection = connect(upstream.pool.take(), deadline).await?;
    let may_be_broken = connection.is_reused();
    let mut fetching = spawn_fetch(upstream, connection);
    if may_be_broken {
        let answer_time = deadline - HANDSHAKE_TIMEOUT;
        if let Ok(report) = tokio::time::timeout_at(answer_time, &mut fetching).await {
            return report_of(report);
        }
        let connection = tokio::select! {
            biased;
            report = &mut fetching => return report_of(report),
            connection = connect(upstream.pool.open(), deadline) => connection?,
        };
        fetching = spawn_fetch(upstream, connection);
    }
    match tokio::time::timeout_at(deadline, fetching).await {
        Ok(report) => report_of(report),
        Err(_) => Err(ProbeFailure::Silent),
    }
}

async fn connect(
    connecting: impl Future<Output = Result<Connection, SendFailure>>,
    deadline: tokio::time::Instant,
) -> Result<Connection, ProbeFailure> {
    match tokio::time::timeout_at(deadline, connecting).await {
        Ok(connection) => connection.map_err(|_| ProbeFailure::Broken),
        Err(_) => Err(ProbeFailure::Unreachable),
    }
}

/// Requests the report in a task, which records the contact also if the report comes
/// after the probe has ended: an engine that stood still is heard again.
fn spawn_fetch(
    upstream: &Arc<Upstream>,
    connection: Connection,
) -> JoinHandle<Option<EngineReport>> {
    let upstream = upstream.clone();
    tokio::spawn(async move {
        let fetching = fetch_report(&upstream, connection);
        let fetched = tokio::time::timeout(SOUND_SILENCE_MAX, fetching).await;
        let (report, life) = fetched.ok().flatten()?;
        let now = Instant::now();
        upstream.record_contact(now);
        upstream.record_reported_start(ReportedStart::new(report.born_unix_ms, life, now));
        Some(report)
    })
}

fn report_of(
    fetched: Result<Option<EngineReport>, JoinError>,
) -> Result<EngineReport, ProbeFailure> {
    // The task fails only if it panics.
    fetched.ok().flatten().ok_or(ProbeFailure::Broken)
}

/// Requests the report. The connection that brought it belongs to the engine's incarnation.
async fn fetch_report(
    upstream: &Upstream,
    connection: Connection,
) -> Option<(EngineReport, ConnectionLife)> {
    let request = control_request(REPORT_PATH)?;
    let response = send_over(upstream, connection, request).await?;
    let is_ok = response.status == StatusCode::OK;
    let report = is_ok.then(|| read_report(&response.body))??;
    Some((report, response.life))
}

/// A request for the path that is not a caller's call; `None` if the path is invalid.
pub(super) fn control_request(path: &str) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    Some(request)
}

/// Sends a request that is not a caller's call, and reads the whole answer.
pub(crate) async fn send_control_request(
    upstream: &Upstream,
    request: Request<Full<Bytes>>,
) -> Option<ControlResponse> {
    let connection = upstream.pool.take().await.ok()?;
    send_over(upstream, connection, request).await
}

/// Sends the request over a connection. If the answer there is one to a call, written
/// again, sends it over a new connection, on which it is the only request.
async fn send_over(
    upstream: &Upstream,
    connection: Connection,
    mut request: Request<Full<Bytes>>,
) -> Option<ControlResponse> {
    let host = upstream.entry.address.to_string().parse().ok()?;
    request.headers_mut().insert(HOST, host);
    if upstream.is_resting() {
        upstream.pool.put(connection, None);
        return None;
    }
    if let ControlAnswer::Own(response) =
        exchange_over(upstream, connection, request.clone()).await?
    {
        return Some(response);
    }
    let connection = upstream.pool.open().await.ok()?;
    match exchange_over(upstream, connection, request).await? {
        ControlAnswer::Own(response) => Some(response),
        ControlAnswer::OfCall => None,
    }
}

/// The answer to a request that is no call.
pub(crate) struct ControlResponse {
    pub(crate) status: StatusCode,
    /// Id of the upstream that answered, if the answer states it.
    pub(crate) upstream: Option<UpstreamId>,
    pub(crate) body: Bytes,
    /// Of the connection that brought it.
    life: ConnectionLife,
}

/// What arrived where the answer to a request that is no call was due.
enum ControlAnswer {
    Own(ControlResponse),
    /// An answer that names a call. Nothing in it is about this request.
    OfCall,
}

async fn exchange_over(
    upstream: &Upstream,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Option<ControlAnswer> {
    let response = connection.send(request).await.ok()?;
    let headers = response.headers();
    if owner(headers, None) == AnswerOwner::AnotherCall {
        return Some(ControlAnswer::OfCall);
    }
    let status = response.status();
    let answering = actual_upstream(headers);
    if let Some(rest) = stated_rest(status, headers) {
        upstream.record_rest(rest);
    }
    let body = Limited::new(response.into_body(), CONTROL_ANSWER_MAX_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    let life = connection.life();
    upstream.pool.put(connection, None);
    Some(ControlAnswer::Own(ControlResponse {
        status,
        upstream: answering,
        body,
        life,
    }))
}

impl<N: NodeContext> Forwarder<N> {
    /// Probes an engine whose connection broke. If the engine is lost, informs all
    /// other calls that run at it and all runs that have a replica at it.
    pub(crate) fn probe_after_disconnect(self: &Arc<Self>, upstream: &Arc<Upstream>) {
        let (forwarder, upstream) = (self.clone(), upstream.clone());
        tokio::spawn(async move {
            forwarder.metrics.add(Counter::EngineProbes, 1);
            if let Err(failure) = check_alive(&upstream).await {
                let (directory, now) = (&forwarder.directory, Instant::now());
                directory.apply_probe_failure(&upstream, failure, "broke", now);
            }
        });
    }
}
