//! What every subcommand that talks to a node shares.

use {
    super::usage,
    crate::error::{Error, Result},
    getopts::{Matches, Options},
    serde_json::Value,
    std::{fs, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(15);
const TOKEN_VARIABLE: &str = "MULBERRY_TOKEN";

/// A client of one node's resource API.
pub struct Client {
    agent: ureq::Agent,
    node: String,
    token: String,
}

/// Adds the options that a client needs.
pub fn options(options: &mut Options) {
    options.optopt(
        "n",
        "node",
        "the node's API (default 127.0.0.1:9001)",
        "ADDR",
    );
    options.optopt(
        "t",
        "token-file",
        "the file of the token (default: $MULBERRY_TOKEN)",
        "FILE",
    );
}

impl Client {
    /// Makes a client; nothing is sent yet.
    pub fn open(matches: &Matches) -> Result<Self> {
        let token = match matches.opt_str("token-file") {
            Some(path) => fs::read_to_string(&path)
                .map_err(|error| usage(format!("cannot read {path}: {error}")))?,
            None => std::env::var(TOKEN_VARIABLE)
                .map_err(|_| usage(format!("set {TOKEN_VARIABLE} or give --token-file")))?,
        };
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        Ok(Self {
            agent: config.into(),
            node: matches
                .opt_str("node")
                .unwrap_or_else(|| "127.0.0.1:9001".into()),
            token: token.trim().into(),
        })
    }

    /// Reads a path of the API.
    pub fn get(&self, path: &str) -> Result<Value> {
        let request = self
            .agent
            .get(self.url(path))
            .header("authorization", format!("Bearer {}", self.token));
        let response = request.call().map_err(|error| self.lost(&error))?;
        self.read(response)
    }

    /// Posts to a path of the API.
    pub fn post(&self, path: &str, body: &Value) -> Result<Value> {
        let request = self
            .agent
            .post(self.url(path))
            .header("authorization", format!("Bearer {}", self.token));
        let response = request
            .send(body.to_string())
            .map_err(|error| match error {
                ureq::Error::ConnectionFailed => self.lost(&error),
                ureq::Error::Io(ref cause)
                    if cause.kind() == std::io::ErrorKind::ConnectionRefused =>
                {
                    self.lost(&error)
                }
                _ => Error::OutcomeUnknown {
                    message: format!("{}: {error}", self.node),
                },
            })?;
        self.read(response)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.node)
    }

    fn lost(&self, error: &ureq::Error) -> Error {
        Error::Peer {
            step: "ask",
            peer: self.node.clone(),
            message: error.to_string(),
        }
    }

    fn read(&self, mut response: ureq::http::Response<ureq::Body>) -> Result<Value> {
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .read_to_string()
            .map_err(|error| self.lost(&error))?;
        let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        match status {
            200..=299 => Ok(value),
            504 => Err(Error::OutcomeUnknown {
                message: value.to_string(),
            }),
            _ => Err(Error::Refused {
                message: problem(&value),
            }),
        }
    }
}

fn problem(value: &Value) -> String {
    let title = value["title"].as_str().unwrap_or("no reason given");
    let faults = value["faults"].as_array().into_iter().flatten();
    let lines = faults.map(|fault| {
        let part = |name: &str| fault[name].as_str().unwrap_or_default().to_string();
        format!(
            "\n  {} {}: {}",
            part("resource"),
            part("field"),
            part("message")
        )
    });
    std::iter::once(title.to_string()).chain(lines).collect()
}
