//! Types of identifiers and counters.
//!
//! Their names are the words that the operators of the system use;
//! `docs/GLOSSARY.md` maps these to common technical terms.

/// Name of a node: an entry VM that runs this program. It stays the same for as
/// long as the VM exists.
pub type NodeId = String;
/// Name of a runner: a VM that runs a model engine.
pub type RunnerId = String;
/// Id under which an incarnation of an upstream registered. Incarnations may
/// register under the same id; they differ in their start times then.
pub type UpstreamId = String;
/// Hash by which nodes recognise the same request, or the same part of a prompt.
pub type Fingerprint = u64;
/// Name of a customer in the confirmed configuration.
pub type CustomerId = String;
/// Name of a data centre.
pub type DataCentreId = String;
/// Name of a model, without its version.
pub type ModelId = String;
/// Name of a kind of caller, such as `steward` or `owner`.
pub type KindId = String;
/// Name of a plain service, whose calls are ordinary HTTP calls and not model
/// generations.
pub type ServiceId = String;
/// Identifier of an intent: a complete wanted configuration that an operator
/// stated.
pub type IntentId = String;
/// Identifier of a generation (the answer of a model to one request): a nonce
/// chosen when it began.
pub type GenerationId = String;
/// Number of an attempt within its generation, from zero. Each time a generation
/// is started or resumed at a runner is an attempt.
pub type AttemptNumber = u32;
/// Position of a token within its generation, from zero.
pub type TokenIndex = u64;
/// Number of the copy that the platform's store runs from. It rises each time the
/// store comes back from an older copy of its data, which sets its revisions back.
pub type Era = u64;
/// Version of an object in the platform's object store. It rises with each
/// accepted write.
pub type Version = u64;
/// Fencing token: a number that rises each time a lease gets another holder, and
/// by which the actions of an earlier holder can be refused.
pub type Fence = u64;
/// Number that tells successive starts of a process under the same name apart; a
/// later start has a higher one.
pub type Incarnation = u64;
