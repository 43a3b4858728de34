//! Simulates nodes that send plain calls to upstreams, with and without second sends.
//!
//! As in the real system, nodes know only the answers to their own calls. An upstream runs
//! one call at a time and queues the others; closing a connection ends or removes its call.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::stream::VirtualTime;
use crate::policy::engine_speed::SpeedEstimate;
use crate::policy::hedging::{
    AnswerTimes, HedgeAllowance, HedgePlan, Withheld, choose_target, is_in_same_trouble,
};
use crate::policy::placement::{Candidate, choose_for_plain_call};
use crate::policy::retry_budget_share::{RetryBudgetShare, RetryLimits};

/// Number of nodes.
const NODE_COUNT: usize = 8;
/// Number of upstreams.
const UPSTREAM_COUNT: usize = 12;
/// Time that each call takes at least at an upstream.
const WORK_MIN: Duration = Duration::from_millis(10);
/// Mean of the exponentially distributed time that a call takes longer.
const WORK_SPREAD: Duration = Duration::from_millis(5);
/// Time during which calls arrive.
const ARRIVAL_DURATION: Duration = Duration::from_secs(60);
/// Start of the trouble in the scenarios that have one.
const TROUBLE_START: VirtualTime = Duration::from_secs(20);
/// End of that trouble.
const TROUBLE_END: VirtualTime = Duration::from_secs(40);
/// Time after which a call is given up.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time without an answer after which a call leaves a silent upstream.
const SILENCE_MIN: Duration = Duration::from_millis(200);
/// Time that a silent upstream takes; longer than the deadline.
const SILENT_WORK: Duration = Duration::from_secs(60);
/// Number of sends of one call.
const SENDS_MAX: usize = 3;
/// Weight of one call in a node's average latency of an upstream.
const LATENCY_WEIGHT: f64 = 0.15;

/// What slows calls down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// Nothing.
    Calm,
    /// One upstream takes eight times as long during the trouble.
    OneSlow,
    /// One upstream after the other takes eight times as long for a second, always.
    SlowInTurn,
    /// One upstream in three answers nothing during the trouble. Unlike real ones, the nodes
    /// avoid it by its latency alone.
    ThirdSilent,
    /// All upstreams take five times as long during the trouble, at a load that they bear.
    AllSlow,
    /// Of 100 calls four take ten times as long, at any upstream, always.
    TwoModes,
    /// More calls arrive during the trouble than the upstreams can run.
    Overload,
}

/// When a call is sent a second time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SecondSend {
    /// Never.
    Never,
    /// After each 200 ms without an answer, within three sends and the retry budget.
    Fixed,
    /// By [`crate::policy::hedging`], for this share of the calls, and when all upstreams
    /// that have the call have sent the node nothing for long.
    Hedge(f64),
}

/// The load and the policy of one simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HedgeScenario {
    pub(crate) trouble: Trouble,
    pub(crate) second_send: SecondSend,
    pub(crate) retry: RetryLimits,
}

/// The result of one simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct HedgeResult {
    /// Time to the answer of each answered call.
    pub(crate) answer_times: Vec<Duration>,
    pub(crate) call_count: u64,
    /// Second sends, with hedges.
    pub(crate) extra_send_count: u64,
    pub(crate) hedge_count: u64,
    /// Calls and second sends from one second after the trouble began until it ended.
    pub(crate) trouble_call_count: u64,
    pub(crate) trouble_extra_send_count: u64,
    /// Hedges in that time.
    pub(crate) trouble_hedge_count: u64,
    /// Second sends in the first second of the trouble.
    pub(crate) onset_extra_send_count: u64,
}

type CallId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    WorkEnd { upstream: usize, work: u64 },
    SendCheck(CallId),
    SilenceCheck(CallId),
    Deadline(CallId),
}

/// What a node knows of one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    latency: Duration,
    call_count: u32,
    unanswered_since: Option<VirtualTime>,
    heard_at: Option<VirtualTime>,
}

#[derive(Debug)]
struct Node {
    times: AnswerTimes,
    allowance: HedgeAllowance,
    budget: RetryBudgetShare,
    known: Vec<Known>,
}

