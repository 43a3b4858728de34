//! A stand-in for the platform: the system that hosts the VMs and whose HTTP API
//! stores versioned objects.
//!
//! A write names the version that it replaces and fails if the object has
//! another one. A watch is a read that waits until an object has a newer version
//! than the client knows. The list of VMs is one of the objects.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::http::{self, Handler, HttpResponse};
use crate::id::Version;
use crate::listener::bind;
use crate::shutdown::Shutdown;
use crate::stand_in::server::StandIn;
use crate::store::object_api::{VMS_KEY, Vm, parse_entity_tag};
use crate::store::object_store::{ABSENT, Object};

/// Largest request body, and so the largest object, that the stand-in accepts.
const VALUE_MAX_BYTES: usize = 1024 * 1024;
/// Delay before a request is refused while [`PlatformFaults::down`] is set.
const DOWN_DELAY: Duration = Duration::from_millis(5);

/// Faults that a test can inject into the stand-in platform.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Refuse every request for objects, with status 503.
    pub down: bool,
    /// Delay before every request for objects is handled.
    pub slow_ms: u64,
    /// How many of a thousand writes are executed and then lose their reply, on
    /// average; the client gets a gateway time-out (504).
    pub lost_replies_per_mille: u32,
    /// How many of a thousand reads return the previous version of the object,
    /// on average.
    pub stale_reads_per_mille: u32,
    /// Time until a change of the VM list can be read.
    pub vm_lag_ms: u64,
}

/// Number of requests that the stand-in platform has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Requests that read an object or list keys.
    pub read_count: u64,
    /// Writes, including those refused because the object had another version.
    pub write_count: u64,
    /// Watch requests, each counted once however long it waits.
    pub watch_count: u64,
}

#[derive(Debug, Default)]
struct Entry {
    current: Option<Object>,
    previous: Option<Object>,
}

#[derive(Debug, Default)]
struct Contents {
    entries: BTreeMap<String, Entry>,
    faults: PlatformFaults,
}

/// A stand-in platform. All connections to its server share this object.
#[derive(Debug)]
pub struct StandInPlatform {
    contents: Mutex<Contents>,
    /// Number of writes so far. A change wakes the watches.
    revision: watch::Sender<u64>,
    read_count: AtomicU64,
    write_count: AtomicU64,
    watch_count: AtomicU64,
}

impl StandInPlatform {
    /// Starts a stand-in on `address` whose VM list is `vms`.
    pub fn start(address: SocketAddr, vms: &[Vm]) -> io::Result<(Arc<Self>, StandIn)> {
        let platform = Arc::new(Self {
            contents: Mutex::new(Contents::default()),
            revision: watch::Sender::new(0),
            read_count: AtomicU64::new(0),
            write_count: AtomicU64::new(0),
            watch_count: AtomicU64::new(0),
        });
        platform.write_vms(vms);
        let (trigger, shutdown) = Shutdown::channel();
        let stand_in = StandIn::start(
            bind(address)?,
            platform.clone(),
            Arc::new(trigger),
            shutdown,
        )?;
        Ok((platform, stand_in))
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.contents().faults = faults;
    }

