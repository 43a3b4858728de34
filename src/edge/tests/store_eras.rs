//! Property test of the lists of upstreams that nodes take from the store and from each
//! other while the store comes back from copies.

use std::collections::BTreeMap;
use std::time::Instant;

use proptest::prelude::*;

use crate::edge::tests::upstream_log::{changes_after, entry, registered, removed};
use crate::edge::upstream_log::{UpstreamLog, UpstreamUpdate};
use crate::id::{Era, UpstreamId, Version};
use crate::platform::store::UpstreamChange;
use crate::store::revision::Revision;

const NODE_COUNT: usize = 3;
const UPSTREAM_COUNT: u8 = 4;

/// One step of a scene. A node that takes no step for a while is frozen or cut off.
#[derive(Clone, Debug)]
enum Step {
    Register(u8),
    Remove(u8),
    /// Makes the copy from which the store comes back later.
    Copy,
    ComeBack,
    /// The node reads the store: a watch if its revision is known there, else a list.
    Read(usize),
    /// The first node takes from the second what it lacks.
    Fetch(usize, usize),
}

#[derive(Clone, Default)]
struct Content {
    number: Version,
    upstreams: BTreeMap<UpstreamId, Version>,
    history: Vec<(Version, UpstreamChange)>,
}

#[derive(Default)]
struct StoreModel {
    era: Era,
    content: Content,
    copy: Content,
}

impl StoreModel {
    fn write(&mut self, change: UpstreamChange) {
        let content = &mut self.content;
        content.number += 1;
        match &change {
            UpstreamChange::Registered(entry) => {
                content.upstreams.insert(entry.id.clone(), content.number);
            }
            UpstreamChange::Removed(id) => {
                content.upstreams.remove(id);
            }
        }
        content.history.push((content.number, change));
    }

    fn come_back(&mut self) {
        self.era += 1;
        self.content = self.copy.clone();
    }

    fn answer(&self, held: Option<Revision>) -> UpstreamUpdate {
        let known = held.filter(|held| held.era == Some(self.era));
        let revision = Revision {
            era: Some(self.era),
            number: self.content.number,
        };
        let changes = match known {
            Some(held) => {
                let history = self.content.history.iter();
                let newer = history.filter(|(at, _)| *at > held.number);
                newer.map(|(_, change)| change.clone()).collect()
            }
            None => {
                let ids = self.content.upstreams.keys();
                ids.map(|id| registered(id)).collect()
            }
        };
        UpstreamUpdate {
            is_snapshot: known.is_none(),
            changes,
            revision,
        }
    }

    fn list(&self) -> Vec<UpstreamId> {
        self.content.upstreams.keys().cloned().collect()
    }
}

fn listed(log: &UpstreamLog) -> Vec<UpstreamId> {
    let snapshot = changes_after(log, None);
    let changes = snapshot.changes.into_iter();
    let ids = changes.filter_map(|change| match change {
        UpstreamChange::Registered(entry) => Some(entry.id),
        UpstreamChange::Removed(_) => None,
    });
    ids.collect()
}

fn fetch(logs: &[UpstreamLog], to: usize, from: usize) {
    if logs[from].revision().is_some() {
        let changes = changes_after(&logs[from], logs[to].revision());
        logs[to].apply(&changes, Instant::now());
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..UPSTREAM_COUNT).prop_map(Step::Register),
        (0..UPSTREAM_COUNT).prop_map(Step::Remove),
        Just(Step::Copy),
        Just(Step::ComeBack),
        (0..NODE_COUNT).prop_map(Step::Read),
        (0..NODE_COUNT, 0..NODE_COUNT).prop_map(|(to, from)| Step::Fetch(to, from)),
    ]
}

proptest! {
    #[test]
    fn nodes_end_with_the_stores_list_whatever_its_eras_and_their_order(
        steps in prop::collection::vec(step(), 0..60),
    ) {
        let mut store = StoreModel::default();
        store.write(registered("u9"));
        let logs: Vec<UpstreamLog> = (0..NODE_COUNT).map(|_| UpstreamLog::default()).collect();
        for step in steps {
            match step {
                Step::Register(n) => store.write(registered(&format!("u{n}"))),
                Step::Remove(n) => store.write(removed(&format!("u{n}"))),
                Step::Copy => store.copy = store.content.clone(),
                Step::ComeBack => store.come_back(),
                Step::Read(node) => {
                    let held = logs[node].revision();
                    logs[node].apply(&store.answer(held), Instant::now());
                }
                Step::Fetch(to, from) => fetch(&logs, to, from),
            }
        }

        let held = logs[0].revision();
        logs[0].apply(&store.answer(held), Instant::now());
        fetch(&logs, 0, 1);
        fetch(&logs, 1, 0);
        fetch(&logs, 0, 2);
        fetch(&logs, 2, 1);

        for log in &logs {
            prop_assert_eq!(listed(log), store.list());
        }
    }
}

#[test]
fn a_list_whose_era_is_unknown_replaces_none_of_a_known_era() {
    let store = StoreModel {
        era: 2,
        ..StoreModel::default()
    };
    let log = UpstreamLog::default();
    log.apply(&store.answer(None), Instant::now());
    let without_era = UpstreamUpdate {
        is_snapshot: true,
        changes: vec![UpstreamChange::Registered(entry("a"))],
        revision: Revision::without_era(99),
    };

    let is_applied = log.apply(&without_era, Instant::now());

    assert!(!is_applied);
    assert_eq!(listed(&log), Vec::<UpstreamId>::new());
}

#[test]
fn a_peer_that_names_no_era_gets_the_whole_list() {
    let mut store = StoreModel::default();
    store.write(registered("a"));
    let log = UpstreamLog::default();
    log.apply(&store.answer(None), Instant::now());

    let update = changes_after(&log, Some(Revision::without_era(99)));

    assert!(update.is_snapshot);
    assert_eq!(update.changes, vec![registered("a")]);
}
