//! Simulates nodes that place streams on engines.
//!
//! As in the real system, nodes do not share their load: each node knows only
//! which engines are down and the streams that it placed itself. For each stream,
//! a second engine is chosen that holds a replica of the stream's KV cache, from
//! which the stream can be resumed when its engine fails.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::engine::{Engine, EngineProfile, Progress, StreamWork};
use super::stream::{Stream, StreamId, VirtualTime};
use crate::policy::engine_speed::{EngineSpeed, GapMeter, SpeedEstimate};
use crate::policy::liveness::{StreamPhase, probe_delay};
use crate::policy::placement::{Candidate, choose_engine, choose_replica_holder, is_assigned};
use crate::policy::priority_class::PriorityClass;

/// Interval of the bursts of requests.
const BURST_INTERVAL: Duration = Duration::from_secs(15);
/// Duration of a burst.
const BURST_DURATION: Duration = Duration::from_secs(4);

/// How a node chooses the engine for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// As real nodes do: the engine with the least known load, by the time that it takes at
    /// the speed that the node learned. The load is that of prompts which are not yet through
    /// prefill and of streams, both of the node's own streams alone. An engine that is not assigned to the node is
    /// expected to have load from other nodes, too.
    ExpectedTime,
    /// As real nodes do that know no speed of an engine: the load is counted in tokens.
    OwnFirst,
    /// As [`Placement::OwnFirst`], but without load expected from other nodes.
    KnownTokens,
    /// The engine with the fewest of the node's own streams.
    FewestCalls,
    /// A random engine.
    Random,
}

/// How a stream is resumed after the loss of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResumeMethod {
    /// At the engine that holds the replica of its KV cache, usually in another
    /// data centre, if that engine is up and the stream has sent an event;
    /// otherwise as [`ResumeMethod::ReadAgain`].
    Copy,
    /// At any engine, by prefill of the prompt and of the whole answer so far.
    ReadAgain,
}

/// A kind of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StreamKind {
    /// Priority of its streams at engines.
    pub(crate) priority_class: PriorityClass,
    /// Longest time from the request to the first event of a stream on time.
    pub(crate) first_event_max: Duration,
    /// Factor of its requests in bursts.
    pub(crate) burst_factor: f64,
}

/// Losses of many engines of one data centre, again and again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RecurringLosses {
    pub(crate) interval: Duration,
    /// How long the engines are down.
    pub(crate) duration: Duration,
    /// Smallest and largest share of the data centre's engines that are lost.
    pub(crate) share: (f64, f64),
}

/// Moments in which some engines are slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Slowdowns {
    pub(crate) interval: Duration,
    pub(crate) duration: Duration,
    /// Share of the engines that are slow.
    pub(crate) share: f64,
    /// Factor of the time of a step.
    pub(crate) factor: f64,
}

/// The load, the engines and the strategies of one simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// Speed and capacity of each engine.
    pub(crate) profile: EngineProfile,
    /// Speeds of the engines of a data centre, relative to the profile, in turn.
    pub(crate) speeds: Vec<f64>,
    pub(crate) slowdowns: Option<Slowdowns>,
    pub(crate) losses: Option<RecurringLosses>,
    /// Kinds of the requests, which are equally frequent outside of bursts.
    pub(crate) kinds: Vec<StreamKind>,
    pub(crate) node_count: usize,
    /// Number of engines, distributed evenly over the data centres.
    pub(crate) engine_count: usize,
    pub(crate) data_centre_count: usize,
    /// Mean number of streams requested per second.
    pub(crate) streams_per_s: f64,
    /// Time during which streams are requested.
    pub(crate) arrival_duration: Duration,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    /// When the engines of the first data centre fail and how long they are down;
    /// `None` if they do not fail.
    pub(crate) outage: Option<(VirtualTime, Duration)>,
    /// How a node chooses the engine for a stream.
    pub(crate) placement: Placement,
    /// How a stream is resumed after the loss of its engine.
    pub(crate) resume: ResumeMethod,
}

/// The result of one simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimulationResult {
    /// All streams, in the order of their requests.
    pub(crate) streams: Vec<Stream>,
    /// Tokens that had to go through prefill again, after the loss of an engine
    /// or a preemption.
    pub(crate) recomputed_tokens: u64,
}

