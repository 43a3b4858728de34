//! The answers to calls that this node rejects, refuses or gives up.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use rand::RngExt;

use super::forwarder::{CALLER_TIME_DEFAULT, Forwarder, NodeContext};
use super::request::Call;
use crate::error::Error;
use crate::http::{self, HttpResponse};
use crate::observe::metrics::Counter;
use crate::platform::call::CallHeaders;
use crate::policy::failure_response::{
    GiveUpReason, Progress, Unavailable, error_kind, retry_after,
};

/// Time over which refused callers return after the earliest time that they were
/// given.
const REFUSED_RETURN_SPREAD: Duration = Duration::from_secs(1);

impl<N: NodeContext> Forwarder<N> {
    /// Answers a call that is not admitted.
    pub(super) fn reject(&self, headers: &CallHeaders, error: &Error) -> HttpResponse {
        self.metrics.add(Counter::CallsRejected, 1);
        log::info!(
            "event=call_rejected call={} kind={} config={} {}",
            headers.id(),
            error.kind.name(),
            self.config_version(),
            self.node.config_evidence(self.config_version())
        );
        let mut response = http::error_response(error);
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            let max_wait = headers.max_wait.unwrap_or(CALLER_TIME_DEFAULT);
            let missing = if self.route_table.load().is_some() {
                Unavailable::Upstreams
            } else {
                Unavailable::Configuration
            };
            set_retry_after(
                &mut response,
                retry_after(missing, max_wait, random_fraction()),
            );
        }
        response
    }

    /// Refuses a call that has not been sent, because calls of its kind crash
    /// upstreams. The caller may return after `wait`.
    pub(super) fn refuse(&self, call: &Call, reason: GiveUpReason, wait: Duration) -> HttpResponse {
        let cause = "upstreams crashed under such requests";
        let mut response = self.give_up(call, reason, Progress::NotRun, cause);
        let spread = REFUSED_RETURN_SPREAD.mul_f64(random_fraction());
        set_retry_after(&mut response, wait + spread);
        response
    }

    /// Gives up a call that no upstream takes now. If it has not run, its caller
    /// may return after `wait`.
    pub(crate) fn refuse_over_limit(
        &self,
        call: &Call,
        progress: Progress,
        wait: Duration,
    ) -> HttpResponse {
        let cause = "all upstreams of the service rest or have reached their limits";
        let mut response = self.give_up(call, GiveUpReason::NoUpstream, progress, cause);
        if progress == Progress::NotRun {
            set_retry_after(&mut response, wait);
        }
        response
    }

    /// Builds the final answer to a call that is given up, and logs it.
    pub(crate) fn give_up(
        &self,
        call: &Call,
        reason: GiveUpReason,
        progress: Progress,
        cause: &str,
    ) -> HttpResponse {
        let kind = error_kind(reason, progress);
        self.metrics.add(Counter::CallsGivenUp, 1);
        log::warn!(
            "event=call_given_up call={} route={} service={} why={reason:?} progress={progress:?} cause={cause:?} age_ms={} left_ms={} status={} resumes={}",
            call.id(),
            call.matched.route.name,
            call.service,
            call.age().as_millis(),
            call.time_left(Instant::now()).as_millis(),
            kind.answer().status.as_u16(),
            call.resumed_id().unwrap_or("-")
        );
        let mut response = http::error_response(&Error::new(kind, cause));
        if progress == Progress::NotRun {
            let time_left = call.time_left(Instant::now());
            let after = retry_after(Unavailable::Upstreams, time_left, random_fraction());
            set_retry_after(&mut response, after);
        }
        response
    }
}

/// Sets `Retry-After`, in seconds with two decimals.
fn set_retry_after(response: &mut HttpResponse, after: Duration) {
    if let Ok(value) = HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}

fn random_fraction() -> f64 {
    rand::rng().random_range(0.0..1.0)
}
