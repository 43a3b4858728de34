//! Serves long model generations in full even when engines fail.
//!
//! There are two kinds of node; each runs on an entry VM:
//!
//! - A [`Node`] (command `serve`) accepts callers' requests, chooses a runner for
//!   each, resumes a generation at another runner when the first is lost, and
//!   ensures that calls which may not be repeated run at most once. Durable state
//!   is kept in the platform's object API. Its modules are `caller`, `generation`,
//!   `claims`, `configuration`, `operator`, `orders` and `fleet`; their terms are
//!   request, generation, attempt (of a generation) and runner, and call for a
//!   request to a plain service.
//! - An [`EdgeNode`] (command `edge`) forwards calls to the upstreams of the
//!   Kestrel platform. Its modules are `edge`, `forward`, `policy` and `platform`;
//!   their terms are call, run, attempt (here one send of a call), upstream and
//!   engine.
//!
//! Both use `membership`, `observe`, `http` and `error`, and parts of
//! `configuration` and `fleet`. `docs/DESIGN.md` describes how the components
//! work together.
//!
//! The coordination components can be embedded on their own: [`Membership`] and
//! its announcements, at-most-once claims ([`take_claim`]), the fenced
//! [`Lease`], and the [`DocumentStore`], which never replaces a document by an
//! older version.
//!
//! ```
//! use zinniawing::{Intent, Plan};
//!
//! let current = Intent::default();
//! let next = Intent { time_zone: "America/Port_of_Spain".into(), ..Intent::default() };
//! let plan = Plan::new("i1".into(), 0, &current, &next);
//! assert_eq!(plan.changes.len(), 1);
//! ```

#![deny(missing_docs, rust_2018_idioms, unsafe_code)]

mod caller;
mod claims;
mod clock;
mod configuration;
mod connection_activity;
mod connection_bound;
mod edge;
mod error;
mod experiment;
mod fleet;
mod forward;
mod generation;
mod hash;
mod http;
mod id;
mod json_parts;
mod listener;
mod membership;
mod memory;
mod node;
mod node_state;
mod observe;
mod operator;
mod orders;
#[path = "../platform/mod.rs"]
mod platform;
mod policy;
mod settings;
mod shutdown;
mod simulation;
mod stand_in;
mod store;

pub use caller::caller_api::AddressAnswer;
pub use caller::client::{CallReport, Caller, CompletionParams, CompletionReport};
pub use claims::claim::{
    Claim, ClaimOutcome, ClaimWriter, Held, LocalClaims, Sent, WireOperation, WireReply, call_hash,
    take_claim,
};
pub use claims::group_commit::ClaimSettings;
pub use configuration::check_report::{ConfigurationReport, Difference, Finding, Severity};
pub use configuration::config::{Config, ConfigRecord, Confirmation, key_hash};
pub use configuration::document::DocumentStore;
pub use configuration::intent::{
    CustomerIntent, Intent, KindIntent, ModelIntent, PatienceIntent, ServiceIntent,
};
pub use configuration::plan::{Plan, PlannedChange};
pub use edge::log_writer::LogWriter;
pub use edge::node::EdgeNode;
pub use edge::settings::EdgeSettings;
pub use error::{Answer, Error, ErrorBody, ErrorDetail, ErrorKind, Execution};
pub use experiment::catalogue::Experiment;
pub use experiment::demo::{Demo, DemoOptions, DemoReport};
pub use experiment::deployment::Deployment;
pub use experiment::local_cluster::{ClusterPlan, ClusterRunner, LocalCluster, OPERATOR_KEY};
pub use fleet::runner::{ModelVersion, Order, RunnerReport};
pub use generation::token_chain::{BrokenChain, TokenChain};
pub use id::{
    AttemptNumber, CustomerId, DataCentreId, Era, Fence, GenerationId, Incarnation, IntentId,
    KindId, ModelId, NodeId, RunnerId, ServiceId, TokenIndex, Version,
};
pub use membership::announcement::Announcement;
pub use membership::control_traffic::ControlTraffic;
pub use membership::gossip::{Membership, MembershipEvent, MembershipSettings};
pub use membership::link_faults::LinkFaults;
pub use membership::members::Member;
pub use node::Node;
pub use observe::audit::{AuditOutcome, AuditRecord};
pub use observe::metrics::{Counter, Metrics, Span};
pub use observe::report::Report;
pub use observe::sample::Sample;
pub use operator::client::{Operator, OperatorError};
pub use operator::node_version::version_in_force;
pub use operator::operator_api::{ConfirmBody, Confirmed, NodeStatus, RunnerStatus, Status};
pub use orders::lease::Lease;
pub use platform::routing_check::{check as check_configuration, check_version};
pub use settings::{Limits, Listen, Settings, SettingsError, Timing};
pub use stand_in::platform::{PlatformCounts, PlatformFaults, StandInPlatform};
pub use stand_in::runner::{CRASH_MARK, StandInRunner};
pub use stand_in::runner_profile::{RunnerFaults, RunnerLedger, RunnerProfile};
pub use stand_in::server::StandIn;
pub use stand_in::service::{Executed, Receipt, ServiceFaults, StandInService};
pub use store::object_api::{Vm, VmRole, VmState};
pub use store::object_store::{ABSENT, MemoryStore, Object, ObjectStore, StoreError};
pub use store::revision::Revision;
