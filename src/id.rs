//! Types of identifiers and counters.
//!
//! They are named by the terms of the system's users; `docs/GLOSSARY.md` maps
//! these to common technical terms.

/// Name of a node: an entry VM that runs this program. It stays the same for as
/// long as the VM exists.
pub type NodeId = String;
/// Name of a runner, which is a model engine.
pub type RunnerId = String;
/// Name of a customer in the confirmed configuration.
pub type CustomerId = String;
/// Name of a data centre.
pub type DataCentreId = String;
/// Name of a model, without its version.
pub type ModelId = String;
/// Name of a kind of caller, such as `steward` or `owner`.
pub type KindId = String;
/// Name of a plain service.
pub type ServiceId = String;
/// Identifier of an intent that an operator stated.
pub type IntentId = String;
/// Identifier of a generation: a nonce chosen when it began.
pub type GenerationId = String;
/// Number of an attempt within its generation, from zero.
pub type AttemptNumber = u32;
/// Position of a token within its generation, from zero.
pub type TokenIndex = u64;
/// Version of a platform object. It rises with each accepted write.
pub type Version = u64;
/// Fencing token, which rises each time the lease on orders gets another
/// holder.
pub type Fence = u64;
/// Distinguishes successive starts of a process under the same name.
pub type Incarnation = u64;
