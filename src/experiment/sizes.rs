//! Encoded sizes of messages and stored records at the target scale, the size of
//! deployment that users aim at.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use prost::Message;

use crate::clock::unix_ms;
use crate::configuration::config::{ConfigRecord, key_hash};
use crate::configuration::intent::{CustomerIntent, Intent, ModelIntent};
use crate::experiment::deployment::Deployment;
use crate::fleet::runner::{ModelVersion, RunnerReport};
use crate::membership::announcement::{Announcement, to_record};
use crate::membership::members::{Member, Members};
use crate::membership::message::{ClaimAction, ClaimOperation};
use crate::observe::report::Report;
use crate::store::object_api::{Vm, VmRole, VmState};

// The target scale.
const NODE_COUNT: usize = 390;
const RUNNER_COUNT: usize = 1500;
const CUSTOMER_COUNT: usize = 220;
const MODEL_COUNT: usize = 27;
/// Models that one customer may use.
const MODELS_PER_CUSTOMER: usize = 5;
/// Models that are loaded on one runner.
const MODELS_PER_RUNNER: usize = 2;
/// HTTP overhead when a node polls one runner for its report: request line and
/// headers of the request, plus status line and headers of the response.
const REPORT_HEADERS_BYTES: usize = 58 + 98;

/// Encodes one record of each kind with the code that nodes use.
pub(crate) async fn measure_sizes() -> io::Result<Report> {
    let columns = ["what", "bytes_each", "count", "bytes_in_all"];
    let mut report = Report::new("sizes at the target", &columns);
    let mut add_row = |what: &str, bytes: usize, count: usize| {
        report.push([
            what.to_owned(),
            bytes.to_string(),
            count.to_string(),
            (bytes * count).to_string(),
        ]);
    };
    add_row("member record", member_bytes(), NODE_COUNT);
    add_row("runner report in JSON", runner_report().len(), RUNNER_COUNT);
    let poll_bytes = runner_report().len() + REPORT_HEADERS_BYTES;
    add_row("one look at a runner", poll_bytes, RUNNER_COUNT);
    add_row(
        "announced runner report",
        announcement_bytes(),
        RUNNER_COUNT,
    );
    add_row("configuration", config_bytes()?, 1);
    add_row("VM list", vm_list_bytes(), 1);
    add_row("claim: take", claim_bytes(ClaimAction::Take, 0), 1);
    add_row(
        "claim: finish, 100 bytes",
        claim_bytes(ClaimAction::Finish, 100),
        1,
    );
    Ok(report)
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 123, 45, 67], 7102))
}

fn member_bytes() -> usize {
    let members = Members::new(Member {
        node: "node-123".to_owned(),
        incarnation: unix_ms(),
        peer_address: address(),
        caller_address: address(),
        relay_port: 7103,
        data_centre: "tt-south-1".to_owned(),
        leaving: false,
        demand_count: 40,
    });
    members.my_record().encoded_len()
}

fn model(number: usize) -> ModelVersion {
    ModelVersion {
        model: format!("model-{number:02}"),
        version: "12".to_owned(),
        adapters: vec!["adapter-a".to_owned()],
    }
}

fn runner_report() -> Vec<u8> {
    let report = RunnerReport {
        incarnation: u64::from(u32::MAX),
        running_count: 120,
        queued_count: 4,
        slot_count: 128,
        leaving: false,
        ready: (0..MODELS_PER_RUNNER).map(model).collect(),
        fence: 123,
    };
    serde_json::to_vec(&report).unwrap_or_default()
}

fn announcement_bytes() -> usize {
    let announcement = Announcement {
        topic: 3,
        key: "runner-0123".to_owned(),
        version: unix_ms(),
        ttl: Duration::from_secs(21_600),
        body: runner_report().into(),
    };
    to_record(&announcement, announcement.ttl).encoded_len()
}

fn config_bytes() -> io::Result<usize> {
    let name = |number: usize| format!("model-{number:02}");
    let models: BTreeMap<String, ModelIntent> = (0..MODEL_COUNT)
        .map(|number| {
            let intent = ModelIntent {
                version: "12".to_owned(),
                adapters: vec!["adapter-a".to_owned()],
                runner_count: 110,
            };
            (name(number), intent)
        })
        .collect();
    let customers = (0..CUSTOMER_COUNT).map(|number| {
        let intent = CustomerIntent {
            key_sha256: key_hash(&number.to_string()),
            weight: 1,
            models: (0..MODELS_PER_CUSTOMER).map(name).collect(),
            services: vec!["payments".to_owned()],
        };
        (format!("customer-{number:03}"), intent)
    });
    let example = Deployment::Kestrel.intent()?;
    let record = ConfigRecord {
        previous_versions: models
            .keys()
            .map(|n| (n.clone(), "11".to_owned()))
            .collect(),
        intent: Intent {
            models,
            customers: customers.collect(),
            ..example
        },
        confirmations: Vec::new(),
    };
    Ok(record.encode().len())
}

fn vm_list_bytes() -> usize {
    let vms: Vec<Vm> = (0..RUNNER_COUNT)
        .map(|number| Vm {
            vm: format!("runner-{number:04}"),
            address: address(),
            data_centre: "tt-south-1".to_owned(),
            role: VmRole::Runner { checks_fence: true },
            state: VmState::Live,
        })
        .collect();
    serde_json::to_vec(&vms).unwrap_or_default().len()
}

fn claim_bytes(action: ClaimAction, answer_bytes: usize) -> usize {
    let operation = ClaimOperation {
        action: action.into(),
        key: "customer-123/payments/0b1f6c1e-2f6a-4f0b-9a51-1f2e3d4c5b6a".to_owned(),
        nonce: uuid::Uuid::new_v4().simple().to_string(),
        claimant: format!("node-123@{}", unix_ms()),
        call_hash: u64::MAX,
        at_unix_ms: unix_ms(),
        status: 200,
        answer: vec![b'x'; answer_bytes].into(),
    };
    operation.encoded_len()
}
