//! The client of the platform's table service and object store, over HTTP. It decides nothing: each
//! call ends as one of the outcomes that `source` knows.

use {
    crate::{
        snapshot::Snapshot,
        source::{Base, Entry, Outcome, PAGE, Page, Query, Receipt},
        world::Revision,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value,
    std::time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(3);
const ANSWER_MAX: u64 = 64 * 1024 * 1024;
const TRIM_ROWS: usize = 500;

/// The prefix of the log's rows.
pub const LOG: &str = "log/";
/// The row whose value is the latest revision.
pub const HEAD: &str = "head";
/// The row that names the newest snapshot in the object store.
pub const BASE: &str = "base";
/// The prefix of the rows that remember accepted operations.
pub const OPERATION: &str = "operation/";
/// The prefix of the snapshots' names in the object store.
pub const SNAPSHOT: &str = "snapshot/";

/// One row of the table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Value,
}

/// A transaction: takes effect whole if every check holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Transaction {
    /// Rows that must have these values; null for rows that must not be.
    pub checks: Vec<Row>,
    /// Rows to write; null deletes.
    pub puts: Vec<Row>,
}

/// A consistent read of a range and of single rows.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Read {
    /// The range begins after this key.
    pub after: String,
    /// Single rows.
    pub keys: Vec<String>,
    /// The most rows of the range.
    pub limit: usize,
    /// The range ends with the last key of this prefix.
    pub prefix: String,
}

/// Rows in the order of their keys.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Rows {
    /// The single rows that there are.
    #[serde(default)]
    pub found: Vec<Row>,
    /// The rows of the range.
    pub rows: Vec<Row>,
}

/// A client of the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    agent: ureq::Agent,
    base: String,
}

impl Platform {
    /// Makes a client; nothing is sent yet.
    #[must_use]
    pub fn open(base: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self {
            agent: config.into(),
            base: base.trim_end_matches('/').into(),
        }
    }

    /// Reads the table, and the newest snapshot where the log does not reach back to `query.after`
    /// or is longer than a page; nothing if that fails.
    #[must_use]
    pub fn read(&self, query: &Query) -> Option<Page> {
        let keys = [HEAD.to_string(), BASE.to_string()]
            .into_iter()
            .chain(query.ids.iter().map(|id| format!("{OPERATION}{id}")))
            .collect();
        let rows = self.rows(&Read {
            after: row(query.after),
            keys,
            limit: PAGE,
            prefix: LOG.into(),
        })?;
        let mut page = page(rows)?;
        let next = page.entries.first().map(|entry| entry.revision);
        let joined = page.head <= query.after || next == Some(query.after.next());
        let short = page.head.0.saturating_sub(query.after.0) <= PAGE as u64;
        if page.base.revision > query.after && !(joined && short) {
            let snapshot = self.snapshot(page.base.revision)?;
            page.entries
                .retain(|entry| entry.revision > snapshot.revision);
            page.snapshot = Some(Box::new(snapshot));
        }
        Some(page)
    }

    /// Appends an entry if the head is the revision before it and no operation has a receipt.
    #[must_use]
    pub fn transact(&self, entry: &Entry) -> Outcome {
        self.commit(&transaction(entry))
    }

    /// Stores a snapshot, names it in the table if the base is still `base`, and trims what is more
    /// than `retained` revisions behind it. Any step may fail: the next snapshot makes up for it.
    pub fn store(&self, snapshot: &Snapshot, base: Base, retained: u64) -> Outcome {
        let Ok(bytes) = postcard::to_stdvec(snapshot) else {
            return Outcome::Unsent;
        };
        let url = self.object(snapshot.revision);
        match self.agent.put(&url).send(&bytes) {
            Ok(response) if response.status() == 200 => {}
            _ => return Outcome::Unsent,
        }
        let limit = Revision(snapshot.revision.0.saturating_sub(retained));
        let Some(trimmed) = self.expired(limit) else {
            return Outcome::Unsent;
        };
        let next = Base {
            previous: base.revision,
            revision: snapshot.revision,
        };
        let mut puts = vec![Row::put(BASE, &next)];
        puts.extend(trimmed.into_iter().map(Row::delete));
        let outcome = self.commit(&Transaction {
            checks: vec![match base.revision {
                Revision(0) => Row::delete(BASE.into()),
                _ => Row::put(BASE, &base),
            }],
            puts,
        });
        if outcome == Outcome::Committed && base.previous > Revision(0) {
            // A snapshot that stays behind costs room and nothing else.
            drop(self.agent.delete(self.object(base.previous)).call());
        }
        outcome
    }

