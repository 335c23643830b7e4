//! `mulberryctl apply`: create or replace resources, all or none. A request whose outcome is unknown
//! is retried with the same operation id, which is never applied twice.

use {
    super::{
        client::{Client, add_options},
        parse_options, usage, write_line,
    },
    crate::error::{Error, Result},
    getopts::{Matches, Options},
    serde_json::{Value, json},
    std::{
        fs,
        io::Write,
        path::PathBuf,
        thread,
        time::{Duration, Instant},
    },
};

/// Time for which a request whose outcome is unknown is retried, unless `--patience` is given.
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let mut options = Options::new();
    add_options(&mut options);
    options.optopt(
        "f",
        "file",
        "a JSON file with one resource or an array of them",
        "FILE",
    );
    options.optopt(
        "",
        "operation",
        "an id under which the request can be repeated safely",
        "ID",
    );
    options.optopt(
        "",
        "patience",
        "how long to retry a request with unknown outcome (default 30)",
        "SECONDS",
    );
    let brief = "Usage: mulberryctl apply -f FILE [OPTIONS]";
    let Some(matches) = parse_options(&mut options, brief, arguments, out)? else {
        return Ok(());
    };
    let path = matches
        .opt_str("file")
        .map(PathBuf::from)
        .ok_or_else(|| usage("-f FILE is required".into()))?;
    let text = fs::read_to_string(&path).map_err(|source| Error::File {
        step: "read",
        path: path.clone(),
        source,
    })?;
    let value: Value = serde_json::from_str(&text)
        .map_err(|error| usage(format!("{}: {error}", path.display())))?;
    let resources = match value {
        Value::Array(resources) => resources,
        resource => vec![resource],
    };
    let timeout = retry_timeout(&matches)?;
    let operation_id = operation_id(&matches);
    let client = Client::from_matches(&matches)?;
    let id_given = matches.opt_present("operation");
    let answer = retry_until_known_within(timeout, &operation_id, |retried| {
        let retried = id_given || retried;
        let body = json!({ "again": retried, "operation": operation_id, "resources": resources });
        client.write("POST", "/v1/apply", &body.to_string())
    })?;
    write_line(
        out,
        format_args!("accepted as {}", answer["resourceVersion"]),
    )
}

fn retry_timeout(matches: &Matches) -> Result<Duration> {
    let Some(text) = matches.opt_str("patience") else {
        return Ok(RETRY_TIMEOUT);
    };
    text.parse().map(Duration::from_secs).map_err(|_| {
        usage(format!(
            "--patience must be a number of seconds, not `{text}`"
        ))
    })
}

/// Returns the operation id from the command line, or a new random one.
pub(super) fn operation_id(matches: &Matches) -> String {
    matches
        .opt_str("operation")
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()))
}

/// Sends a request, and retries it until its outcome is known, at most for [`RETRY_TIMEOUT`]. The
/// argument of `send` is `true` for a retry.
pub(super) fn retry_until_known(
    operation_id: &str,
    send: impl FnMut(bool) -> Result<Value>,
) -> Result<Value> {
    retry_until_known_within(RETRY_TIMEOUT, operation_id, send)
}

fn retry_until_known_within(
    timeout: Duration,
    operation_id: &str,
    mut send: impl FnMut(bool) -> Result<Value>,
) -> Result<Value> {
    let start = Instant::now();
    let mut unknown = None;
    loop {
        let message = match send(unknown.is_some()) {
            Err(Error::OutcomeUnknown { message }) => message,
            // Once the outcome is unknown, a failure to send the request again, or a node that did
            // not pass it on, does not decide the outcome of the earlier attempt.
            Err(error @ (Error::Peer { .. } | Error::Refused { .. })) => match unknown.take() {
                Some(message) if !is_final_refusal(&error) => message,
                _ => return Err(error),
            },
            other => return other,
        };
        if start.elapsed() + RETRY_INTERVAL > timeout {
            let message = format!(
                "{message}\nretry with `--operation {operation_id}`: it is never applied twice"
            );
            return Err(Error::OutcomeUnknown { message });
        }
        unknown = Some(message);
        thread::sleep(RETRY_INTERVAL);
    }
}

/// Returns whether an error decides the outcome: the operation was refused for its content. Such an
/// answer has a title that begins with `refused`, unlike that of a busy node, for example.
fn is_final_refusal(error: &Error) -> bool {
    match error {
        Error::Refused { message } => message.starts_with("refused"),
        _ => false,
    }
}
