//! Nodes that place streams on engines, each by what it knows itself.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::engine::{Engine, EngineProfile, Progress, Work};
use super::stream::{Stream, StreamId, VirtualTime};
use crate::policy::liveness::{StreamPhase, probe_delay};
use crate::policy::placement::{Candidate, choose_engine, choose_replica_holder, is_assigned};

/// How a node chooses the engine of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// As nodes do: own engines first, by the prompt tokens they still read.
    OwnFirst,
    /// By the prompt tokens of the node's own work alone.
    KnownTokens,
    /// By the number of the node's own calls alone.
    FewestCalls,
    /// By chance.
    Random,
}

/// How a stream goes on after its engine was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resume {
    /// From a copy in another data centre, where that lives.
    Copy,
    /// By reading everything again.
    ReadAgain,
}

/// The load and the decisions of one play.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// What each engine can do.
    pub(crate) profile: EngineProfile,
    /// Entry nodes.
    pub(crate) node_count: usize,
    /// Engines, dealt out to the data centres in turn.
    pub(crate) engine_count: usize,
    /// Data centres.
    pub(crate) centre_count: usize,
    /// Streams asked for in a second.
    pub(crate) streams_per_s: f64,
    /// Time in which streams are asked for.
    pub(crate) length: Duration,
    /// Tokens of a prompt.
    pub(crate) prompt_tokens: u64,
    /// Tokens of an answer.
    pub(crate) answer_tokens: u64,
    /// When the first data centre's engines are lost, and for how long.
    pub(crate) outage: Option<(VirtualTime, Duration)>,
    /// How prompts are placed.
    pub(crate) placement: Placement,
    /// How streams go on.
    pub(crate) resume: Resume,
}

/// What came of one play.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Every stream.
    pub(crate) streams: Vec<Stream>,
    /// Tokens that were read again.
    pub(crate) reread_tokens: u64,
}

/// Tokens that a resume from a copy still has to read.
const COPY_REST_TOKENS: u64 = 300;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Asked,
    Stepped(usize),
    Lost,
    Back,
    Noticed(StreamId),
}

/// Where a stream runs, and what its node counts for it.
#[derive(Clone, Copy, Debug)]
struct Place {
    node: usize,
    engine: usize,
    prompt_tokens: u64,
    keeper: Option<usize>,
}

/// What one node counts at one engine.
#[derive(Clone, Copy, Debug, Default)]
struct OwnWork {
    prompt_tokens: u64,
    call_count: u32,
}

/// A fleet in virtual time.
#[derive(Debug)]
pub(crate) struct Fleet {
    plan: Plan,
    random: StdRng,
    engines: Vec<Engine>,
    names: Vec<String>,
    is_down: Vec<bool>,
    is_stepping: Vec<bool>,
    pending: Vec<Vec<Progress>>,
    places: BTreeMap<StreamId, Place>,
    events: BinaryHeap<Reverse<(VirtualTime, u64, Event)>>,
    event_count: u64,
    outcome: Outcome,
}

impl Fleet {
    /// Plays a plan from a seed.
    pub(crate) fn play(plan: Plan, seed: u64) -> Outcome {
        let engine_count = plan.engine_count;
        let mut fleet = Self {
            random: StdRng::seed_from_u64(seed),
            engines: vec![Engine::new(plan.profile); engine_count],
            names: (0..engine_count).map(|n| format!("e-{n:04}")).collect(),
            is_down: vec![false; engine_count],
            is_stepping: vec![false; engine_count],
            pending: vec![Vec::new(); engine_count],
            places: BTreeMap::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            outcome: Outcome::default(),
            plan,
        };
        fleet.at(Duration::ZERO, Event::Asked);
        if let Some((lost_at, lasts)) = fleet.plan.outage {
            fleet.at(lost_at, Event::Lost);
            fleet.at(lost_at + lasts, Event::Back);
        }
        while let Some(Reverse((now, _, event))) = fleet.events.pop() {
            fleet.take(event, now);
        }
        fleet.outcome
    }

