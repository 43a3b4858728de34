//! Identifies who sent a request: the customer and the kind of caller.

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;

use crate::configuration::config::Config;
use crate::error::{Error, ErrorKind};
use crate::http;
use crate::id::{CustomerId, KindId};

/// Header that gives the kind of caller.
pub(crate) const CALLER_KIND: &str = "x-caller-kind";
/// Kind of a caller that sends no such header.
const DEFAULT_KIND: &str = "default";

/// The sender of a request, as found in the configuration.
pub(crate) struct CallerIdentity<'a> {
    /// Customer that the key belongs to.
    pub(crate) customer: &'a CustomerId,
    /// The customer's weight in fair queueing.
    pub(crate) weight: u32,
    pub(crate) kind: KindId,
}

/// Identifies the sender of a request by its key and headers.
pub(crate) fn identify<'a>(
    config: &'a Config,
    request: &Request<Incoming>,
) -> Result<CallerIdentity<'a>, Error> {
    let key = bearer_token(request)?;
    let (customer, intent) = config.customer(key)?;
    let kind = http::header(request, CALLER_KIND).unwrap_or(DEFAULT_KIND);
    Ok(CallerIdentity {
        customer,
        weight: intent.weight,
        kind: kind.to_owned(),
    })
}

/// The bearer token of a request, which is the key of a caller or an operator.
pub(crate) fn bearer_token(request: &Request<Incoming>) -> Result<&str, Error> {
    http::header(request, AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| Error::new(ErrorKind::Unauthorized, "authorization: needs 'Bearer KEY'"))
}
