//! The requests of the callers that keep their connections.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::edge_environment::caller::{Caller, Response, new_call_id};
use crate::edge_environment::service::{ANSWER_BYTES_QUERY, ANSWER_TIME_QUERY};
use crate::edge_environment::{
    IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, PUBLIC_PATH, SINGLE_RUN_STREAM_PATH, STREAM_PATH,
};

/// Longest body; all configurations allow it.
const BODY_BYTES_MAX: usize = 20_000;
const PLAIN_DEADLINE: Duration = Duration::from_secs(5);
const STREAM_DEADLINE: Duration = Duration::from_secs(9);
const SHORT_ANSWER_MS_MAX: u64 = 100;
const LONG_ANSWER_MS_MAX: u64 = 1_500;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Get,
    Post,
    /// The body is sent in two parts, with a pause between them.
    TwoPartPost,
    Stream,
    /// A stream that may run only once.
    SingleRunStream,
    /// A call on a route that the configurations remove and add.
    RemovableRoute,
    /// A call whose answer is long and pauses in the middle.
    LongAnswer,
}

const KINDS: [RequestKind; 7] = [
    RequestKind::Get,
    RequestKind::Post,
    RequestKind::TwoPartPost,
    RequestKind::Stream,
    RequestKind::SingleRunStream,
    RequestKind::RemovableRoute,
    RequestKind::LongAnswer,
];

#[derive(Clone, Copy)]
enum ExpectedBody {
    Short,
    Long { bytes: usize },
    Events { last: u64 },
}

impl RequestKind {
    fn method(self) -> &'static str {
        match self {
            Self::Get | Self::RemovableRoute => "GET",
            _ => "POST",
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Get => IDEMPOTENT_PATH,
            Self::Post | Self::TwoPartPost | Self::LongAnswer => NON_IDEMPOTENT_PATH,
            Self::Stream => STREAM_PATH,
            Self::SingleRunStream => SINGLE_RUN_STREAM_PATH,
            Self::RemovableRoute => PUBLIC_PATH,
        }
    }

    fn deadline(self) -> Duration {
        match self {
            Self::Stream | Self::SingleRunStream => STREAM_DEADLINE,
            _ => PLAIN_DEADLINE,
        }
    }

    fn random_answer(self, random: &mut StdRng) -> ExpectedBody {
        match self {
            Self::Stream | Self::SingleRunStream => ExpectedBody::Events {
                last: random.random_range(20..250),
            },
            Self::LongAnswer => ExpectedBody::Long {
                bytes: random.random_range(50_000..200_000) * 2,
            },
            _ => ExpectedBody::Short,
        }
    }
}

/// One request, in the pieces in which it is sent.
pub struct KeptRequest {
    pub call_id: String,
    pub kind: RequestKind,
    pub pieces: Vec<Vec<u8>>,
    pub pause_between_pieces: Duration,
    pub deadline: Duration,
    expected: ExpectedBody,
}

impl KeptRequest {
    pub fn random(node: &Caller, random: &mut StdRng) -> Self {
        let call_id = new_call_id();
        let kind = KINDS[random.random_range(0..KINDS.len())];
        let expected = kind.random_answer(random);
        let target = random_target(kind, expected, random);
        let body = match kind.method() {
            "GET" => Vec::new(),
            _ => vec![b'b'; random.random_range(2..BODY_BYTES_MAX)],
        };
        let last_event = match expected {
            ExpectedBody::Events { last } => last,
            _ => 0,
        };
        let headers = format!(
            "x-zinniawing-deadline-ms: {}\r\nx-zinniawing-token-usage: 800,{last_event}\r\n\
             content-length: {}\r\n\r\n",
            kind.deadline().as_millis(),
            body.len()
        );
        let head = node.head(kind.method(), &target, &call_id, &headers);
        let first_length = match kind {
            RequestKind::TwoPartPost => body.len() / 2,
            _ => body.len(),
        };
        let (first, second) = body.split_at(first_length);
        let mut pieces = vec![[head.as_bytes(), first].concat()];
        if !second.is_empty() {
            pieces.push(second.to_vec());
        }
        Self {
            call_id,
            kind,
            pieces,
            pause_between_pieces: Duration::from_millis(random.random_range(50..400)),
            deadline: kind.deadline(),
            expected,
        }
    }

    pub fn may_run_once(&self) -> bool {
        self.kind.path() == NON_IDEMPOTENT_PATH
    }

    /// What is wrong with a complete answer, if anything.
    pub fn fault_of(&self, response: &Response) -> Option<String> {
        let call_id = &self.call_id;
        let may_be_unknown = self.kind == RequestKind::RemovableRoute && response.status == 404;
        if [400, 401, 403, 404, 413].contains(&response.status) && !may_be_unknown {
            let head = &response.head;
            return Some(format!("{call_id} was denied although it is valid: {head}"));
        }
        if response.status != 200 || self.is_expected(response) {
            return None;
        }
        let (length, body) = (response.body.len(), &response.body);
        Some(format!(
            "{call_id} was answered with {length} bytes {body:.80?}"
        ))
    }

    fn is_expected(&self, response: &Response) -> bool {
        match self.expected {
            ExpectedBody::Short => response.body == format!("done {}", self.call_id),
            ExpectedBody::Long { bytes } => response.body == "x".repeat(bytes),
            ExpectedBody::Events { last } => {
                response.event_ids() == (1..=last).collect::<Vec<u64>>()
            }
        }
    }
}

/// The path of the kind, with a query that sets the time and length of the answer.
/// A fifth of the answers take long.
fn random_target(kind: RequestKind, expected: ExpectedBody, random: &mut StdRng) -> String {
    let answer_ms_max = if random.random_bool(0.2) {
        LONG_ANSWER_MS_MAX
    } else {
        SHORT_ANSWER_MS_MAX
    };
    let answer_ms = random.random_range(0..answer_ms_max);
    let target = format!("{}?{ANSWER_TIME_QUERY}={answer_ms}", kind.path());
    match expected {
        ExpectedBody::Long { bytes } => format!("{target}&{ANSWER_BYTES_QUERY}={bytes}"),
        _ => target,
    }
}
