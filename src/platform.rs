//! The HTTP client of the platform's table service and object store. It makes no decisions: each call
//! returns one of the outcomes that `source` handles.

use {
    crate::{
        snapshot::Snapshot,
        source::{Entry, PAGE, Page, Query, Receipt, SnapshotRef, TransactionOutcome},
        types::Revision,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value,
    std::time::Duration,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const ANSWER_BYTES_MAX: u64 = 64 * 1024 * 1024;
const TRIM_ROWS_MAX: usize = 500;

/// The key prefix of the log's rows.
pub const LOG_PREFIX: &str = "log/";
/// The key of the row that holds the latest revision.
pub const HEAD_KEY: &str = "head";
/// The key of the row that names the newest snapshot in the object store.
pub const BASE_KEY: &str = "base";
/// The key prefix of the rows with the receipts of accepted operations.
pub const OPERATION_PREFIX: &str = "operation/";
/// The name prefix of the snapshots in the object store.
pub const SNAPSHOT_PREFIX: &str = "snapshot/";

/// One row of the table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Row {
    /// The key of the row.
    pub key: String,
    /// The value of the row.
    pub value: Value,
}

/// A transaction. It takes effect as a whole if every check holds, and otherwise not at all.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Transaction {
    /// Rows that must have these values. Null means that the row must not exist.
    pub checks: Vec<Row>,
    /// Rows to write. Null deletes the row.
    pub puts: Vec<Row>,
}

/// A consistent read of a range and of single rows.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Read {
    /// The key after which the range begins.
    pub after: String,
    /// The keys of the single rows.
    pub keys: Vec<String>,
    /// The maximum number of rows of the range.
    pub limit: usize,
    /// The prefix of all keys in the range.
    pub prefix: String,
}

/// The result of a read, with rows in the order of their keys.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Rows {
    /// The requested single rows that exist.
    #[serde(default)]
    pub found: Vec<Row>,
    /// The rows of the range.
    pub rows: Vec<Row>,
}

/// A client of the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    agent: ureq::Agent,
    base_url: String,
}

impl Platform {
    /// Creates a client for the platform at the URL `base`. No request is sent yet.
    #[must_use]
    pub fn new(base: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self {
            agent: config.into(),
            base_url: base.trim_end_matches('/').into(),
        }
    }

    /// Reads the table, and also the newest snapshot if the log no longer reaches back to
    /// `query.after` or is longer than a page. Returns `None` if a call fails or a value is
    /// malformed.
    #[must_use]
    pub fn read(&self, query: &Query) -> Option<Page> {
        let keys = [HEAD_KEY.to_string(), BASE_KEY.to_string()]
            .into_iter()
            .chain(query.ids.iter().map(|id| format!("{OPERATION_PREFIX}{id}")))
            .collect();
        let rows = self.read_rows(&Read {
            after: log_key(query.after),
            keys,
            limit: PAGE,
            prefix: LOG_PREFIX.into(),
        })?;
        let mut page = parse_page(rows)?;
        let first = page.entries.first().map(|entry| entry.revision);
        let is_contiguous = page.head <= query.after || first == Some(query.after.next());
        let fits_page = page.head.0.saturating_sub(query.after.0) <= PAGE as u64;
        if page.base.revision > query.after && !(is_contiguous && fits_page) {
            let snapshot = self.fetch_snapshot(page.base.revision)?;
            page.entries
                .retain(|entry| entry.revision > snapshot.revision);
            page.snapshot = Some(Box::new(snapshot));
        }
        Some(page)
    }

    /// Appends an entry to the log if the head is the revision before it and none of its operations
    /// has a receipt.
    #[must_use]
    pub fn transact(&self, entry: &Entry) -> TransactionOutcome {
        self.commit(&append_transaction(entry))
    }

    /// Stores a snapshot, makes it the base if the base is still `base`, and deletes the log rows and
    /// receipts that are more than `retained` revisions behind it. Any step may fail, as the next
    /// snapshot makes up for it.
    pub fn store_snapshot(
        &self,
        snapshot: &Snapshot,
        base: SnapshotRef,
        retained: u64,
    ) -> TransactionOutcome {
        let Ok(bytes) = postcard::to_stdvec(snapshot) else {
            return TransactionOutcome::Unsent;
        };
        let url = self.object_url(snapshot.revision);
        match self.agent.put(&url).send(&bytes) {
            Ok(response) if response.status() == 200 => {}
            _ => return TransactionOutcome::Unsent,
        }
        let last_expired = Revision(snapshot.revision.0.saturating_sub(retained));
        let Some(expired) = self.expired_keys(last_expired) else {
            return TransactionOutcome::Unsent;
        };
        let next = SnapshotRef {
            previous: base.revision,
            revision: snapshot.revision,
        };
        let mut puts = vec![Row::put(BASE_KEY, &next)];
        puts.extend(expired.into_iter().map(Row::delete));
        let outcome = self.commit(&Transaction {
            checks: vec![match base.revision {
                Revision(0) => Row::delete(BASE_KEY.into()),
                _ => Row::put(BASE_KEY, &base),
            }],
            puts,
        });
        if outcome == TransactionOutcome::Committed && base.previous > Revision(0) {
            // If this fails, the old snapshot only takes up space.
            drop(self.agent.delete(self.object_url(base.previous)).call());
        }
        outcome
    }

