//! HTTP client of the object API of the platform, the outside system that runs
//! the VMs and stores objects.
//!
//! An object's version is sent as an entity tag: `ETag` in responses, `If-Match`
//! and `If-None-Match: *` in conditional writes. `docs/PROTOCOLS.md` describes
//! the API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ETAG, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{self, HttpClient, SendError};
use crate::id::{DataCentreId, Version};
use crate::store::object_store::{ABSENT, Object, ObjectStore, StoreError};

/// Key of the confirmed configuration.
pub(crate) const CONFIG_KEY: &str = "config/current";
/// Key of the platform's list of VMs.
pub(crate) const VMS_KEY: &str = "vms";

/// Time-out of a read or a write, after which its outcome counts as unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How much longer than the wait that it requests a long poll may take before it
/// times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// What a VM on the platform's list is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs a model engine.
    Runner {
        /// Whether the engine refuses orders (which models to load) whose fence
        /// is lower than one it has seen.
        checks_fence: bool,
    },
    /// Runs an instance of a plain service, whose calls are ordinary HTTP calls
    /// and not model generations.
    Service {
        /// Name of the service.
        service: String,
    },
}

/// Whether a VM on the platform's list takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM takes new work.
    Live,
    /// The VM will be removed and takes no new work.
    Leaving,
}

/// One entry of the platform's list of VMs. The list may name VMs that have
/// stopped and lack VMs that have just started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name of the VM, and of the runner or service instance on it.
    pub vm: String,
    /// Address at which the runner or service instance listens.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// What the VM is for.
    pub role: VmRole,
    /// State of the VM.
    pub state: VmState,
}

/// HTTP client of the platform.
#[derive(Clone, Debug)]
pub(crate) struct PlatformClient {
    address: SocketAddr,
    client: HttpClient,
}

impl PlatformClient {
    /// Makes a client, which connects when it is first used.
    pub(crate) fn new(address: SocketAddr, client: HttpClient) -> Self {
        Self { address, client }
    }

    /// Long poll: waits up to `wait` for a version of the object at `key` above
    /// `after`. `None` if there was none in that time.
    pub(crate) async fn watch(
        &self,
        key: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Option<Object>, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!("/watch/{key}?after={after}&wait_ms={wait_ms}");
        let response = self
            .call(
                Method::GET,
                &path,
                Bytes::new(),
                None,
                wait + WATCH_TIMEOUT_MARGIN,
            )
            .await?;
        read_object(response)
    }

    /// Lists the keys that begin with `prefix`, in order.
    pub(crate) async fn list(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        let path = format!("/objects?prefix={prefix}");
        let response = self
            .call(Method::GET, &path, Bytes::new(), None, CALL_TIMEOUT)
            .await?;
        serde_json::from_slice(response.body()).map_err(|_| StoreError::Unavailable)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        condition: Option<Version>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let mut request = http::request(method, self.address, path, body);
        if let Some(expected) = condition {
            set_condition(&mut request, expected);
        }
        let exchange = self.client.exchange(self.address, request, timeout);
        let response = exchange.await.map_err(|e| match e {
            SendError::NotSent(_) => StoreError::Unavailable,
            SendError::NoAnswer(_) => StoreError::Unknown,
        })?;
        match response.status() {
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict),
            StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
            status if status.is_server_error() => Err(StoreError::Unknown),
            _ => Ok(response),
        }
    }
}

impl ObjectStore for PlatformClient {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let path = format!("/objects/{key}");
        let response = self
            .call(Method::GET, &path, Bytes::new(), None, CALL_TIMEOUT)
            .await?;
        read_object(response)
    }

    async fn put(&self, key: &str, expected: Version, body: Bytes) -> Result<Version, StoreError> {
        let path = format!("/objects/{key}");
        let response = self
            .call(Method::PUT, &path, body, Some(expected), CALL_TIMEOUT)
            .await?;
        version_of(&response).ok_or(StoreError::Unknown)
    }
}

fn set_condition(request: &mut Request<Full<Bytes>>, expected: Version) {
    let headers = request.headers_mut();
    if expected == ABSENT {
        headers.insert(IF_NONE_MATCH, HeaderValue::from_static("*"));
        return;
    }
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{expected}\"")) {
        headers.insert(IF_MATCH, tag);
    }
}

fn read_object(response: Response<Bytes>) -> Result<Option<Object>, StoreError> {
    match response.status() {
        StatusCode::OK => {
            let version = version_of(&response).ok_or(StoreError::Unavailable)?;
            let body = response.into_body();
            Ok(Some(Object { version, body }))
        }
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
        _ => Err(StoreError::Unavailable),
    }
}

fn version_of(response: &Response<Bytes>) -> Option<Version> {
    parse_entity_tag(response.headers().get(ETAG)?)
}

/// Reads a version from an entity tag.
pub(crate) fn parse_entity_tag(tag: &HeaderValue) -> Option<Version> {
    tag.to_str().ok()?.trim_matches('"').parse().ok()
}