/// Tokens that still have to go through prefill when a stream is resumed from a
/// replica.
const REPLICA_RESUME_PREFILL_TOKENS: u64 = 300;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival,
    StepEnd(usize),
    OutageStart,
    LossesStart,
    OutageEnd,
    SlowdownStart,
    SlowdownEnd,
    LossDetected(StreamId),
}

/// Where a stream runs: its node, its engine and the holder of its KV cache
/// replica; and the prompt tokens whose prefill the node still counts as pending.
#[derive(Clone, Copy, Debug)]
struct Assignment {
    node: usize,
    engine: usize,
    pending_prompt_tokens: u64,
    replica_holder: Option<usize>,
    sent_at: VirtualTime,
    /// Prompt tokens whose prefill shows the speed of the engine, because the node had no
    /// others pending there.
    measured_prompt_tokens: u64,
    gap_meter: GapMeter,
}

/// Load that one node has placed on one engine.
#[derive(Clone, Copy, Debug, Default)]
struct OwnWork {
    pending_prompt_tokens: u64,
    call_count: u32,
}

/// The state of a simulation. Engines are numbered; engine `n` is in data centre
/// `n % data_centre_count`.
#[derive(Debug)]
pub(crate) struct Simulator {
    scenario: Scenario,
    random: StdRng,
    engines: Vec<Engine>,
    engine_names: Vec<String>,
    is_down: Vec<bool>,
    is_slow: Vec<bool>,
    /// What each node learned of each engine, by node and engine.
    learned: BTreeMap<(usize, usize), EngineSpeed>,
    /// Instant that stands for the start of the simulation.
    epoch: Instant,
    /// Whether the end of a step is scheduled, for each engine.
    is_stepping: Vec<bool>,
    /// Results of each engine's current step, which take effect at its end.
    step_progress: Vec<Vec<Progress>>,
    /// Streams that were sent to an engine and are not complete.
    assignments: BTreeMap<StreamId, Assignment>,
    /// Scheduled events, each with its time and its number. Events at the same
    /// time are handled in the order in which they were scheduled.
    events: BinaryHeap<Reverse<(VirtualTime, u64, SimulationEvent)>>,
    scheduled_count: u64,
    result: SimulationResult,
}

impl Simulator {
    /// Simulates a scenario until no event is left. Results with the same seed
    /// are equal.
    pub(crate) fn run(scenario: Scenario, seed: u64) -> SimulationResult {
        let engine_count = scenario.engine_count;
        let mut simulator = Self {
            random: StdRng::seed_from_u64(seed),
            engines: vec![Engine::new(scenario.profile); engine_count],
            engine_names: (0..engine_count).map(|n| format!("e-{n:04}")).collect(),
            is_down: vec![false; engine_count],
            is_slow: vec![false; engine_count],
            learned: BTreeMap::new(),
            epoch: Instant::now(),
            is_stepping: vec![false; engine_count],
            step_progress: vec![Vec::new(); engine_count],
            assignments: BTreeMap::new(),
            events: BinaryHeap::new(),
            scheduled_count: 0,
            result: SimulationResult::default(),
            scenario,
        };
        simulator.schedule(Duration::ZERO, SimulationEvent::Arrival);
        if let Some((outage_start, outage_duration)) = simulator.scenario.outage {
            simulator.schedule(outage_start, SimulationEvent::OutageStart);
            simulator.schedule(outage_start + outage_duration, SimulationEvent::OutageEnd);
        }
        if let Some(losses) = simulator.scenario.losses {
            simulator.schedule(losses.interval, SimulationEvent::LossesStart);
        }
        if let Some(slowdowns) = simulator.scenario.slowdowns {
            simulator.schedule(slowdowns.interval, SimulationEvent::SlowdownStart);
        }
        while let Some(Reverse((now, _, event))) = simulator.events.pop() {
            simulator.handle(event, now);
        }
        simulator.result
    }

    fn schedule(&mut self, at: VirtualTime, event: SimulationEvent) {
        self.scheduled_count += 1;
        self.events.push(Reverse((at, self.scheduled_count, event)));
    }