    /// Replaces the VM list after [`PlatformFaults::vm_lag_ms`].
    pub fn set_vms(self: &Arc<Self>, vms: Vec<Vm>) {
        let lag = Duration::from_millis(self.contents().faults.vm_lag_ms);
        let platform = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            platform.write_vms(&vms);
        });
    }

    /// Number of requests since the start.
    pub fn counts(&self) -> PlatformCounts {
        PlatformCounts {
            read_count: self.read_count.load(Ordering::Relaxed),
            write_count: self.write_count.load(Ordering::Relaxed),
            watch_count: self.watch_count.load(Ordering::Relaxed),
        }
    }

    /// Reads the current version of an object, unaffected by faults and
    /// uncounted.
    pub fn object(&self, key: &str) -> Option<Object> {
        self.contents().entries.get(key)?.current.clone()
    }

    /// Lists the keys with a prefix, unaffected by faults and uncounted.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let contents = self.contents();
        let keys = contents.entries.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_vms(&self, vms: &[Vm]) {
        let body = serde_json::to_vec(vms).unwrap_or_default();
        let current = self.object(VMS_KEY).map_or(ABSENT, |o| o.version);
        let _ = self.write(VMS_KEY, current, body.into());
    }

    fn write(&self, key: &str, expected: Version, body: Bytes) -> Option<Version> {
        let mut contents = self.contents();
        let entry = contents.entries.entry(key.to_owned()).or_default();
        let current = entry.current.as_ref().map_or(ABSENT, |o| o.version);
        if current != expected {
            return None;
        }
        let version = current + 1;
        entry.previous = entry.current.replace(Object { version, body });
        drop(contents);
        self.revision.send_modify(|revision| *revision += 1);
        Some(version)
    }

    fn read(&self, key: &str) -> Option<Object> {
        let contents = self.contents();
        let entry = contents.entries.get(key)?;
        let is_stale =
            rand::rng().random_ratio(contents.faults.stale_reads_per_mille.min(1000), 1000);
        if is_stale && entry.previous.is_some() {
            return entry.previous.clone();
        }
        entry.current.clone()
    }

    async fn watch(&self, key: &str, after: Version, wait: Duration) -> Option<Object> {
        let mut revision = self.revision.subscribe();
        let newer = async {
            loop {
                revision.borrow_and_update();
                match self.object(key) {
                    Some(object) if object.version > after => return object,
                    _ => {}
                }
                if revision.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        tokio::time::timeout(wait, newer).await.ok()
    }

    async fn put(&self, key: &str, request: Request<Incoming>) -> HttpResponse {
        let expected = expected_version(&request);
        let body = match http::read_body(request.into_body(), VALUE_MAX_BYTES).await {
            Ok(body) => body,
            Err(error) => return http::error_response(&error),
        };
        let Some(expected) = expected else {
            return empty_response(StatusCode::PRECONDITION_REQUIRED);
        };
        let lost_per_mille = self.contents().faults.lost_replies_per_mille.min(1000);
        let written_version = self.write(key, expected, body);
        if rand::rng().random_ratio(lost_per_mille, 1000) {
            return empty_response(StatusCode::GATEWAY_TIMEOUT);
        }
        match written_version {
            Some(version) => object_response(version, Bytes::new()),
            None => empty_response(StatusCode::PRECONDITION_FAILED),
        }
    }

    async fn route(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or("").to_owned();
        if let Some(command) = path.strip_prefix("/stand-in/") {
            return self.handle_control(command, request).await;
        }
        let faults = self.contents().faults;
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if faults.down {
            tokio::time::sleep(DOWN_DELAY).await;
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        if let Some(key) = path.strip_prefix("/watch/") {
            self.watch_count.fetch_add(1, Ordering::Relaxed);
            let after = query_number(&query, "after");
            let wait = Duration::from_millis(query_number(&query, "wait_ms"));
            let newer = self.watch(key, after, wait).await;
            return newer.map_or(empty_response(StatusCode::NOT_MODIFIED), |o| {
                object_response(o.version, o.body)
            });
        }
        let Some(key) = path.strip_prefix("/objects") else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let key = key.trim_start_matches('/');
        if request.method() == Method::PUT {
            self.write_count.fetch_add(1, Ordering::Relaxed);
            return self.put(key, request).await;
        }
        self.read_count.fetch_add(1, Ordering::Relaxed);
        if key.is_empty() {
            let prefix = query.strip_prefix("prefix=").unwrap_or("");
            return http::json(StatusCode::OK, &self.keys(prefix));
        }
        let object = self.read(key);
        object.map_or(empty_response(StatusCode::NOT_FOUND), |o| {
            object_response(o.version, o.body)
        })
    }

    /// Answers a request by which a test controls the platform. Injected faults
    /// do not affect it.
    async fn handle_control(
        self: Arc<Self>,
        command: &str,
        request: Request<Incoming>,
    ) -> HttpResponse {
        let body = match http::read_body(request.into_body(), VALUE_MAX_BYTES).await {
            Ok(body) => body,
            Err(error) => return http::error_response(&error),
        };
        match command {
            "counts" => http::json(StatusCode::OK, &self.counts()),
            "faults" => match http::parse_json(&body) {
                Ok(faults) => {
                    self.set_faults(faults);
                    empty_response(StatusCode::OK)
                }
                Err(error) => http::error_response(&error),
            },
            "vms" => match http::parse_json(&body) {
                Ok(vms) => {
                    self.set_vms(vms);
                    empty_response(StatusCode::OK)
                }
                Err(error) => http::error_response(&error),
            },
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

impl Handler for StandInPlatform {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        self.route(request).await
    }
}

fn expected_version(request: &Request<Incoming>) -> Option<Version> {
    if request.headers().contains_key(IF_NONE_MATCH) {
        return Some(ABSENT);
    }
    parse_entity_tag(request.headers().get(IF_MATCH)?)
}

fn query_number(query: &str, name: &str) -> u64 {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
}

/// Makes a response with a status and an empty body.
pub(crate) fn empty_response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(http::full(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn object_response(version: Version, body: Bytes) -> HttpResponse {
    let mut response = Response::new(http::full(body));
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}
