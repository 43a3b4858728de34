//! Who asks: the customer behind a key, and its kind of caller.

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;

use crate::configuration::config::Config;
use crate::error::{Error, ErrorKind};
use crate::http;
use crate::id::{CustomerId, KindId};

/// Header that says which kind of caller asks.
pub(crate) const CALLER_KIND: &str = "x-caller-kind";
/// Kind of callers that name none.
const DEFAULT_KIND: &str = "default";

/// Who asks, as the configuration knows it.
pub(crate) struct Caller<'a> {
    /// Customer that the key belongs to.
    pub(crate) customer: &'a CustomerId,
    /// Weight of its fair share.
    pub(crate) weight: u32,
    /// Kind of caller.
    pub(crate) kind: KindId,
}

/// Finds out who asks.
pub(crate) fn identify<'a>(
    config: &'a Config,
    request: &Request<Incoming>,
) -> Result<Caller<'a>, Error> {
    let key = bearer(request)?;
    let (customer, intent) = config.customer(key)?;
    let kind = http::header(request, CALLER_KIND).unwrap_or(DEFAULT_KIND);
    Ok(Caller {
        customer,
        weight: intent.weight,
        kind: kind.to_owned(),
    })
}

/// The key of a caller or an operator.
pub(crate) fn bearer(request: &Request<Incoming>) -> Result<&str, Error> {
    http::header(request, AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| Error::new(ErrorKind::Unauthorized, "authorization: needs 'Bearer KEY'"))
}
