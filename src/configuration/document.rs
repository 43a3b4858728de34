//! Versioned documents, which nodes read from the platform's object store and
//! pass on to each other, such as the configuration and the VM list.
//!
//! Of each document, a node keeps the highest version that it has received and
//! ignores lower ones, whether they come from a stale read, from a late reply to
//! a long poll, or from a peer.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

use crate::id::Version;
use crate::membership::compression;
use crate::membership::message::{DocumentReply, DocumentVersion};
use crate::store::object_store::Object;

/// The newest version of each document that one node holds, by name.
#[derive(Debug, Default)]
pub struct DocumentStore {
    documents: Mutex<BTreeMap<String, Object>>,
    /// The same documents compressed for peers, so that each version is
    /// compressed once.
    compressed: Mutex<BTreeMap<String, Object>>,
}

impl DocumentStore {
    /// Stores `object` unless the same or a higher version is held. Returns true
    /// if it was stored.
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

    /// Returns the document if it is held.
    pub fn get(&self, name: &str) -> Option<Object> {
        self.lock().get(name).cloned()
    }

    /// Returns the version held, or zero if the document is not held.
    pub fn version(&self, name: &str) -> Version {
        self.lock().get(name).map_or(0, |held| held.version)
    }

    /// Returns the names and versions of all documents held.
    pub fn versions(&self) -> BTreeMap<String, Version> {
        let documents = self.lock();
        let pairs = documents.iter();
        pairs
            .map(|(name, held)| (name.clone(), held.version))
            .collect()
    }

    /// Builds the reply to a peer that holds the version in `peer_held` and asks
    /// for a newer one. The reply is empty unless this node holds one.
    pub(crate) fn reply(&self, peer_held: &DocumentVersion) -> DocumentReply {
        let held = self.get(&peer_held.name);
        let newer = held.filter(|object| object.version > peer_held.version);
        newer.map_or_else(DocumentReply::default, |object| DocumentReply {
            version: object.version,
            body: self.compress(&peer_held.name, &object),
            era: None,
        })
    }

    /// Compresses a document, or returns the cached result for its version.
    fn compress(&self, name: &str, object: &Object) -> Bytes {
        let mut compressed = self
            .compressed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(cached) = compressed.get(name).filter(|c| c.version == object.version) {
            return cached.body.clone();
        }
        let entry = Object {
            version: object.version,
            body: compression::compress(&object.body),
        };
        compressed.insert(name.to_owned(), entry.clone());
        entry.body
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Object>> {
        self.documents
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