#[derive(Debug, Default)]
struct Upstream {
    queue: VecDeque<CallId>,
    running: Option<CallId>,
    /// Number of the work under way; an end of earlier work is outdated.
    work: u64,
}

#[derive(Debug)]
struct Call {
    node: usize,
    arrived_at: VirtualTime,
    sends: Vec<(usize, VirtualTime)>,
}

/// The state of a simulation.
pub(crate) struct HedgeSimulator {
    scenario: HedgeScenario,
    random: StdRng,
    start: Instant,
    now: VirtualTime,
    events: BinaryHeap<Reverse<(VirtualTime, u64, Event)>>,
    event_count: u64,
    call_count: u64,
    calls: BTreeMap<CallId, Call>,
    nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    names: Vec<String>,
    result: HedgeResult,
}

impl HedgeSimulator {
    /// Runs a simulation until all calls have ended.
    pub(crate) fn run(scenario: HedgeScenario, seed: u64) -> HedgeResult {
        let mut simulator = Self::new(scenario, seed);
        simulator.schedule(Duration::ZERO, Event::Arrival);
        while let Some(Reverse((at, _, event))) = simulator.events.pop() {
            simulator.now = at;
            simulator.handle(event);
        }
        simulator.result
    }

    fn new(scenario: HedgeScenario, seed: u64) -> Self {
        let start = Instant::now();
        let mut random = StdRng::seed_from_u64(seed);
        let node = |index| Node {
            times: AnswerTimes::default(),
            allowance: HedgeAllowance::new(random.random_range(0.0..1.0)),
            budget: RetryBudgetShare::new(start, f64::from(index) / NODE_COUNT as f64),
            known: vec![Known::default(); UPSTREAM_COUNT],
        };
        let nodes = (0..NODE_COUNT as u32).map(node).collect();
        Self {
            scenario,
            start,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            event_count: 0,
            call_count: 0,
            calls: BTreeMap::new(),
            nodes,
            upstreams: (0..UPSTREAM_COUNT).map(|_| Upstream::default()).collect(),
            names: (0..UPSTREAM_COUNT).map(|n| format!("u{n:02}")).collect(),
            random,
            result: HedgeResult::default(),
        }
    }

