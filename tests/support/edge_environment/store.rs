//! The platform's store: holds objects by kind and name, lists them in pages and
//! answers watches.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::free_address;
use super::raw::{RawRequest, RequestHandler, find, reply, serve};

/// Objects in one answer to a list request; small, so that lists take several
/// pages.
const PAGE_ENTRIES: usize = 3;

/// Status of a request whose connection is closed without an answer.
const CUT: u16 = 0;

/// The content of the store at some time, from which it can come back.
#[derive(Clone)]
pub struct StoreCopy {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
}

#[derive(Default)]
struct State {
    /// Rises each time the store comes back from a copy.
    era: u64,
    revision: u64,
    /// Watches from before this revision are answered with status 410.
    oldest_revision: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Revision, kind, object and whether it was deleted.
    history: Vec<(u64, String, Value, bool)>,
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Value) {
        self.revision += 1;
        let revision = self.revision;
        let object = json!({
            "metadata": { "name": name, "revision": revision, "created": revision,
                          "finalizers": [], "deletion-pending": false },
            "spec": spec, "status": null,
        });
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, object.clone());
        let change = (revision, kind.to_owned(), object, false);
        self.history.push(change);
    }
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Notify,
    /// Answers every request with status 503.
    pub is_unavailable: AtomicBool,
    /// Accepts requests and never answers them.
    pub is_silent: AtomicBool,
    /// Kinds about which it answers no request, not even those that wait.
    silent_kinds: Mutex<BTreeSet<String>>,
    pub call_count: AtomicUsize,
    /// Watches of upstreams that wait for a change.
    pub waiting_watch_count: AtomicUsize,
    /// Watches of the configuration so far.
    config_watch_count: AtomicUsize,
    /// Requests so far about `run-origins`, by method.
    run_origin_calls: Mutex<BTreeMap<String, usize>>,
    list_count: AtomicUsize,
    /// Texts of the fields `spec` that other writers wrote, which may be no valid JSON. The
    /// objects hold their numbers in this list.
    spec_texts: Mutex<Vec<Vec<u8>>>,
}

