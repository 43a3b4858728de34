//! Serves long model generations whole on engines that fail.
//!
//! A [`Node`] runs on each entry VM. It takes callers' requests, chooses
//! runners, goes on elsewhere when one is lost, and keeps calls that may not
//! be repeated from running twice. What must last lives in the platform's
//! object API; see `docs/DESIGN.md` for how the parts fit.
//!
//! The coordination parts can be embedded on their own: [`Membership`] and its
//! announcements, at-most-once claims ([`take_claim`]), the fenced [`Lease`],
//! and the [`DocumentStore`] that never goes back.
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

mod admission;
mod announcement;
mod attempt;
mod audit;
mod call;
mod caller_api;
mod claim;
mod claim_forwarder;
mod claim_shard;
mod clock;
mod completion;
mod config;
mod configuration;
mod control_traffic;
mod crash_tracker;
mod demo;
mod direct_caller;
mod dispatch;
mod document;
mod document_exchange;
mod document_sync;
mod edge;
mod error;
mod event_id;
mod experiment;
mod experiment_claims;
mod experiment_config;
mod experiment_control;
mod experiment_crashes;
mod experiment_idle;
mod experiment_overload;
mod experiment_resume;
mod experiment_sizes;
mod fleet;
mod forward;
mod gate;
mod generation;
mod group_commit;
mod hash;
mod http;
mod id;
mod intent;
mod lease;
mod link_faults;
mod local_cluster;
mod members;
mod membership;
mod membership_state;
mod message;
mod metrics;
mod node;
mod node_state;
mod object_api;
mod object_store;
mod operator;
mod operator_api;
mod orders;
mod peer;
mod plan;
#[path = "../platform/mod.rs"]
mod platform;
mod poison;
mod policy;
mod report;
mod retry_budget;
mod runner;
mod runner_watch;
mod sample;
mod service;
mod service_api;
mod settings;
mod shutdown;
mod sse;
mod stand_in;
mod stand_in_platform;
mod stand_in_runner;
mod stand_in_service;
mod token_chain;
mod usage;

pub use announcement::Announcement;
pub use audit::{AuditOutcome, AuditRecord};
pub use call::{CallReport, Caller, CompletionParams, CompletionReport};
pub use caller_api::AddressAnswer;
pub use claim::{
    Claim, ClaimWriter, Held, LocalClaims, Sent, Taken, WireOperation, WireReply, call_hash,
    take_claim,
};
pub use config::{Config, ConfigRecord, Confirmation, key_hash};
pub use control_traffic::ControlTraffic;
pub use demo::{Demo, DemoOptions, DemoReport};
pub use document::DocumentStore;
pub use edge::log_writer::LogWriter;
pub use edge::node::EdgeNode;
pub use edge::settings::EdgeSettings;
pub use error::{Answer, Error, ErrorBody, ErrorDetail, ErrorKind, Execution};
pub use experiment::{Deployment, Experiment};
pub use group_commit::ClaimSettings;
pub use id::{
    AttemptNumber, CustomerId, DataCentreId, Fence, GenerationId, Incarnation, IntentId, KindId,
    ModelId, NodeId, RunnerId, ServiceId, TokenIndex, Version,
};
pub use intent::{CustomerIntent, Intent, KindIntent, ModelIntent, PatienceIntent, ServiceIntent};
pub use lease::Lease;
pub use link_faults::LinkFaults;
pub use local_cluster::{ClusterPlan, ClusterRunner, LocalCluster, OPERATOR_KEY};
pub use members::Member;
pub use membership::{Membership, MembershipSettings, News};
pub use metrics::{Counter, Metrics};
pub use node::Node;
pub use object_api::{Vm, VmRole, VmState};
pub use object_store::{ABSENT, MemoryStore, Object, ObjectStore, StoreError};
pub use operator::{Operator, OperatorError};
pub use operator_api::{ConfirmBody, Confirmed, NodeStatus, RunnerStatus, Status};
pub use plan::{Plan, PlannedChange};
pub use report::Report;
pub use runner::{ModelVersion, Order, RunnerReport};
pub use sample::Sample;
pub use settings::{Limits, Listen, Settings, SettingsError, Timing};
pub use stand_in::StandIn;
pub use stand_in_platform::{PlatformCounts, PlatformFaults, StandInPlatform};
pub use stand_in_runner::{CRASH_MARK, RunnerFaults, RunnerLedger, RunnerProfile, StandInRunner};
pub use stand_in_service::{Executed, Receipt, ServiceFaults, StandInService};
pub use token_chain::{BrokenChain, TokenChain};
