//! A stand-in for a plain service whose calls may not be repeated.
//!
//! Its ledger is the judge of "at most once": it notes each call it executed.

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
use crate::shutdown::{Shutdown, ShutdownTrigger};
use crate::stand_in::platform::status;
use crate::stand_in::server::{Freezer, StandIn, bind};

const BODY_MAX_BYTES: usize = 1024 * 1024;

/// Faults a test can order a service to have.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Die at once.
    pub die: bool,
    /// Die on the next call, before it is executed.
    pub die_before: bool,
    /// Die on the next call, after it is executed and before the answer.
    pub die_after: bool,
    /// Stop answering, with connections left open.
    pub freeze: bool,
    /// Delay of every call.
    pub slow_ms: u64,
}

/// One executed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executed {
    /// The caller's idempotency key.
    pub key: String,
    /// Path of the call.
    pub path: String,
    /// Body of the call.
    pub body: Bytes,
}

#[derive(Debug, Default)]
struct Books {
    faults: ServiceFaults,
    ledger: Vec<Executed>,
    executed_at: Vec<Instant>,
}

/// A stand-in service, shared by its connections.
#[derive(Debug)]
pub struct StandInService {
    books: Mutex<Books>,
    freezer: Freezer,
    trigger: Arc<ShutdownTrigger>,
}

impl StandInService {
    /// Starts a service on `address`.
    pub fn start(address: SocketAddr) -> io::Result<(Arc<Self>, StandIn)> {
        let (trigger, shutdown) = Shutdown::channel();
        let trigger = Arc::new(trigger);
        let service = Arc::new(Self {
            books: Mutex::new(Books::default()),
            freezer: Freezer::new(),
            trigger: trigger.clone(),
        });
        let stand_in = StandIn::start(bind(address)?, service.clone(), trigger, shutdown)?;
        Ok((service, stand_in))
    }

    /// Orders the faults from now on.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.books().faults = faults;
        self.freezer.set(faults.freeze);
        if faults.die {
            self.trigger.abort();
        }
    }

    /// Every call executed so far, in order.
    pub fn ledger(&self) -> Vec<Executed> {
        self.books().ledger.clone()
    }

    /// When each call of the ledger was executed, for history checkers.
    pub fn executed_at(&self) -> Vec<Instant> {
        self.books().executed_at.clone()
    }

    fn books(&self) -> MutexGuard<'_, Books> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
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
                    status(StatusCode::OK)
                }
                Err(error) => http::error_response(&error),
            };
        }
        self.execute(Executed { key, path, body }).await
    }

    async fn execute(&self, call: Executed) -> HttpResponse {
        self.freezer.thawed().await;
        let faults = self.books().faults;
        if faults.die_before {
            self.trigger.abort();
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        let receipt = {
            let mut books = self.books();
            books.ledger.push(call.clone());
            books.executed_at.push(Instant::now());
            books.ledger.len()
        };
        if faults.die_after {
            self.trigger.abort();
            std::future::pending::<()>().await;
        }
        let answer = Receipt {
            receipt,
            key: call.key,
        };
        http::json(StatusCode::OK, &answer)
    }
}

/// What the stand-in answers to an executed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Position in the ledger, from one.
    pub receipt: usize,
    /// The key of the call.
    pub key: String,
}

impl Handler for StandInService {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        self.route(request).await
    }
}