impl Store {
    pub async fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            address: free_address(),
            state: Mutex::default(),
            changed: Notify::new(),
            is_unavailable: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            silent_kinds: Mutex::default(),
            call_count: AtomicUsize::new(0),
            waiting_watch_count: AtomicUsize::new(0),
            config_watch_count: AtomicUsize::new(0),
            run_origin_calls: Mutex::default(),
            list_count: AtomicUsize::new(0),
            spec_texts: Mutex::default(),
        });
        serve(store.address, store.clone()).await;
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.put_all(kind, [(name.to_owned(), spec)]);
    }

    /// Puts several objects, which watches see in one answer.
    pub fn put_all(&self, kind: &str, objects: impl IntoIterator<Item = (String, Value)>) {
        let mut state = self.state.lock().expect("unpoisoned");
        for (name, spec) in objects {
            state.put(kind, &name, spec);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Puts an object whose field `spec` has this text, whatever it is.
    pub fn put_text(&self, kind: &str, name: &str, spec: &[u8]) {
        let mut texts = self.spec_texts.lock().expect("unpoisoned");
        let placeholder = spec_placeholder(texts.len());
        texts.push(spec.to_vec());
        drop(texts);
        self.put(kind, name, json!(placeholder));
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().expect("unpoisoned");
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            let revision = state.revision;
            state
                .history
                .push((revision, kind.to_owned(), object, true));
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Leaves all requests about this kind without an answer.
    pub fn silence(&self, kind: &str) {
        let mut silent = self.silent_kinds.lock().expect("unpoisoned");
        silent.insert(kind.to_owned());
    }

    fn is_kind_silent(&self, kind: &str) -> bool {
        let silent = self.silent_kinds.lock().expect("unpoisoned");
        silent.contains(kind)
    }

    /// Waits until the next watch of the configuration arrives.
    pub async fn wait_for_config_watch(&self) {
        let count = || self.config_watch_count.load(Ordering::Relaxed);
        let before = count();
        while count() == before {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Number of list requests for upstreams so far, one a page.
    pub fn list_count(&self) -> usize {
        self.list_count.load(Ordering::Relaxed)
    }

    /// Number of pages that a list of a kind takes.
    pub fn page_count(&self, kind: &str) -> usize {
        let state = self.state.lock().expect("unpoisoned");
        let of_kind = state.objects.keys().filter(|(k, _)| k == kind);
        of_kind.count().div_ceil(PAGE_ENTRIES)
    }

    /// Number of requests so far about `run-origins` with this method.
    pub fn run_origin_call_count(&self, method: &str) -> usize {
        let calls = self.run_origin_calls.lock().expect("unpoisoned");
        calls.get(method).copied().unwrap_or(0)
    }

    /// The field `spec` of an object, if there is one.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.lock().expect("unpoisoned");
        let key = (kind.to_owned(), name.to_owned());
        state.objects.get(&key).map(|object| object["spec"].clone())
    }

    /// The fields `spec` of all objects of a kind, by name.
    pub fn specs(&self, kind: &str) -> BTreeMap<String, Value> {
        let state = self.state.lock().expect("unpoisoned");
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let specs = of_kind.map(|((_, name), object)| (name.clone(), object["spec"].clone()));
        specs.collect()
    }

    /// Has the writers of a kind write again what they wrote before.
    pub fn write_again(&self, kind: &str, specs: BTreeMap<String, Value>) {
        let stale = self.specs(kind).into_keys();
        stale
            .filter(|name| !specs.contains_key(name))
            .for_each(|name| self.delete(kind, &name));
        self.put_all(kind, specs);
    }

    /// Writes the field `status` of an object, if that has the revision which the request
    /// names.
    fn write_status(&self, kind: &str, name: &str, body: &Value) -> (u16, Value) {
        let mut state = self.state.lock().expect("unpoisoned");
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = state.objects.get(&key).cloned() else {
            return (404, json!({ "error": "no such object" }));
        };
        if object["metadata"]["revision"] != body["metadata"]["revision"] {
            return (409, object);
        }
        state.revision += 1;
        let revision = state.revision;
        object["status"] = body["status"].clone();
        object["metadata"]["revision"] = json!(revision);
        state.objects.insert(key, object.clone());
        let change = (revision, kind.to_owned(), object.clone(), false);
        state.history.push(change);
        drop(state);
        self.changed.notify_waiters();
        (200, object)
    }

    /// The field `status` of an object, if there is one.
    pub fn status(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.lock().expect("unpoisoned");
        let key = (kind.to_owned(), name.to_owned());
        state
            .objects
            .get(&key)
            .map(|object| object["status"].clone())
    }

    /// Answers a request about one object: reads, replaces or deletes it, or creates
    /// it if `name` is empty.
    fn change(&self, kind: &str, name: &str, request: &RawRequest) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let created = body["metadata"]["name"].as_str().unwrap_or_default();
        let name = if name.is_empty() { created } else { name };
        if let Some(name) = name.strip_suffix("/status") {
            return self.write_status(kind, name, &body);
        }
        let key = (kind.to_owned(), name.to_owned());
        let known = {
            let state = self.state.lock().expect("unpoisoned");
            state.objects.get(&key).cloned()
        };
        let revision = request
            .query("revision")
            .and_then(|r| r.parse::<u64>().ok());
        match (request.method.as_str(), known) {
            ("POST", None) | ("PUT", Some(_)) => {
                self.put(kind, name, body["spec"].clone());
                (200, json!({}))
            }
            ("POST", Some(object)) => (409, object),
            (_, None) => (404, json!({ "error": "no such object" })),
            ("DELETE", Some(object)) => {
                if revision.is_some_and(|at| object["metadata"]["revision"] != at) {
                    return (409, object);
                }
                self.delete(kind, name);
                (200, json!({}))
            }
            (_, Some(object)) => (200, object),
        }
    }

    /// Copies what the store holds now.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock().expect("unpoisoned");
        StoreCopy {
            revision: state.revision,
            objects: state.objects.clone(),
        }
    }

    /// Comes back from a copy: later changes are gone, their revisions will be given out
    /// again, and open watches are cut.
    pub fn come_back_from(&self, copy: &StoreCopy) {
        let mut state = self.state.lock().expect("unpoisoned");
        state.era += 1;
        state.revision = copy.revision;
        state.objects = copy.objects.clone();
        state.history.retain(|(at, ..)| *at <= copy.revision);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Makes `count` changes that concern no node, as heartbeats of upstreams do.
    pub fn raise_revision(&self, count: usize) {
        for n in 0..count {
            self.put("other", "thing", json!({ "n": n }));
        }
    }

    fn era(&self) -> u64 {
        self.state.lock().expect("unpoisoned").era
    }

    /// Drops the history of changes, so that running watches are answered with
    /// status 410 and nodes must list again.
    pub fn expire_history(&self) {
        let mut state = self.state.lock().expect("unpoisoned");
        state.oldest_revision = state.revision + 1;
        state.revision += 1;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Value {
        let state = self.state.lock().expect("unpoisoned");
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let mut entries: Vec<Value> = of_kind
            .filter(|((_, name), _)| after.is_none_or(|after| name.as_str() > after))
            .map(|(_, object)| object.clone())
            .collect();
        let has_more = entries.len() > PAGE_ENTRIES;
        entries.truncate(PAGE_ENTRIES);
        json!({ "entries": entries, "has-more": has_more, "at": state.revision })
    }

    fn events(&self, kind: &str, after_revision: u64) -> Result<Option<Value>, ()> {
        let state = self.state.lock().expect("unpoisoned");
        let is_known = (state.oldest_revision..=state.revision).contains(&after_revision);
        if !is_known {
            return Err(());
        }
        let newer = state
            .history
            .iter()
            .filter(|(at, k, _, _)| *at > after_revision && k == kind);
        let events: Vec<Value> = newer
            .map(|(_, _, object, deleted)| json!({ "object": object, "deleted": deleted }))
            .collect();
        let answer = json!({ "events": events, "at": state.revision });
        Ok((!events.is_empty()).then_some(answer))
    }

    async fn watch(&self, kind: &str, after_revision: u64, wait: Duration) -> (u16, Value) {
        let deadline = tokio::time::Instant::now() + wait;
        let era = self.era();
        loop {
            let changed = self.changed.notified();
            if self.era() != era {
                return (CUT, Value::Null);
            }
            match self.events(kind, after_revision) {
                Err(()) => return (410, json!({ "error": "gone" })),
                Ok(Some(events)) => return (200, events),
                Ok(None) => {}
            }
            let waiting = usize::from(kind == "servers");
            self.waiting_watch_count
                .fetch_add(waiting, Ordering::Relaxed);
            let changed = tokio::time::timeout_at(deadline, changed).await;
            self.waiting_watch_count
                .fetch_sub(waiting, Ordering::Relaxed);
            if changed.is_err() {
                return (200, json!({ "events": [], "at": after_revision }));
            }
        }
    }
}

impl Store {
    /// Status and body of the answer to a request.
    pub async fn answer(&self, request: &RawRequest) -> (u16, Value) {
        self.call_count.fetch_add(1, Ordering::Relaxed);
        if self.is_silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        if self.is_unavailable.load(Ordering::Relaxed) {
            return (503, Value::Null);
        }
        let path = request.path().trim_start_matches("/objects/").to_owned();
        let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
        if kind == "run-origins" {
            let mut calls = self.run_origin_calls.lock().expect("unpoisoned");
            *calls.entry(request.method.clone()).or_default() += 1;
        }
        let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok());
        match number("watch") {
            Some(after_revision) => {
                let is_config = usize::from(kind == "config");
                self.config_watch_count
                    .fetch_add(is_config, Ordering::Relaxed);
                let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                self.watch(kind, after_revision, wait).await
            }
            None if !name.is_empty() || request.method != "GET" => self.change(kind, name, request),
            None => {
                let listed = usize::from(kind == "servers");
                self.list_count.fetch_add(listed, Ordering::Relaxed);
                let after = request.query("after").map(|after| percent_decoded(&after));
                (200, self.list(kind, after.as_deref()))
            }
        }
    }
}

impl RequestHandler for Store {
    async fn handle(self: Arc<Self>, request: RawRequest, stream: &mut TcpStream) -> bool {
        let (status, body) = self.answer(&request).await;
        let kind = request.path().trim_start_matches("/objects/");
        if self.is_kind_silent(kind) {
            std::future::pending::<()>().await;
        }
        self.reply(stream, status, &body.to_string()).await
    }
}

impl Store {
    /// Writes an answer, which names the store's era.
    pub async fn reply(&self, stream: &mut TcpStream, status: u16, body: &str) -> bool {
        if status == CUT {
            return false;
        }
        let era = self.era();
        let headers = format!("content-type: application/json\r\nstore-era: {era}\r\n");
        reply(stream, status, &headers, &self.with_spec_texts(body)).await
    }

    /// Puts the texts of other writers into an answer.
    fn with_spec_texts(&self, body: &str) -> Vec<u8> {
        let texts = self.spec_texts.lock().expect("unpoisoned");
        let mut answer = body.as_bytes().to_vec();
        for (number, text) in texts.iter().enumerate() {
            let placeholder = format!("\"{}\"", spec_placeholder(number));
            while let Some(at) = find(&answer, placeholder.as_bytes()) {
                answer.splice(at..at + placeholder.len(), text.iter().copied());
            }
        }
        answer
    }
}

fn spec_placeholder(number: usize) -> String {
    format!("spec-text-{number}-of-another-writer")
}

/// Decodes a value of a query.
fn percent_decoded(value: &str) -> String {
    let mut parts = value.split('%');
    let mut decoded = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (digits, rest) = part.split_at(2);
        decoded.push(u8::from_str_radix(digits, 16).expect("two hexadecimal digits"));
        decoded.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8(decoded).expect("text")
}
