//! A watch: a stream of JSON lines, one for each change, that a client can resume from a resource
//! version. See docs/api.md.

use {
    super::view::{Document, View},
    crate::{
        node::Handle,
        resource::{Key, Kind},
        types::{Name, Revision},
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io::{self, Write},
        sync::atomic::{AtomicBool, Ordering},
        time::{Duration, Instant},
    },
};

/// Time without a change after which a watch sends a bookmark, so that the client can tell a quiet
/// watch from a broken connection.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum duration of a watch.
pub const WATCH_DURATION_MAX: Duration = Duration::from_secs(60 * 60);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
                    cache-control: no-store\r\ntransfer-encoding: chunked\r\n\r\n";

/// A request to watch a kind, or one resource of it.
#[derive(Debug, Clone)]
pub(super) struct Watch {
    pub(super) kind: Kind,
    pub(super) name: Option<Name>,
    /// Revision after which changes are sent. If `None`, the watch first sends every resource.
    pub(super) since: Option<Revision>,
    pub(super) timeout: Duration,
}

/// One line of a watch. [`Line::Gone`] is the last one.
enum Line {
    Bookmark(Revision),
    Delete(Revision, Key),
    Gone(Revision),
    Put(Box<Document>),
}

impl Line {
    fn to_json(&self) -> Value {
        match self {
            Self::Bookmark(revision) => {
                json!({ "type": "BOOKMARK", "resourceVersion": revision })
            }
            Self::Delete(revision, key) => {
                let metadata = json!({ "name": key.name, "resourceVersion": revision });
                json!({ "type": "DELETE", "object": { "kind": key.kind, "metadata": metadata } })
            }
            Self::Gone(oldest) => json!({ "type": "ERROR", "problem": gone_problem(*oldest) }),
            Self::Put(document) => json!({ "type": "PUT", "object": document }),
        }
    }
}

/// Returns the problem of a watch that cannot resume because its revision is below `oldest`.
pub(super) fn gone_problem(oldest: Revision) -> Value {
    json!({
        "status": 410,
        "title": "the resource version is too old to resume from",
        "detail": "list again, and watch from the list's resourceVersion",
        "oldestResourceVersion": oldest,
    })
}

struct Stream<'a> {
    handle: &'a Handle,
    last_revision: Revision,
    last_documents: BTreeMap<Key, Document>,
    watch: &'a Watch,
    writer: Box<dyn Write + Send>,
}

impl Watch {
    /// Sends lines until the time is up or the node stops.
    ///
    /// # Errors
    /// Fails if the client has disconnected.
    pub(super) fn run(
        &self,
        handle: &Handle,
        writer: Box<dyn Write + Send>,
        stopping: &AtomicBool,
    ) -> io::Result<()> {
        let mut stream = Stream {
            handle,
            last_revision: self.since.unwrap_or_default(),
            last_documents: BTreeMap::new(),
            watch: self,
            writer,
        };
        stream.writer.write_all(RESPONSE_HEAD.as_bytes())?;
        stream.follow(stopping)?;
        stream.writer.write_all(b"0\r\n\r\n")?;
        stream.writer.flush()
    }

    fn matches(&self, key: &Key) -> bool {
        key.kind == self.kind && self.name.as_ref().is_none_or(|name| *name == key.name)
    }

    /// Returns whether changes of the status are sent as well as those of the specification.
    fn includes_status(&self) -> bool {
        self.name.is_some() || self.kind == Kind::Rollout
    }
}

impl Stream<'_> {
    fn follow(&mut self, stopping: &AtomicBool) -> io::Result<()> {
        let start = Instant::now();
        let mut last_sent = start;
        let mut first = true;
        while !stopping.load(Ordering::Relaxed) && start.elapsed() < self.watch.timeout {
            let heartbeat_due = last_sent.elapsed() >= HEARTBEAT_INTERVAL;
            let lines = self.next_lines(first, first || heartbeat_due);
            let resume_failed = matches!(lines.last(), Some(Line::Gone(_)));
            if !lines.is_empty() {
                self.send(&lines)?;
                last_sent = Instant::now();
            }
            if resume_failed {
                return Ok(());
            }
            first = false;
            self.handle.deletions().wait_change(POLL_INTERVAL);
        }
        Ok(())
    }

    fn next_lines(&mut self, first: bool, bookmark: bool) -> Vec<Line> {
        let snapshot = self.handle.snapshot();
        let initial = first && self.watch.since.is_none();
        if snapshot.revision < self.last_revision {
            // This node lags behind the one from which the client has its revision.
            return Vec::from_iter(bookmark.then_some(Line::Bookmark(self.last_revision)));
        }
        let deleted = match self
            .handle
            .deletions()
            .between(self.last_revision, snapshot.revision)
        {
            Ok(deleted) => deleted,
            Err(_) if initial => Vec::new(),
            Err(oldest) => return vec![Line::Gone(oldest)],
        };
        let mut lines: Vec<(Revision, Line)> = deleted
            .into_iter()
            .filter(|(_, key)| !initial && self.watch.matches(key))
            .map(|(revision, key)| (revision, Line::Delete(revision, key)))
            .collect();
        let view = View::new(self.handle);
        for resource in snapshot.resources.values() {
            if !self.watch.matches(&resource.key) {
                continue;
            }
            let changed = initial || resource.revision > self.last_revision;
            if !changed && !self.watch.includes_status() {
                continue;
            }
            let document = Document::new(resource, &view);
            let previous = self.last_documents.get(&resource.key);
            if changed || previous.is_some_and(|previous| *previous != document) {
                let line = Line::Put(Box::new(document.clone()));
                lines.push((resource.revision, line));
            }
            if self.watch.includes_status() {
                self.last_documents.insert(resource.key.clone(), document);
            }
        }
        lines.sort_by_key(|(revision, _)| *revision);
        let advanced = snapshot.revision > self.last_revision && !lines.is_empty();
        self.last_revision = snapshot.revision;
        let mut lines: Vec<Line> = lines.into_iter().map(|(_, line)| line).collect();
        if bookmark || advanced {
            lines.push(Line::Bookmark(self.last_revision));
        }
        lines
    }

    /// Writes lines as one chunk and flushes it, so that the client receives them at once.
    fn send(&mut self, lines: &[Line]) -> io::Result<()> {
        let mut text = String::new();
        for line in lines {
            text.push_str(&line.to_json().to_string());
            text.push('\n');
        }
        write!(self.writer, "{:x}\r\n{text}\r\n", text.len())?;
        self.writer.flush()
    }
}
