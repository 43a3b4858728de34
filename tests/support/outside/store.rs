//! The platform's store: objects by kind and name, lists, watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::free_address;
use super::raw::{Answer, RawRequest, reply, serve};

const PAGE: usize = 3;

#[derive(Default)]
struct Books {
    revision: u64,
    floor: u64,
    objects: BTreeMap<(String, String), Value>,
    history: Vec<(u64, String, Value, bool)>,
}

pub struct Store {
    pub address: SocketAddr,
    books: Mutex<Books>,
    changed: Notify,
    /// Answers 503 to everything.
    pub is_away: AtomicBool,
    /// Answers nothing at all.
    pub is_silent: AtomicBool,
    pub call_count: AtomicUsize,
    list_count: AtomicUsize,
}

impl Store {
    pub async fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            address: free_address(),
            books: Mutex::default(),
            changed: Notify::new(),
            is_away: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            call_count: AtomicUsize::new(0),
            list_count: AtomicUsize::new(0),
        });
        serve(store.address, store.clone()).await;
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut books = self.books.lock().expect("unpoisoned");
        books.revision += 1;
        let revision = books.revision;
        let object = json!({
            "metadata": { "name": name, "revision": revision, "created": revision,
                          "finalizers": [], "deletion-pending": false },
            "spec": spec, "status": null,
        });
        let key = (kind.to_owned(), name.to_owned());
        books.objects.insert(key, object.clone());
        books
            .history
            .push((revision, kind.to_owned(), object, false));
        drop(books);
        self.changed.notify_waiters();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut books = self.books.lock().expect("unpoisoned");
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = books.objects.remove(&key) {
            books.revision += 1;
            let revision = books.revision;
            books
                .history
                .push((revision, kind.to_owned(), object, true));
        }
        drop(books);
        self.changed.notify_waiters();
    }

    /// Answers of lists of upstreams so far.
    pub fn list_count(&self) -> usize {
        self.list_count.load(Ordering::Relaxed)
    }

    /// Answers in which a kind is listed.
    pub fn page_count(&self, kind: &str) -> usize {
        let books = self.books.lock().expect("unpoisoned");
        let of_kind = books.objects.keys().filter(|(k, _)| k == kind);
        of_kind.count().div_ceil(PAGE)
    }

    /// Forgets what happened, so that watches must list again.
    pub fn forget_history(&self) {
        let mut books = self.books.lock().expect("unpoisoned");
        books.floor = books.revision + 1;
        books.revision += 1;
        books.history.clear();
        drop(books);
        self.changed.notify_waiters();
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Value {
        let books = self.books.lock().expect("unpoisoned");
        let of_kind = books.objects.iter().filter(|((k, _), _)| k == kind);
        let mut entries: Vec<Value> = of_kind
            .filter(|((_, name), _)| after.is_none_or(|after| name.as_str() > after))
            .map(|(_, object)| object.clone())
            .collect();
        let has_more = entries.len() > PAGE;
        entries.truncate(PAGE);
        json!({ "entries": entries, "has-more": has_more, "at": books.revision })
    }

    fn events(&self, kind: &str, since: u64) -> Result<Option<Value>, ()> {
        let books = self.books.lock().expect("unpoisoned");
        if since < books.floor {
            return Err(());
        }
        let newer = books
            .history
            .iter()
            .filter(|(at, k, _, _)| *at > since && k == kind);
        let events: Vec<Value> = newer
            .map(|(_, _, object, deleted)| json!({ "object": object, "deleted": deleted }))
            .collect();
        let found = json!({ "events": events, "at": books.revision });
        Ok((!events.is_empty()).then_some(found))
    }

    async fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, Value) {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            match self.events(kind, since) {
                Err(()) => return (410, json!({ "error": "gone" })),
                Ok(Some(events)) => return (200, events),
                Ok(None) => {}
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return (200, json!({ "events": [], "at": since }));
            }
        }
    }
}

impl Answer for Store {
    async fn answer(self: Arc<Self>, request: RawRequest, stream: &mut TcpStream) -> bool {
        self.call_count.fetch_add(1, Ordering::Relaxed);
        if self.is_silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        if self.is_away.load(Ordering::Relaxed) {
            return reply(stream, 503, "", b"").await;
        }
        let kind = request.path().trim_start_matches("/objects/").to_owned();
        let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok());
        let (status, body) = match number("watch") {
            Some(since) => {
                let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                self.watch(&kind, since, wait).await
            }
            None => {
                let listed = usize::from(kind == "servers");
                self.list_count.fetch_add(listed, Ordering::Relaxed);
                (200, self.list(&kind, request.query("after").as_deref()))
            }
        };
        let json = "content-type: application/json\r\n";
        reply(stream, status, json, body.to_string().as_bytes()).await
    }
}
