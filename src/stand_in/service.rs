//! A stand-in for a plain service, one whose calls get a single response instead
//! of a stream of tokens, and must not be executed twice.
//!
//! The ledger of a stand-in records each executed call, so that tests can check
//! that a call was executed at most once.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};

use crate::fleet::service::IDEMPOTENCY_KEY;
use crate::http::{self, Handler, HttpResponse};
use crate::listener::bind;
use crate::shutdown::{Shutdown, ShutdownTrigger};
use crate::stand_in::platform::empty_response;
use crate::stand_in::server::{FreezeSwitch, StandIn};

const BODY_MAX_BYTES: usize = 1024 * 1024;

/// Faults that a test can inject into a stand-in service.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Stop at once and close all connections, as if the process had been
    /// killed.
    pub die: bool,
    /// Stop as with `die`, but on the next call, before it is executed.
    pub die_before: bool,
    /// Stop as with `die`, but on the next call, after it is executed and before
    /// it is answered.
    pub die_after: bool,
    /// Stop answering, but leave connections open.
    pub freeze: bool,
    /// Delay before every call is executed.
    pub slow_ms: u64,
}

/// One executed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executed {
    /// The caller's idempotency key; empty if the call had none.
    pub key: String,
    /// Path of the call.
    pub path: String,
    /// Body of the call.
    pub body: Bytes,
}

#[derive(Debug, Default)]
struct ServiceState {
    faults: ServiceFaults,
    ledger: Vec<Executed>,
    executed_at: Vec<Instant>,
}

/// A stand-in service. All connections to its server share this object.
#[derive(Debug)]
pub struct StandInService {
    state: Mutex<ServiceState>,
    freeze_switch: FreezeSwitch,
    shutdown_trigger: Arc<ShutdownTrigger>,
}

impl StandInService {
    /// Starts a service on `address`.
    pub fn start(address: SocketAddr) -> io::Result<(Arc<Self>, StandIn)> {
        let (trigger, shutdown) = Shutdown::channel();
        let trigger = Arc::new(trigger);
        let service = Arc::new(Self {
            state: Mutex::new(ServiceState::default()),
            freeze_switch: FreezeSwitch::new(),
            shutdown_trigger: trigger.clone(),
        });
        let stand_in = StandIn::start(bind(address)?, service.clone(), trigger, shutdown)?;
        Ok((service, stand_in))
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state().faults = faults;
        self.freeze_switch.set(faults.freeze);
        if faults.die {
            self.shutdown_trigger.abort();
        }
    }

    /// All executed calls, in the order of execution.
    pub fn ledger(&self) -> Vec<Executed> {
        self.state().ledger.clone()
    }

    /// When each call of the ledger was executed, in the same order, for tests
    /// that check call histories.
    pub fn executed_at(&self) -> Vec<Instant> {
        self.state().executed_at.clone()
    }

    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn route(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let path = request.uri().path().to_owned();
        let key = http::header(&request, IDEMPOTENCY_KEY)
            .unwrap_or("")
            .to_owned();
        if path == "/stand-in/ledger" {
            return http::json(StatusCode::OK, &self.ledger());
        }
        let body = match http::read_body(request.into_body(), BODY_MAX_BYTES).await {
            Ok(body) => body,
            Err(error) => return http::error_response(&error),
        };
        if path == "/stand-in/faults" {
            return match http::parse_json(&body) {
                Ok(faults) => {
                    self.set_faults(faults);
                    empty_response(StatusCode::OK)
                }
                Err(error) => http::error_response(&error),
            };
        }
        self.execute(Executed { key, path, body }).await
    }

    async fn execute(&self, call: Executed) -> HttpResponse {
        self.freeze_switch.wait_while_frozen().await;
        let faults = self.state().faults;
        if faults.die_before {
            self.shutdown_trigger.abort();
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        let receipt = {
            let mut state = self.state();
            state.ledger.push(call.clone());
            state.executed_at.push(Instant::now());
            state.ledger.len()
        };
        if faults.die_after {
            self.shutdown_trigger.abort();
            std::future::pending::<()>().await;
        }
        let answer = Receipt {
            receipt,
            key: call.key,
        };
        http::json(StatusCode::OK, &answer)
    }
}

/// Answer to an executed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Position of the call in the ledger, starting at one.
    pub receipt: usize,
    /// Idempotency key of the call.
    pub key: String,
}

impl Handler for StandInService {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        self.route(request).await
    }
}
