//! The kinds of faults, and the choice of those that a run injects.

/// The summary line prints these names, and scripts read them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    KillNode,
    /// The node gets SIGTERM.
    StopNode,
    /// The node gets SIGSTOP.
    PauseNode,
    /// The node gets SIGHUP.
    ReloadNode,
    /// For half a second to six seconds, some or all nodes lose all upstreams:
    /// connections are reset, or open ones live on while new ones are refused.
    CutNode,
    /// The same with links that accept connections and pass nothing. It is injected
    /// only by its name.
    MuteNode,
    /// The proxy between a node and the store delays, holds back or resets traffic.
    CutStoreLink,
    /// The store answers every request with status 503.
    StoreAway,
    /// The store does not answer.
    StoreSilent,
    /// The store drops the history of changes, so that nodes must list again.
    ForgetHistory,
    /// The store comes back from a copy some seconds old; upstreams and operator write
    /// again what they wrote since. It is injected only by its name.
    RestoreStore,
    /// The engine crashes and starts again as a new incarnation.
    CrashEngine,
    /// All engines of a data centre crash and start again, one after the other.
    CrashDataCentre,
    /// Requests share a part that crashes each engine.
    CrashingPart,
    /// An upstream names a limit on the requests of all nodes together.
    NameLimit,
    /// An upstream turns everything away for a while, and asks each node for rest. It is
    /// injected only by its name.
    AskForRest,
    FreezeEngine,
    CutEngineLink,
    DrainEngine,
    /// One call fails at a service, in one of the ways of `NextFault`.
    ServiceFails,
    CutServiceLink,
    /// One upstream sends and answers nothing for about a second, and goes on.
    SilenceUpstream,
    /// The same for all engines of a data centre.
    SilenceDataCentre,
    /// The same for all engines and services.
    SilenceAll,
    /// The process of an upstream is suspended for 0.6 to 2 s, as by SIGSTOP.
    SuspendUpstream,
    /// The same for all engines of a data centre.
    SuspendDataCentre,
    /// The proxy to an upstream holds back all traffic for one to two and a half
    /// seconds. It is injected only by its name.
    MuteLink,
    /// The open connections of all nodes to the store and to upstreams fall silent for good,
    /// while new ones work. It is injected only by its name.
    SeverLinks,
    /// Another writer puts an entry among those of the upstreams that can't be read. It is
    /// injected only by its name.
    OddEntry,
    /// Another writer puts an entry with the address of an upstream among those of the
    /// upstreams, or takes one away. It is injected only by its name.
    ClaimAddress,
    /// A service writes an earlier refusal where the answer to a call is due. It is injected
    /// only by its name.
    EarlierRefusal,
    /// An engine answers the next call that goes on with a stream with an error. It is
    /// injected only by its name.
    ErrorInStream,
    /// A new version without other changes.
    ChangeVersion,
    ChangeIdleLimit,
    /// Limits on the size of headers and bodies, and on the time for headers.
    ChangeSizeLimits,
    ChangeTimeout,
    ChangePriority,
    /// Splits the plain routes between two services.
    ChangeWeights,
    /// Moves the plain routes to one of two services.
    ChangeRouteService,
    /// Removes a route, or adds it again.
    ChangeRoutes,
    ChangeKeys,
}

const DEFAULT_KINDS: [FaultKind; 32] = [
    FaultKind::KillNode,
    FaultKind::StopNode,
    FaultKind::PauseNode,
    FaultKind::ReloadNode,
    FaultKind::CutNode,
    FaultKind::CutStoreLink,
    FaultKind::StoreAway,
    FaultKind::StoreSilent,
    FaultKind::ForgetHistory,
    FaultKind::CrashEngine,
    FaultKind::CrashDataCentre,
    FaultKind::CrashingPart,
    FaultKind::NameLimit,
    FaultKind::FreezeEngine,
    FaultKind::CutEngineLink,
    FaultKind::DrainEngine,
    FaultKind::ServiceFails,
    FaultKind::CutServiceLink,
    FaultKind::SilenceUpstream,
    FaultKind::SilenceDataCentre,
    FaultKind::SilenceAll,
    FaultKind::SuspendUpstream,
    FaultKind::SuspendDataCentre,
    FaultKind::ChangeVersion,
    FaultKind::ChangeIdleLimit,
    FaultKind::ChangeSizeLimits,
    FaultKind::ChangeTimeout,
    FaultKind::ChangePriority,
    FaultKind::ChangeWeights,
    FaultKind::ChangeRouteService,
    FaultKind::ChangeRoutes,
    FaultKind::ChangeKeys,
];

/// Kinds that are injected only by their names.
const NAMED_KINDS: [FaultKind; 9] = [
    FaultKind::MuteLink,
    FaultKind::MuteNode,
    FaultKind::AskForRest,
    FaultKind::RestoreStore,
    FaultKind::SeverLinks,
    FaultKind::OddEntry,
    FaultKind::ClaimAddress,
    FaultKind::EarlierRefusal,
    FaultKind::ErrorInStream,
];

impl FaultKind {
    /// The kinds that `SOAK_FAULTS` names, by their names or the starts of their
    /// names, separated by commas. Without it, all kinds but those that are injected only
    /// by their names.
    pub fn selected() -> Vec<Self> {
        std::env::var("SOAK_FAULTS")
            .map_or_else(|_| DEFAULT_KINDS.to_vec(), |names| Self::named(&names))
    }

    /// The kinds with these names or starts of names, separated by commas.
    pub fn named(names: &str) -> Vec<Self> {
        let mut selected: Vec<Self> = Vec::new();
        for name in names.split(',') {
            let all = DEFAULT_KINDS.into_iter().chain(NAMED_KINDS);
            let count_before = selected.len();
            selected.extend(all.filter(|kind| format!("{kind:?}").starts_with(name)));
            assert!(selected.len() > count_before, "no kind of fault is {name}");
        }
        selected
    }

    /// Whether it leaves the news of a draining engine as they are.
    pub fn keeps_draining_bound(self) -> bool {
        matches!(
            self,
            Self::CrashEngine
                | Self::DrainEngine
                | Self::OddEntry
                | Self::ClaimAddress
                | Self::EarlierRefusal
                | Self::ErrorInStream
        )
    }
}
