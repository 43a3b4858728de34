//! Completion requests: parses and checks them, and makes the [`Job`] from which
//! the answer is generated.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};

use crate::configuration::config::{CallerPolicy, Config};
use crate::error::{Error, ErrorKind};
use crate::fleet::ranking::prefix_hash;
use crate::generation::dispatch::{Job, fingerprint};
use crate::id::{CustomerId, GenerationId, ModelId};

/// Value of `max_tokens` if the caller gives none.
const MAX_TOKENS_DEFAULT: u64 = 256;

/// Body of a completion request, in the style of the OpenAI API.
#[derive(Debug, Deserialize)]
struct CompletionBody<'a> {
    model: String,
    #[serde(borrow)]
    prompt: &'a RawValue,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default, borrow)]
    delivered_text: Option<&'a RawValue>,
}

/// A completion request that has been parsed and checked.
#[derive(Clone, Debug)]
pub(crate) struct CompletionRequest {
    pub(crate) model: ModelId,
    /// Prompt, as a quoted JSON string.
    pub(crate) prompt: Bytes,
    /// Maximum number of tokens of the whole answer.
    pub(crate) max_tokens: u64,
    /// Whether the answer is sent as a stream of events.
    pub(crate) stream: bool,
    /// Text that the caller has already received, as escaped JSON.
    pub(crate) delivered_text: Option<BytesMut>,
}

impl CompletionRequest {
    /// Parses and checks the body of a request.
    pub(crate) fn parse(body: &Bytes, tokens_max: u64) -> Result<Self, Error> {
        let parsed: CompletionBody<'_> = serde_json::from_slice(body)
            .map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()))?;
        let max_tokens = parsed
            .max_tokens
            .unwrap_or(MAX_TOKENS_DEFAULT.min(tokens_max));
        if !(1..=tokens_max).contains(&max_tokens) {
            return Err(bad_request(format!(
                "max_tokens: {max_tokens} is outside 1..={tokens_max}"
            )));
        }
        let prompt =
            quoted_string(parsed.prompt).ok_or_else(|| bad_request("prompt: must be a string"))?;
        let delivered_text = match parsed.delivered_text {
            None => None,
            Some(raw) => {
                let quoted = quoted_string(raw)
                    .ok_or_else(|| bad_request("delivered_text: must be a string"))?;
                Some(BytesMut::from(&quoted[1..quoted.len() - 1]))
            }
        };
        Ok(Self {
            model: parsed.model,
            prompt: body.slice_ref(prompt),
            max_tokens,
            stream: parsed.stream,
            delivered_text,
        })
    }

    /// Makes the job from which the answer is generated, with the id of its
    /// generation.
    pub(crate) fn job(
        &self,
        generation: GenerationId,
        customer: &CustomerId,
        policy: CallerPolicy,
        config: Arc<Config>,
    ) -> Job {
        Job {
            generation,
            model: self.model.clone(),
            prompt: self.prompt.clone(),
            max_tokens: self.max_tokens,
            policy,
            request_hash: self.hash(customer),
            fingerprint: fingerprint(customer, &self.model, &self.prompt),
            prefix_hash: prefix_hash(&self.model, &self.prompt),
            config,
        }
    }

    fn hash(&self, customer: &CustomerId) -> [u8; 32] {
        let mut hasher = Sha256::new();
        for part in [customer.as_bytes(), self.model.as_bytes(), &self.prompt] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(self.max_tokens.to_le_bytes());
        hasher.finalize().into()
    }
}

/// The quoted JSON of a value, if it is a string.
fn quoted_string(raw: &RawValue) -> Option<&[u8]> {
    let json = raw.get();
    json.starts_with('"').then_some(json.as_bytes())
}

fn bad_request(message: impl Into<String>) -> Error {
    Error::new(ErrorKind::BadRequest, message)
}