    /// Returns the keys of the log rows up to `last_expired` and of their receipts. At most
    /// [`TRIM_ROWS_MAX`] log rows are read at a time.
    fn expired_keys(&self, last_expired: Revision) -> Option<Vec<String>> {
        if last_expired == Revision(0) {
            return Some(Vec::new());
        }
        let rows = self.read_rows(&Read {
            after: String::new(),
            keys: Vec::new(),
            limit: TRIM_ROWS_MAX,
            prefix: LOG_PREFIX.into(),
        })?;
        let mut keys = Vec::new();
        for row in rows.rows {
            let entry: Entry = serde_json::from_value(row.value).ok()?;
            if entry.revision > last_expired {
                break;
            }
            keys.push(row.key);
            keys.extend(
                entry
                    .operations
                    .iter()
                    .map(|operation| format!("{OPERATION_PREFIX}{}", operation.id)),
            );
        }
        Some(keys)
    }

    fn read_rows(&self, read: &Read) -> Option<Rows> {
        let url = format!("{}/v1/read", self.base_url);
        let body = serde_json::to_string(read).ok()?;
        let mut response = self.agent.post(&url).send(body).ok()?;
        if response.status() != 200 {
            return None;
        }
        let body = response.body_mut().with_config().limit(ANSWER_BYTES_MAX);
        serde_json::from_str(&body.read_to_string().ok()?).ok()
    }

    fn fetch_snapshot(&self, revision: Revision) -> Option<Snapshot> {
        let mut response = self.agent.get(self.object_url(revision)).call().ok()?;
        if response.status() != 200 {
            return None;
        }
        let body = response.body_mut().with_config().limit(ANSWER_BYTES_MAX);
        let snapshot: Snapshot = postcard::from_bytes(&body.read_to_vec().ok()?).ok()?;
        (snapshot.revision == revision).then_some(snapshot)
    }

    fn object_url(&self, revision: Revision) -> String {
        format!(
            "{}/v1/objects/{SNAPSHOT_PREFIX}{:020}",
            self.base_url, revision.0
        )
    }

    fn commit(&self, transaction: &Transaction) -> TransactionOutcome {
        let Ok(body) = serde_json::to_string(transaction) else {
            return TransactionOutcome::Unsent;
        };
        let url = format!("{}/v1/transact", self.base_url);
        match self.agent.post(&url).send(body) {
            Ok(response) if response.status() == 200 => TransactionOutcome::Committed,
            Ok(response) if response.status() == 409 => TransactionOutcome::Conflict,
            Err(ureq::Error::ConnectionFailed | ureq::Error::HostNotFound) => {
                TransactionOutcome::Unsent
            }
            Err(ureq::Error::Io(error))
                if error.kind() == std::io::ErrorKind::ConnectionRefused =>
            {
                TransactionOutcome::Unsent
            }
            Ok(_) | Err(_) => TransactionOutcome::Unknown,
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

/// Returns the key of the log row of a revision, padded so that keys sort by revision.
fn log_key(revision: Revision) -> String {
    format!("{LOG_PREFIX}{:020}", revision.0)
}

fn parse_page(rows: Rows) -> Option<Page> {
    let mut page = Page::default();
    for row in rows.found {
        if row.key == HEAD_KEY {
            page.head = decode(row.value)?;
        } else if row.key == BASE_KEY {
            page.base = decode(row.value)?;
        } else if let Some(id) = row.key.strip_prefix(OPERATION_PREFIX) {
            let receipt: Receipt = decode(row.value)?;
            page.receipts.push((id.into(), receipt));
        }
    }
    page.entries = rows
        .rows
        .into_iter()
        .map(|row| decode(row.value))
        .collect::<Option<_>>()?;
    Some(page)
}

fn decode<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}

fn append_transaction(entry: &Entry) -> Transaction {
    let head = match entry.revision.0 - 1 {
        0 => Value::Null,
        previous => previous.into(),
    };
    let receipt = |operation: &crate::source::Operation| {
        let receipt = Receipt {
            hash: operation.hash(),
            revision: entry.revision,
        };
        Row::put(&format!("{OPERATION_PREFIX}{}", operation.id), &receipt)
    };
    let mut checks = vec![Row {
        key: HEAD_KEY.into(),
        value: head,
    }];
    let mut puts = vec![
        Row::put(HEAD_KEY, &entry.revision),
        Row::put(&log_key(entry.revision), entry),
    ];
    for operation in &entry.operations {
        checks.push(Row::delete(format!("{OPERATION_PREFIX}{}", operation.id)));
        puts.push(receipt(operation));
    }
    Transaction { checks, puts }
}