    fn schedule(&mut self, at: VirtualTime, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.begin_call(),
            Event::WorkEnd { upstream, work } => self.end_work(upstream, work),
            Event::SendCheck(id) => self.check_send(id),
            Event::SilenceCheck(id) => self.check_silence(id),
            Event::Deadline(id) => self.give_up(id),
        }
    }

    fn is_in_trouble(&self) -> bool {
        (TROUBLE_START..TROUBLE_END).contains(&self.now)
    }

    fn begin_call(&mut self) {
        let id = self.call_count;
        self.call_count += 1;
        let node = self.random.random_range(0..NODE_COUNT);
        let call = Call {
            node,
            arrived_at: self.now,
            sends: Vec::new(),
        };
        self.calls.insert(id, call);
        self.record_arrival(node);
        if let Some(upstream) = self.choose(id, None) {
            self.send(id, upstream);
        }
        self.schedule(self.now + DEADLINE, Event::Deadline(id));
        let interval = self.draw_exponential(Duration::from_secs(1)).as_secs_f64();
        let next = self.now + Duration::from_secs_f64(interval / self.calls_per_s());
        if next < ARRIVAL_DURATION {
            self.schedule(next, Event::Arrival);
        }
    }

    fn record_arrival(&mut self, node: usize) {
        let now = self.instant();
        self.result.call_count += 1;
        let is_after_onset = self.now >= TROUBLE_START + Duration::from_secs(1);
        self.result.trouble_call_count += u64::from(self.is_in_trouble() && is_after_onset);
        let retry = self.scenario.retry;
        self.nodes[node].budget.record_call(&retry, now);
        if let SecondSend::Hedge(share) = self.scenario.second_send {
            self.nodes[node].allowance.record_call(share);
        }
    }

    fn calls_per_s(&self) -> f64 {
        match self.scenario.trouble {
            Trouble::AllSlow => 100.0,
            Trouble::Overload if self.is_in_trouble() => 960.0,
            _ => 400.0,
        }
    }

    fn draw_exponential(&mut self, mean: Duration) -> Duration {
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        mean.mul_f64(-draw.ln())
    }

    fn draw_work(&mut self, upstream: usize) -> Duration {
        let is_silent = self.scenario.trouble == Trouble::ThirdSilent && upstream.is_multiple_of(3);
        if is_silent && self.is_in_trouble() {
            return SILENT_WORK;
        }
        let work = WORK_MIN + self.draw_exponential(WORK_SPREAD);
        let factor = match self.scenario.trouble {
            Trouble::OneSlow if self.is_in_trouble() && upstream == 0 => 8,
            Trouble::SlowInTurn if self.now.as_secs() as usize % UPSTREAM_COUNT == upstream => 8,
            Trouble::AllSlow if self.is_in_trouble() => 5,
            Trouble::TwoModes if self.random.random_bool(0.04) => 10,
            _ => 1,
        };
        work * factor
    }

    /// Chooses an upstream to which the call was not sent; that of a hedge by its plan.
    fn choose(&mut self, id: CallId, plan: Option<&HedgePlan>) -> Option<usize> {
        let call = &self.calls[&id];
        let waited = call
            .sends
            .first()
            .map_or(Duration::ZERO, |s| self.now - s.1);
        let known = &self.nodes[call.node].known;
        let is_unfit = |known: &Known| {
            let since = known.unanswered_since.unwrap_or(self.now);
            plan.is_some() && is_in_same_trouble(self.now - since, waited)
        };
        let candidates: Vec<Candidate<'_>> = known
            .iter()
            .zip(&self.names)
            .enumerate()
            .map(|(index, (known, name))| Candidate {
                id: name,
                data_centre: "a",
                pending_prompt_tokens: 0,
                kv_cache_tokens: 0,
                call_count: known.call_count,
                latency: known.latency,
                failure_share: 0.0,
                is_avoided: false,
                was_tried: call.sends.iter().any(|s| s.0 == index) || is_unfit(known),
                is_assigned: false,
                speed: SpeedEstimate::default(),
            })
            .collect();
        let draw = self.random.random();
        match plan {
            Some(plan) => choose_target(&candidates, "a", plan.remaining, draw),
            None => choose_for_plain_call(&candidates, "a", draw),
        }
    }

    fn send(&mut self, id: CallId, upstream: usize) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.sends.push((upstream, now));
        let node = call.node;
        let known = &mut self.nodes[node].known[upstream];
        known.call_count += 1;
        known.unanswered_since.get_or_insert(now);
        self.upstreams[upstream].queue.push_back(id);
        self.begin_work(upstream);
        match self.scenario.second_send {
            SecondSend::Never => {}
            SecondSend::Fixed => {
                self.schedule(now + SILENCE_MIN, Event::SendCheck(id));
            }
            SecondSend::Hedge(share) => {
                let plan = self.plan(node, share);
                let delay = plan.map_or(SILENCE_MIN, |plan| plan.delay);
                self.schedule(now + SILENCE_MIN, Event::SilenceCheck(id));
                self.schedule(now + delay, Event::SendCheck(id));
            }
        }
    }

    fn plan(&mut self, node: usize, share: f64) -> Result<HedgePlan, Withheld> {
        let now = self.instant();
        self.nodes[node].times.plan(share, now)
    }

    fn begin_work(&mut self, upstream: usize) {
        if self.upstreams[upstream].running.is_some() {
            return;
        }
        let Some(id) = self.upstreams[upstream].queue.pop_front() else {
            return;
        };
        let end = self.now + self.draw_work(upstream);
        let at = &mut self.upstreams[upstream];
        at.running = Some(id);
        at.work += 1;
        let work = at.work;
        self.schedule(end, Event::WorkEnd { upstream, work });
    }

    fn end_work(&mut self, upstream: usize, work: u64) {
        let at = &self.upstreams[upstream];
        let Some(id) = at.running.filter(|_| at.work == work) else {
            return;
        };
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.result.answer_times.push(self.now - call.arrived_at);
        let answered_at = self.instant();
        let node = &mut self.nodes[call.node];
        // The first send of a call that was hedged would have taken at least as long.
        let taken = self.now - call.arrived_at;
        node.times.record(taken, answered_at);
        node.known[upstream].unanswered_since = None;
        node.known[upstream].heard_at = Some(self.now);
        self.end_sends(id, &call);
    }

    /// Ends all sends of a call, and records what they took in the averages.
    fn end_sends(&mut self, id: CallId, call: &Call) {
        for (upstream, sent_at) in &call.sends {
            let known = &mut self.nodes[call.node].known[*upstream];
            known.call_count -= 1;
            let taken = self.now - *sent_at;
            let is_first = known.latency.is_zero();
            let weight = if is_first { 1.0 } else { LATENCY_WEIGHT };
            known.latency = known.latency.mul_f64(1.0 - weight) + taken.mul_f64(weight);
            let at = &mut self.upstreams[*upstream];
            at.queue.retain(|queued| *queued != id);
            if at.running == Some(id) {
                at.running = None;
                self.begin_work(*upstream);
            }
        }
    }

    fn check_send(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (node, sends) = (call.node, call.sends.len());
        let Some((_, sent_at)) = call.sends.last().copied() else {
            return;
        };
        let waited = self.now - sent_at;
        match self.scenario.second_send {
            SecondSend::Fixed if sends < SENDS_MAX => {
                if let Some(upstream) = self.choose(id, None).filter(|_| self.spend(node)) {
                    self.record_extra_send();
                    self.send(id, upstream);
                }
            }
            SecondSend::Hedge(share) if sends < 2 => match self.plan(node, share) {
                Ok(plan) if waited < plan.delay => {
                    self.schedule(sent_at + plan.delay, Event::SendCheck(id));
                }
                Ok(plan) => match self.choose(id, Some(&plan)) {
                    Some(upstream) if self.spend_hedge(node) => {
                        self.record_hedge();
                        self.send(id, upstream);
                    }
                    _ => self.check_later(id, waited),
                },
                Err(_) => self.check_later(id, waited),
            },
            _ => {}
        }
    }

    /// Sends a call again if all upstreams that have it are silent, as
    /// `forward::plain_call` does.
    fn check_silence(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (node, now) = (call.node, self.now);
        let is_silent = |(upstream, sent_at): &(usize, VirtualTime)| {
            let known = self.nodes[node].known[*upstream];
            let patience = self.nodes[node].times.silence_patience(known.latency);
            now - *sent_at >= patience && known.heard_at.is_none_or(|at| at < *sent_at)
        };
        let may_send = call.sends.len() < SENDS_MAX && call.sends.iter().all(is_silent);
        if may_send && let Some(upstream) = self.choose(id, None).filter(|_| self.spend(node)) {
            self.record_extra_send();
            self.send(id, upstream);
        } else {
            self.schedule(now + SILENCE_MIN, Event::SilenceCheck(id));
        }
    }

    fn check_later(&mut self, id: CallId, waited: Duration) {
        let pause = waited.clamp(Duration::from_millis(1), SILENCE_MIN);
        self.schedule(self.now + pause, Event::SendCheck(id));
    }

    fn spend(&mut self, node: usize) -> bool {
        let (now, retry) = (self.instant(), self.scenario.retry);
        self.nodes[node].budget.try_spend(&retry, NODE_COUNT, now)
    }

    fn spend_hedge(&mut self, node: usize) -> bool {
        self.nodes[node].allowance.has_hedge()
            && self.spend(node)
            && self.nodes[node].allowance.try_spend()
    }

    fn record_hedge(&mut self) {
        self.record_extra_send();
        self.result.hedge_count += 1;
        let is_after_onset = self.now >= TROUBLE_START + Duration::from_secs(1);
        self.result.trouble_hedge_count += u64::from(self.is_in_trouble() && is_after_onset);
    }

    fn record_extra_send(&mut self) {
        self.result.extra_send_count += 1;
        if !self.is_in_trouble() {
            return;
        }
        if self.now < TROUBLE_START + Duration::from_secs(1) {
            self.result.onset_extra_send_count += 1;
        } else {
            self.result.trouble_extra_send_count += 1;
        }
    }

    fn give_up(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let now = self.instant();
        self.nodes[call.node].times.record(DEADLINE, now);
        self.end_sends(id, &call);
    }
}