    fn handle(&mut self, event: SimulationEvent, now: VirtualTime) {
        match event {
            SimulationEvent::Arrival => self.handle_arrival(now),
            SimulationEvent::StepEnd(engine) => self.handle_step_end(engine, now),
            SimulationEvent::OutageStart => self.start_outage(now),
            SimulationEvent::LossesStart => self.start_losses(now),
            SimulationEvent::OutageEnd => self.is_down.fill(false),
            SimulationEvent::SlowdownStart => self.start_slowdown(now),
            SimulationEvent::SlowdownEnd => self.is_slow.fill(false),
            SimulationEvent::LossDetected(stream) => self.resume(stream, now),
        }
    }

    fn handle_arrival(&mut self, now: VirtualTime) {
        let stream = self.result.streams.len();
        let kind = self.draw_kind(now);
        self.result.streams.push(Stream::requested(kind, now));
        let node = self.random.random_range(0..self.scenario.node_count);
        self.place(stream, node, self.scenario.prompt_tokens, 0, now);
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        let factors = self.kind_factors(now);
        let mean_factor = factors.iter().sum::<f64>() / factors.len() as f64;
        let rate = self.scenario.streams_per_s * mean_factor;
        let next = now + Duration::from_secs_f64(-draw.ln() / rate);
        if next < self.scenario.arrival_duration {
            self.schedule(next, SimulationEvent::Arrival);
        }
    }

    /// Frequency of each kind of request, relative to that outside of bursts.
    fn kind_factors(&self, now: VirtualTime) -> Vec<f64> {
        let in_burst = now.as_millis() % BURST_INTERVAL.as_millis() < BURST_DURATION.as_millis();
        let kinds = self.scenario.kinds.iter();
        kinds
            .map(|kind| if in_burst { kind.burst_factor } else { 1.0 })
            .collect()
    }

    fn draw_kind(&mut self, now: VirtualTime) -> usize {
        let factors = self.kind_factors(now);
        let mut draw: f64 = self.random.random_range(0.0..factors.iter().sum());
        for (kind, factor) in factors.iter().enumerate() {
            draw -= factor;
            if draw < 0.0 {
                return kind;
            }
        }
        0
    }

    /// Sends a stream to the engine that the scenario's placement chooses.
    fn place(
        &mut self,
        stream: StreamId,
        node: usize,
        tokens_to_prefill: u64,
        cached_tokens: u64,
        now: VirtualTime,
    ) {
        let Some(engine) = self.choose_engine(node, tokens_to_prefill, now) else {
            return;
        };
        self.send(engine, stream, node, tokens_to_prefill, cached_tokens, now);
    }

    fn send(
        &mut self,
        engine: usize,
        stream: StreamId,
        node: usize,
        tokens_to_prefill: u64,
        cached_tokens: u64,
        now: VirtualTime,
    ) {
        let replica_holder = self.choose_holder(node, engine);
        let has_own_pending = self.own_work(node)[engine].pending_prompt_tokens > 0;
        let assignment = Assignment {
            node,
            engine,
            pending_prompt_tokens: tokens_to_prefill,
            replica_holder,
            sent_at: now,
            measured_prompt_tokens: if has_own_pending || cached_tokens > 0 {
                0
            } else {
                tokens_to_prefill
            },
            gap_meter: GapMeter::default(),
        };
        self.assignments.insert(stream, assignment);
        let generated_tokens =
            self.result.streams[stream].event_count * self.scenario.profile.tokens_per_event;
        self.engines[engine].accept(StreamWork {
            stream,
            tokens_to_prefill,
            cached_tokens,
            tokens_to_generate: self.scenario.answer_tokens - generated_tokens,
            priority_class: self.scenario.kinds[self.result.streams[stream].kind].priority_class,
        });
        self.start_step(engine, now);
    }

    fn start_step(&mut self, engine: usize, now: VirtualTime) {
        if self.is_stepping[engine] || self.is_down[engine] || self.engines[engine].is_idle() {
            return;
        }
        let (step_time, progress) = self.engines[engine].step();
        self.is_stepping[engine] = true;
        self.step_progress[engine] = progress;
        let at_full_speed = step_time.div_f64(self.speed(engine));
        let slowdown = self.scenario.slowdowns.filter(|_| self.is_slow[engine]);
        let step_time = at_full_speed.mul_f64(slowdown.map_or(1.0, |slowdown| slowdown.factor));
        self.schedule(now + step_time, SimulationEvent::StepEnd(engine));
    }

