//! The client of the platform's table service, over HTTP. It decides nothing: each call ends as one
//! of the outcomes that `source` knows.

use {
    crate::{
        source::{Entry, Outcome},
        world::Revision,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(3);
const PAGE: usize = 500;

/// The prefix of the log's rows.
pub const LOG: &str = "log/";
/// The row whose value is the latest revision.
pub const HEAD: &str = "head";

/// One row of the table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value.
    pub value: serde_json::Value,
}

/// A transaction: takes effect whole if every check holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Transaction {
    /// Rows that must have these values; null for rows that must not be.
    pub checks: Vec<Row>,
    /// Rows to write; null deletes.
    pub puts: Vec<Row>,
}

/// Rows in the order of their keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Rows {
    /// The rows.
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

    /// Reads the log after a revision; nothing if that fails.
    #[must_use]
    pub fn read(&self, after: Revision) -> Option<Vec<Entry>> {
        let url = format!(
            "{}/v1/rows?prefix={LOG}&after={}&limit={PAGE}",
            self.base,
            row(after)
        );
        let mut response = self.agent.get(&url).call().ok()?;
        if response.status() != 200 {
            return None;
        }
        let text = response.body_mut().read_to_string().ok()?;
        let rows: Rows = serde_json::from_str(&text).ok()?;
        rows.rows
            .into_iter()
            .map(|row| serde_json::from_value(row.value).ok())
            .collect()
    }

    /// Appends an entry if the head is the revision before it.
    #[must_use]
    pub fn transact(&self, entry: &Entry) -> Outcome {
        let Ok(body) = serde_json::to_string(&transaction(entry)) else {
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

fn row(revision: Revision) -> String {
    format!("{LOG}{:020}", revision.0)
}

fn transaction(entry: &Entry) -> Transaction {
    let before = entry.revision.0 - 1;
    let head = match before {
        0 => serde_json::Value::Null,
        _ => before.into(),
    };
    Transaction {
        checks: vec![Row {
            key: HEAD.into(),
            value: head,
        }],
        puts: vec![
            Row {
                key: HEAD.into(),
                value: entry.revision.0.into(),
            },
            Row {
                key: row(entry.revision),
                value: serde_json::to_value(entry).unwrap_or_default(),
            },
        ],
    }
}