    fn at(&mut self, at: VirtualTime, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn take(&mut self, event: Event, now: VirtualTime) {
        match event {
            Event::Asked => self.ask(now),
            Event::Stepped(engine) => self.stepped(engine, now),
            Event::Lost => self.lose(now),
            Event::Back => self.is_down.fill(false),
            Event::Noticed(stream) => self.go_on(stream, now),
        }
    }

    fn ask(&mut self, now: VirtualTime) {
        let stream = self.outcome.streams.len();
        self.outcome.streams.push(Stream::asked(now));
        let node = self.random.random_range(0..self.plan.node_count);
        self.send(stream, node, self.plan.prompt_tokens, 0, now);
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        let next = now + Duration::from_secs_f64(-draw.ln() / self.plan.streams_per_s);
        if next < self.plan.length {
            self.at(next, Event::Asked);
        }
    }

    fn send(
        &mut self,
        stream: StreamId,
        node: usize,
        unread_tokens: u64,
        kept_tokens: u64,
        now: VirtualTime,
    ) {
        let Some(engine) = self.choose(node) else {
            return;
        };
        self.send_to(engine, stream, node, unread_tokens, kept_tokens, now);
    }

    fn send_to(
        &mut self,
        engine: usize,
        stream: StreamId,
        node: usize,
        unread_tokens: u64,
        kept_tokens: u64,
        now: VirtualTime,
    ) {
        let keeper = self.choose_keeper(node, engine);
        let place = Place {
            node,
            engine,
            prompt_tokens: unread_tokens,
            keeper,
        };
        self.places.insert(stream, place);
        let made_tokens = self.outcome.streams[stream].event_count * self.plan.profile.event_tokens;
        self.engines[engine].accept(Work {
            stream,
            unread_tokens,
            kept_tokens,
            left_tokens: self.plan.answer_tokens - made_tokens,
        });
        self.step(engine, now);
    }

    fn step(&mut self, engine: usize, now: VirtualTime) {
        if self.is_stepping[engine] || self.is_down[engine] || self.engines[engine].is_idle() {
            return;
        }
        let (took, progress) = self.engines[engine].step();
        self.is_stepping[engine] = true;
        self.pending[engine] = progress;
        self.at(now + took, Event::Stepped(engine));
    }

    fn stepped(&mut self, engine: usize, now: VirtualTime) {
        self.is_stepping[engine] = false;
        for progress in std::mem::take(&mut self.pending[engine]) {
            match progress {
                Progress::Event(stream) => {
                    self.outcome.streams[stream].event(now);
                    if let Some(place) = self.places.get_mut(&stream) {
                        place.prompt_tokens = 0;
                    }
                }
                Progress::Complete(stream) => {
                    self.outcome.streams[stream].is_complete = true;
                    self.places.remove(&stream);
                }
                Progress::Preempted(_, tokens) => self.outcome.reread_tokens += tokens,
            }
        }
        self.step(engine, now);
    }

    /// The first data centre's engines die with all that they hold.
    fn lose(&mut self, now: VirtualTime) {
        for engine in (0..self.engines.len()).step_by(self.plan.centre_count) {
            self.is_down[engine] = true;
            self.engines[engine] = Engine::new(self.plan.profile);
            self.pending[engine].clear();
        }
        let cut: Vec<StreamId> = self
            .places
            .iter()
            .filter(|(_, place)| self.is_down[place.engine])
            .map(|(stream, _)| *stream)
            .collect();
        let noticed_at = now + probe_delay(StreamPhase::Decode, false);
        for stream in cut {
            self.at(noticed_at, Event::Noticed(stream));
        }
    }

    fn go_on(&mut self, stream: StreamId, now: VirtualTime) {
        let Some(place) = self.places.remove(&stream) else {
            return;
        };
        let events = self.outcome.streams[stream].event_count;
        let whole_tokens = self.plan.prompt_tokens + events * self.plan.profile.event_tokens;
        let keeper = place.keeper.filter(|k| !self.is_down[*k] && events > 0);
        match keeper {
            Some(keeper) if self.plan.resume == Resume::Copy => {
                let rest = COPY_REST_TOKENS.min(whole_tokens);
                self.outcome.reread_tokens += rest;
                self.send_to(keeper, stream, place.node, rest, whole_tokens - rest, now);
            }
            _ => {
                self.outcome.reread_tokens += whole_tokens;
                self.send(stream, place.node, whole_tokens, 0, now);
            }
        }
    }

    fn choose(&mut self, node: usize) -> Option<usize> {
        let draw = self.random.random();
        let count = self.engines.len();
        let own_work = self.own_work(node);
        let seen = |uses_tokens: bool, uses_own: bool| -> Vec<Candidate<'_>> {
            let own = own_work.iter().enumerate();
            own.map(|(engine, own)| Candidate {
                pending_prompt_tokens: if uses_tokens { own.prompt_tokens } else { 0 },
                is_assigned: !uses_own || is_assigned(engine, count, node, self.plan.node_count),
                ..self.candidate(engine, *own)
            })
            .collect()
        };
        match self.plan.placement {
            Placement::OwnFirst => choose_engine(&seen(true, true), draw),
            Placement::KnownTokens => choose_engine(&seen(true, false), draw),
            Placement::FewestCalls => choose_engine(&seen(false, false), draw),
            Placement::Random => {
                let up: BTreeSet<usize> = (0..self.engines.len())
                    .filter(|engine| !self.is_down[*engine])
                    .collect();
                let pick = draw.checked_rem(up.len() as u64)?;
                up.into_iter().nth(pick as usize)
            }
        }
    }

    fn choose_keeper(&self, node: usize, primary: usize) -> Option<usize> {
        let own_work = self.own_work(node);
        let own = own_work.iter().enumerate();
        let candidates: Vec<Candidate<'_>> = own
            .map(|(engine, own)| self.candidate(engine, *own))
            .collect();
        let centre = centre_name(primary % self.plan.centre_count);
        choose_replica_holder(&candidates, Some(&self.names[primary]), centre, 0)
    }

    /// An engine as a node sees it that knows its own work alone.
    fn candidate(&self, engine: usize, own: OwnWork) -> Candidate<'_> {
        Candidate {
            id: &self.names[engine],
            data_centre: centre_name(engine % self.plan.centre_count),
            pending_prompt_tokens: own.prompt_tokens,
            kv_cache_tokens: 0,
            call_count: own.call_count,
            latency: Duration::ZERO,
            failure_share: 0.0,
            is_avoided: self.is_down[engine],
            was_tried: false,
            is_assigned: false,
        }
    }

    fn own_work(&self, node: usize) -> Vec<OwnWork> {
        let mut own = vec![OwnWork::default(); self.engines.len()];
        for place in self.places.values().filter(|place| place.node == node) {
            let work = &mut own[place.engine];
            work.prompt_tokens += place.prompt_tokens;
            work.call_count += 1;
        }
        own
    }
}

fn centre_name(centre: usize) -> &'static str {
    ["a", "b", "c", "d"].get(centre).copied().unwrap_or("e")
}