    fn handle_step_end(&mut self, engine: usize, now: VirtualTime) {
        self.is_stepping[engine] = false;
        for progress in std::mem::take(&mut self.step_progress[engine]) {
            match progress {
                Progress::Event(stream) => {
                    self.result.streams[stream].record_event(now);
                    self.learn(stream, now);
                    if let Some(assignment) = self.assignments.get_mut(&stream) {
                        assignment.pending_prompt_tokens = 0;
                    }
                }
                Progress::Complete(stream) => {
                    self.result.streams[stream].is_complete = true;
                    self.assignments.remove(&stream);
                }
                Progress::Preempted(_, tokens) => self.result.recomputed_tokens += tokens,
            }
        }
        self.start_step(engine, now);
    }

    /// Has the node of a stream learn from an event.
    fn learn(&mut self, stream: StreamId, now: VirtualTime) {
        let at = self.epoch + now;
        let Some(assignment) = self.assignments.get_mut(&stream) else {
            return;
        };
        let key = (assignment.node, assignment.engine);
        let speed = self.learned.entry(key).or_default();
        let prompt_tokens = std::mem::take(&mut assignment.measured_prompt_tokens);
        speed.record_prefill(prompt_tokens, now.saturating_sub(assignment.sent_at), at);
        if let Some(gap) = assignment.gap_meter.record_event(at) {
            speed.record_gap(gap, at);
        }
    }

    /// Speed of an engine, relative to the profile.
    fn speed(&self, engine: usize) -> f64 {
        let number = engine / self.scenario.data_centre_count;
        self.scenario.speeds[number % self.scenario.speeds.len()]
    }

    fn start_slowdown(&mut self, now: VirtualTime) {
        let Some(slowdowns) = self.scenario.slowdowns else {
            return;
        };
        for engine in 0..self.engines.len() {
            self.is_slow[engine] = self.random.random_bool(slowdowns.share);
        }
        self.schedule(now + slowdowns.duration, SimulationEvent::SlowdownEnd);
        let next = now + slowdowns.interval;
        if next < self.scenario.arrival_duration {
            self.schedule(next, SimulationEvent::SlowdownStart);
        }
    }

    /// Loses many engines of a random data centre.
    fn start_losses(&mut self, now: VirtualTime) {
        let Some(losses) = self.scenario.losses else {
            return;
        };
        let share = self.random.random_range(losses.share.0..losses.share.1);
        let data_centre_count = self.scenario.data_centre_count;
        let first = self.random.random_range(0..data_centre_count);
        let of_data_centre = (first..self.engines.len()).step_by(data_centre_count);
        let lost: Vec<usize> = of_data_centre
            .filter(|_| self.random.random_bool(share))
            .collect();
        self.fail(&lost, now);
        self.schedule(now + losses.duration, SimulationEvent::OutageEnd);
        let next = now + losses.interval;
        if next < self.scenario.arrival_duration {
            self.schedule(next, SimulationEvent::LossesStart);
        }
    }

    /// Fails the engines of the first data centre.
    fn start_outage(&mut self, now: VirtualTime) {
        let lost: Vec<usize> = (0..self.engines.len())
            .step_by(self.scenario.data_centre_count)
            .collect();
        self.fail(&lost, now);
    }

    /// Fails engines, which lose all their streams.
    fn fail(&mut self, lost: &[usize], now: VirtualTime) {
        for &engine in lost {
            self.is_down[engine] = true;
            self.engines[engine] = Engine::new(self.scenario.profile);
            self.step_progress[engine].clear();
        }
        let lost_streams: Vec<StreamId> = self
            .assignments
            .iter()
            .filter(|(_, assignment)| self.is_down[assignment.engine])
            .map(|(stream, _)| *stream)
            .collect();
        let detected_at = now + probe_delay(StreamPhase::Decode, false);
        for stream in lost_streams {
            self.schedule(detected_at, SimulationEvent::LossDetected(stream));
        }
    }

    fn resume(&mut self, stream: StreamId, now: VirtualTime) {
        let Some(assignment) = self.assignments.remove(&stream) else {
            return;
        };
        let event_count = self.result.streams[stream].event_count;
        let total_tokens =
            self.scenario.prompt_tokens + event_count * self.scenario.profile.tokens_per_event;
        let holder = assignment
            .replica_holder
            .filter(|engine| !self.is_down[*engine] && event_count > 0);
        match holder {
            Some(holder) if self.scenario.resume == ResumeMethod::Copy => {
                let tokens_to_prefill = REPLICA_RESUME_PREFILL_TOKENS.min(total_tokens);
                self.result.recomputed_tokens += tokens_to_prefill;
                self.send(
                    holder,
                    stream,
                    assignment.node,
                    tokens_to_prefill,
                    total_tokens - tokens_to_prefill,
                    now,
                );
            }
            _ => {
                self.result.recomputed_tokens += total_tokens;
                self.place(stream, assignment.node, total_tokens, 0, now);
            }
        }
    }

