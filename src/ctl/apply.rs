//! `mulberryctl apply`: create or replace resources, all or none. A request whose outcome is unknown
//! is repeated with the same operation id, which is never applied twice.

use {
    super::{
        client::{Client, options},
        parse, show, usage,
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

/// Time for which a request whose outcome is unknown is repeated, unless `--patience` is given.
const PATIENCE: Duration = Duration::from_secs(30);
/// Wait before a request is repeated.
const PAUSE: Duration = Duration::from_secs(1);

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let mut known = Options::new();
    options(&mut known);
    known.optopt(
        "f",
        "file",
        "a JSON file with one resource or an array of them",
        "FILE",
    );
    known.optopt(
        "",
        "operation",
        "an id under which the request can be repeated safely",
        "ID",
    );
    known.optopt(
        "",
        "patience",
        "how long to repeat a request with unknown outcome (default 30)",
        "SECONDS",
    );
    let brief = "Usage: mulberryctl apply -f FILE [OPTIONS]";
    let Some(matches) = parse(&mut known, brief, arguments, out)? else {
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
    let patience = patience(&matches)?;
    let operation = operation(&matches);
    let client = Client::open(&matches)?;
    let known = matches.opt_present("operation");
    let answer = settled_within(patience, &operation, |again| {
        let again = known || again;
        let body = json!({ "again": again, "operation": operation, "resources": resources });
        client.write("POST", "/v1/apply", &body.to_string())
    })?;
    show(
        out,
        format_args!("accepted as {}", answer["resourceVersion"]),
    )
}

fn patience(matches: &Matches) -> Result<Duration> {
    let Some(text) = matches.opt_str("patience") else {
        return Ok(PATIENCE);
    };
    text.parse().map(Duration::from_secs).map_err(|_| {
        usage(format!(
            "--patience must be a number of seconds, not `{text}`"
        ))
    })
}

/// Returns the operation id from the command line, or a new random one.
pub(super) fn operation(matches: &Matches) -> String {
    matches
        .opt_str("operation")
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()))
}

/// Repeats a request until its outcome is known, at most for the default time. The argument of `ask`
/// is `true` when the request is repeated.
pub(super) fn settled(operation: &str, ask: impl FnMut(bool) -> Result<Value>) -> Result<Value> {
    settled_within(PATIENCE, operation, ask)
}

fn settled_within(
    patience: Duration,
    operation: &str,
    mut ask: impl FnMut(bool) -> Result<Value>,
) -> Result<Value> {
    let start = Instant::now();
    let mut doubt = None;
    loop {
        let message = match ask(doubt.is_some()) {
            Err(Error::OutcomeUnknown { message }) => message,
            // Once the outcome is unknown, a failure to send the request again, or a node that did
            // not pass it on, does not decide the outcome of the earlier attempt.
            Err(error @ (Error::Peer { .. } | Error::Refused { .. })) => match doubt.take() {
                Some(message) if !settles(&error) => message,
                _ => return Err(error),
            },
            other => return other,
        };
        if start.elapsed() + PAUSE > patience {
            let message = format!(
                "{message}\nrepeat it with `--operation {operation}`: it is never applied twice"
            );
            return Err(Error::OutcomeUnknown { message });
        }
        doubt = Some(message);
        thread::sleep(PAUSE);
    }
}

/// Returns whether an error decides the outcome: the operation was refused for its content. Such an
/// answer has a title that begins with `refused`, unlike that of a busy node, for example.
fn settles(error: &Error) -> bool {
    match error {
        Error::Refused { message } => message.starts_with("refused"),
        _ => false,
    }
}
