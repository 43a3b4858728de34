//! Documents that only move forward: the configuration and the VM list.
//!
//! A node keeps the highest version it has ever seen and never takes a lower
//! one, whether it comes from a stale read, a late watch or a peer.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

use crate::id::Version;
use crate::membership::compression;
use crate::membership::message::{DocumentReply, DocumentVersion};
use crate::store::object_store::Object;

/// The newest documents that one node holds, by name.
#[derive(Debug, Default)]
pub struct DocumentStore {
    documents: Mutex<BTreeMap<String, Object>>,
    /// What peers were told last, so that a document is packed once.
    packed: Mutex<BTreeMap<String, Object>>,
}

impl DocumentStore {
    /// Keeps `object` unless this or a higher version is held; true if kept.
    ///
    /// ```
    /// use zinniawing::{DocumentStore, Object};
    ///
    /// let documents = DocumentStore::default();
    /// let object = |version| Object { version, body: "text".into() };
    /// assert!(documents.offer("config", object(2)));
    /// assert!(!documents.offer("config", object(1)));
    /// assert_eq!(documents.version("config"), 2);
    /// ```
    pub fn offer(&self, name: &str, object: Object) -> bool {
        let mut documents = self.lock();
        let held = documents.get(name).map_or(0, |held| held.version);
        if object.version <= held {
            return false;
        }
        documents.insert(name.to_owned(), object);
        true
    }

    /// The document, if it is held.
    pub fn get(&self, name: &str) -> Option<Object> {
        self.lock().get(name).cloned()
    }

    /// Version held; zero when there is none.
    pub fn version(&self, name: &str) -> Version {
        self.lock().get(name).map_or(0, |held| held.version)
    }

    /// Names and versions of all that is held.
    pub fn versions(&self) -> BTreeMap<String, Version> {
        let documents = self.lock();
        let pairs = documents.iter();
        pairs
            .map(|(name, held)| (name.clone(), held.version))
            .collect()
    }

    /// What a peer gets that holds `wanted` or nothing.
    pub(crate) fn reply(&self, wanted: &DocumentVersion) -> DocumentReply {
        let held = self.get(&wanted.name);
        let newer = held.filter(|object| object.version > wanted.version);
        newer.map_or_else(DocumentReply::default, |object| DocumentReply {
            version: object.version,
            body: self.pack(&wanted.name, &object),
        })
    }

    /// Packs a document for peers, once a version.
    fn pack(&self, name: &str, object: &Object) -> Bytes {
        let mut packed = self.packed.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = packed.get(name).filter(|p| p.version == object.version) {
            return known.body.clone();
        }
        let kept = Object {
            version: object.version,
            body: compression::compress(&object.body),
        };
        packed.insert(name.to_owned(), kept.clone());
        kept.body
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Object>> {
        self.documents
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