    fn choose_engine(
        &mut self,
        node: usize,
        prompt_tokens: u64,
        now: VirtualTime,
    ) -> Option<usize> {
        let draw = self.random.random();
        let count = self.engines.len();
        let own_work = self.own_work(node);
        let candidates = |uses_tokens: bool, prefers_assigned: bool| -> Vec<Candidate<'_>> {
            let own = own_work.iter().enumerate();
            own.map(|(engine, own)| Candidate {
                pending_prompt_tokens: if uses_tokens {
                    own.pending_prompt_tokens
                } else {
                    0
                },
                is_assigned: !prefers_assigned
                    || is_assigned(engine, count, node, self.scenario.node_count),
                ..self.candidate(engine, *own)
            })
            .collect()
        };
        let choose_engine =
            |candidates: &[Candidate<'_>], draw| choose_engine(candidates, prompt_tokens, draw);
        match self.scenario.placement {
            Placement::ExpectedTime => {
                let candidates = self.with_speeds(candidates(true, true), node, now);
                choose_engine(&candidates, draw)
            }
            Placement::OwnFirst => choose_engine(&candidates(true, true), draw),
            Placement::KnownTokens => choose_engine(&candidates(true, false), draw),
            Placement::FewestCalls => choose_engine(&candidates(false, false), draw),
            Placement::Random => {
                let up: BTreeSet<usize> = (0..self.engines.len())
                    .filter(|engine| !self.is_down[*engine])
                    .collect();
                let pick = draw.checked_rem(up.len() as u64)?;
                up.into_iter().nth(pick as usize)
            }
        }
    }

    /// Adds what the node learned of the engines.
    fn with_speeds<'a>(
        &self,
        mut candidates: Vec<Candidate<'a>>,
        node: usize,
        now: VirtualTime,
    ) -> Vec<Candidate<'a>> {
        for (engine, candidate) in candidates.iter_mut().enumerate() {
            if let Some(speed) = self.learned.get(&(node, engine)) {
                candidate.speed = speed.estimate(self.epoch + now);
            }
        }
        candidates
    }

    fn choose_holder(&mut self, node: usize, source: usize) -> Option<usize> {
        let draw = self.random.random();
        let own_work = self.own_work(node);
        let own = own_work.iter().enumerate();
        let candidates: Vec<Candidate<'_>> = own
            .map(|(engine, own)| self.candidate(engine, *own))
            .collect();
        let data_centre = data_centre_name(source % self.scenario.data_centre_count);
        choose_replica_holder(
            &candidates,
            Some(&self.engine_names[source]),
            data_centre,
            draw,
        )
    }

    /// Describes an engine as a node sees it that has placed `own` on the engine.
    fn candidate(&self, engine: usize, own: OwnWork) -> Candidate<'_> {
        Candidate {
            id: &self.engine_names[engine],
            data_centre: data_centre_name(engine % self.scenario.data_centre_count),
            pending_prompt_tokens: own.pending_prompt_tokens,
            kv_cache_tokens: 0,
            call_count: own.call_count,
            latency: Duration::ZERO,
            failure_share: 0.0,
            is_avoided: self.is_down[engine],
            was_tried: false,
            is_assigned: false,
            speed: SpeedEstimate::default(),
        }
    }

    fn own_work(&self, node: usize) -> Vec<OwnWork> {
        let mut own = vec![OwnWork::default(); self.engines.len()];
        for assignment in self
            .assignments
            .values()
            .filter(|assignment| assignment.node == node)
        {
            let work = &mut own[assignment.engine];
            work.pending_prompt_tokens += assignment.pending_prompt_tokens;
            work.call_count += 1;
        }
        own
    }
}

fn data_centre_name(data_centre: usize) -> &'static str {
    ["a", "b", "c", "d"]
        .get(data_centre)
        .copied()
        .unwrap_or("e")
}
