//! The HTTP client of the subcommands that talk to a node, and their common options.

use {
    super::usage,
    crate::error::{Error, Result},
    getopts::{Matches, Options},
    serde_json::Value,
    std::{fs, io, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(15);
const TOKEN_VARIABLE: &str = "MULBERRY_TOKEN";

/// Client of the resource API of one or more nodes, which are tried in turn.
pub(super) struct Client {
    agent: ureq::Agent,
    nodes: Vec<String>,
    token: String,
}

/// Adds the options of the client and of the output format.
pub(super) fn add_options(options: &mut Options) {
    options.optmulti(
        "n",
        "node",
        "a node's API; several are tried in turn (default 127.0.0.1:9001)",
        "ADDR[,ADDR]",
    );
    options.optopt(
        "t",
        "token-file",
        "the file that holds the token (default: $MULBERRY_TOKEN)",
        "FILE",
    );
    options.optopt("o", "output", "table or json (default table)", "FORM");
}

/// Format in which an answer is printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OutputFormat {
    Json,
    Table,
}

impl OutputFormat {
    pub(super) fn from_matches(matches: &Matches) -> Result<Self> {
        match matches.opt_str("output").as_deref() {
            None | Some("table") => Ok(Self::Table),
            Some("json") => Ok(Self::Json),
            Some(other) => Err(usage(format!(
                "--output must be table or json, not `{other}`"
            ))),
        }
    }
}

impl Client {
    /// Creates a client without sending a request.
    ///
    /// # Errors
    /// Fails if no token is given or its file cannot be read.
    pub(super) fn from_matches(matches: &Matches) -> Result<Self> {
        let token = match matches.opt_str("token-file") {
            Some(path) => fs::read_to_string(&path)
                .map_err(|error| usage(format!("cannot read {path}: {error}")))?,
            None => std::env::var(TOKEN_VARIABLE)
                .map_err(|_| usage(format!("set {TOKEN_VARIABLE} or give --token-file")))?,
        };
        let config = ureq::Agent::config_builder()
            .timeout_connect(Some(TIMEOUT))
            .timeout_recv_response(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        let mut nodes: Vec<String> = matches
            .opt_strs("node")
            .iter()
            .flat_map(|list| list.split(','))
            .map(|node| node.trim().to_string())
            .filter(|node| !node.is_empty())
            .collect();
        if nodes.is_empty() {
            nodes.push("127.0.0.1:9001".into());
        }
        Ok(Self {
            agent: config.into(),
            nodes,
            token: token.trim().into(),
        })
    }

    /// Returns the answer to a GET request from the first node that can be reached.
    pub(super) fn get(&self, path: &str) -> Result<Value> {
        let mut answer = self.stream(path)?;
        let status = answer.status().as_u16();
        let text = answer
            .body_mut()
            .read_to_string()
            .map_err(|error| peer_error(&self.nodes.join(","), &error))?;
        parse_answer(status, &text)
    }

    /// Sends a GET request to the first node that can be reached, and returns the response with its
    /// body unread.
    pub(super) fn stream(&self, path: &str) -> Result<ureq::http::Response<ureq::Body>> {
        let mut failure = None;
        for node in &self.nodes {
            let request = self
                .agent
                .get(format!("http://{node}{path}"))
                .header("authorization", self.bearer());
            match request.call() {
                Ok(answer) => return Ok(answer),
                Err(error) => failure = Some(peer_error(node, &error)),
            }
        }
        Err(failure.unwrap_or_else(|| usage("a node is required".into())))
    }

    /// Sends a request that changes something. A node to which no connection could be opened cannot
    /// have received the request, so the next one is tried. Any other failure leaves the outcome
    /// unknown.
    pub(super) fn write(&self, method: &str, path: &str, body: &str) -> Result<Value> {
        let mut failure = None;
        for node in &self.nodes {
            match self.write_at(node, method, path, body) {
                Err(error @ Error::Peer { .. }) => failure = Some(error),
                other => return other,
            }
        }
        Err(failure.unwrap_or_else(|| usage("a node is required".into())))
    }

    fn write_at(&self, node: &str, method: &str, path: &str, body: &str) -> Result<Value> {
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{node}{path}"))
            .header("authorization", self.bearer())
            .body(body.to_string())
            .map_err(|error| usage(error.to_string()))?;
        let unknown = |message: String| Error::OutcomeUnknown {
            message: format!("{node}: {message}"),
        };
        let mut answer = self.agent.run(request).map_err(|error| match &error {
            ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => peer_error(node, &error),
            ureq::Error::Io(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => {
                peer_error(node, &error)
            }
            _ => unknown(error.to_string()),
        })?;
        let text = answer
            .body_mut()
            .read_to_string()
            .map_err(|error| unknown(error.to_string()))?;
        parse_answer(answer.status().as_u16(), &text)
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.token)
    }
}

fn peer_error(node: &str, error: &ureq::Error) -> Error {
    Error::Peer {
        step: "ask",
        peer: node.into(),
        message: error.to_string(),
    }
}

/// Converts the status and body of a response to a result. The node answers 504 if the outcome is
/// unknown.
pub(super) fn parse_answer(status: u16, text: &str) -> Result<Value> {
    let value = serde_json::from_str(text).unwrap_or(Value::String(text.into()));
    match status {
        200..=299 => Ok(value),
        504 => Err(Error::OutcomeUnknown {
            message: problem_text(&value),
        }),
        _ => Err(Error::Refused {
            message: problem_text(&value),
        }),
    }
}

fn problem_text(value: &Value) -> String {
    let title = value["title"].as_str().unwrap_or("no reason given");
    let detail = value["detail"].as_str();
    let faults = value["faults"].as_array().into_iter().flatten();
    let lines = faults.map(|fault| {
        let part = |name: &str| fault[name].as_str().unwrap_or_default().to_string();
        let field = format!("{} {}", part("resource"), part("field"));
        format!("\n  {}: {}", field.trim(), part("message"))
    });
    std::iter::once(title.to_string())
        .chain(detail.map(|detail| format!(": {detail}")))
        .chain(lines)
        .collect()
}

/// Percent-encodes a text, so that it stays one segment of a path.
pub(super) fn encode_segment(text: &str) -> String {
    percent_encoding::utf8_percent_encode(text, percent_encoding::NON_ALPHANUMERIC).to_string()
}