    fn expired(&self, limit: Revision) -> Option<Vec<String>> {
        if limit == Revision(0) {
            return Some(Vec::new());
        }
        let rows = self.rows(&Read {
            after: String::new(),
            keys: Vec::new(),
            limit: TRIM_ROWS,
            prefix: LOG.into(),
        })?;
        let mut keys = Vec::new();
        for row in rows.rows {
            let entry: Entry = serde_json::from_value(row.value).ok()?;
            if entry.revision > limit {
                break;
            }
            keys.push(row.key);
            keys.extend(
                entry
                    .operations
                    .iter()
                    .map(|operation| format!("{OPERATION}{}", operation.id)),
            );
        }
        Some(keys)
    }

    fn rows(&self, read: &Read) -> Option<Rows> {
        let url = format!("{}/v1/read", self.base);
        let body = serde_json::to_string(read).ok()?;
        let mut response = self.agent.post(&url).send(body).ok()?;
        if response.status() != 200 {
            return None;
        }
        let body = response.body_mut().with_config().limit(ANSWER_MAX);
        serde_json::from_str(&body.read_to_string().ok()?).ok()
    }

    fn snapshot(&self, revision: Revision) -> Option<Snapshot> {
        let mut response = self.agent.get(self.object(revision)).call().ok()?;
        if response.status() != 200 {
            return None;
        }
        let body = response.body_mut().with_config().limit(ANSWER_MAX);
        let snapshot: Snapshot = postcard::from_bytes(&body.read_to_vec().ok()?).ok()?;
        (snapshot.revision == revision).then_some(snapshot)
    }

    fn object(&self, revision: Revision) -> String {
        format!("{}/v1/objects/{SNAPSHOT}{:020}", self.base, revision.0)
    }

    fn commit(&self, transaction: &Transaction) -> Outcome {
        let Ok(body) = serde_json::to_string(transaction) else {
            return Outcome::Unsent;
        };
        let url = format!("{}/v1/transact", self.base);
        match self.agent.post(&url).send(body) {
            Ok(response) if response.status() == 200 => Outcome::Committed,
            Ok(response) if response.status() == 409 => Outcome::Conflict,
            Err(ureq::Error::ConnectionFailed | ureq::Error::HostNotFound) => Outcome::Unsent,
            Err(ureq::Error::Io(error))
                if error.kind() == std::io::ErrorKind::ConnectionRefused =>
            {
                Outcome::Unsent
            }
            Ok(_) | Err(_) => Outcome::Unknown,
        }
    }
}

impl Row {
    fn put<T: Serialize>(key: &str, value: &T) -> Self {
        Self {
            key: key.into(),
            value: serde_json::to_value(value).unwrap_or_default(),
        }
    }

    fn delete(key: String) -> Self {
        Self {
            key,
            value: Value::Null,
        }
    }
}

fn row(revision: Revision) -> String {
    format!("{LOG}{:020}", revision.0)
}

fn page(rows: Rows) -> Option<Page> {
    let mut page = Page::default();
    for row in rows.found {
        if row.key == HEAD {
            page.head = parse(row.value)?;
        } else if row.key == BASE {
            page.base = parse(row.value)?;
        } else if let Some(id) = row.key.strip_prefix(OPERATION) {
            let receipt: Receipt = parse(row.value)?;
            page.receipts.push((id.into(), receipt));
        }
    }
    page.entries = rows
        .rows
        .into_iter()
        .map(|row| parse(row.value))
        .collect::<Option<_>>()?;
    Some(page)
}

fn parse<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}

fn transaction(entry: &Entry) -> Transaction {
    let head = match entry.revision.0 - 1 {
        0 => Value::Null,
        before => before.into(),
    };
    let receipt = |operation: &crate::source::Operation| {
        let receipt = Receipt {
            hash: operation.hash(),
            revision: entry.revision,
        };
        Row::put(&format!("{OPERATION}{}", operation.id), &receipt)
    };
    let mut checks = vec![Row {
        key: HEAD.into(),
        value: head,
    }];
    let mut puts = vec![
        Row::put(HEAD, &entry.revision),
        Row::put(&row(entry.revision), entry),
    ];
    for operation in &entry.operations {
        checks.push(Row::delete(format!("{OPERATION}{}", operation.id)));
        puts.push(receipt(operation));
    }
    Transaction { checks, puts }
}
