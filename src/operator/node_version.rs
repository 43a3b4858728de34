//! Asks an entry node for the version of its configuration.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::http::{self, HttpClient};
use crate::id::Version;
use crate::observe::metrics::gauge_value;
use crate::operator::client::OperatorError;

/// Time-out of the request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the version in force from the metrics of the node that listens at `node` for them.
/// The configuration itself stays there, since it holds the customers' keys.
pub async fn version_in_force(node: SocketAddr) -> Result<Version, OperatorError> {
    let request = http::request(Method::GET, node, "/metrics", Bytes::new());
    let client = HttpClient::new();
    let exchanged = client.exchange(node, request, REQUEST_TIMEOUT).await;
    let response = exchanged.map_err(|_| OperatorError::NoVersion(node))?;
    let text = String::from_utf8_lossy(response.body());
    // A node without a configuration states version 0.
    let version = gauge_value(&text, "config_version").filter(|version| *version > 0);
    version.ok_or(OperatorError::NoVersion(node))
}
