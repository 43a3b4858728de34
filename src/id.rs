//! Names of the things the system talks about.
//!
//! The words are those of the users' brief; `docs/GLOSSARY.md` maps them to
//! the field's terms.

/// Names one entry VM that runs this program, for as long as its VM exists.
pub type NodeId = String;
/// Names one model engine.
pub type RunnerId = String;
/// Names one customer, as the confirmed configuration spells it.
pub type CustomerId = String;
/// Names one data centre.
pub type DataCentreId = String;
/// Names one model, without its version.
pub type ModelId = String;
/// Names one kind of caller, such as `steward` or `owner`.
pub type KindId = String;
/// Names one plain service.
pub type ServiceId = String;
/// Names one intent an operator stated.
pub type IntentId = String;
/// Names one generation: the nonce drawn when it began.
pub type GenerationId = String;
/// Counts the attempts that together make one generation, from zero.
pub type AttemptNumber = u32;
/// Counts tokens of one generation, from zero.
pub type TokenIndex = u64;
/// Counts the accepted writes of one platform object; it only rises.
pub type Version = u64;
/// Rises each time the lease on orders changes hands.
pub type Fence = u64;
/// Tells apart successive lives of one process under the same name.
pub type Incarnation = u64;
