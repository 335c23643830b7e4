//! `mulberryctl apply`: create or replace resources, all or none.

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

/// For how long a request whose outcome is unknown is asked again.
const PATIENCE: Duration = Duration::from_secs(30);
/// The wait between two times of asking.
const PAUSE: Duration = Duration::from_secs(1);

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let mut known = Options::new();
    options(&mut known);
    known.optopt(
        "f",
        "file",
        "the resources, one or an array of them, in JSON",
        "FILE",
    );
    known.optopt("", "operation", "the id that makes asking again safe", "ID");
    known.optopt(
        "",
        "patience",
        "for how long an unknown outcome is asked for again (default 30)",
        "SECONDS",
    );
    let brief = "Usage: mulberryctl apply -f FILE [OPTIONS]";
    let Some(matches) = parse(&mut known, brief, arguments, out)? else {
        return Ok(());
    };
    let path = matches
        .opt_str("file")
        .map(PathBuf::from)
        .ok_or_else(|| usage("-f FILE is needed".into()))?;
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
    text.parse()
        .map(Duration::from_secs)
        .map_err(|_| usage(format!("--patience is a number of seconds, not `{text}`")))
}

/// Gives the operation's id: the one that was stated, or a new one.
pub(super) fn operation(matches: &Matches) -> String {
    matches
        .opt_str("operation")
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()))
}

/// Asks until the outcome is known, or for as long as patience lasts; `ask` is told whether it asks
/// again.
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
            // Once the outcome is unknown, a node that sent nothing this time does not settle it.
            Err(error @ (Error::Peer { .. } | Error::Refused { .. })) => match doubt.take() {
                Some(message) if !settles(&error) => message,
                _ => return Err(error),
            },
            other => return other,
        };
        if start.elapsed() + PAUSE > patience {
            let message = format!(
                "{message}\nask again with `--operation {operation}`: it is never applied twice"
            );
            return Err(Error::OutcomeUnknown { message });
        }
        doubt = Some(message);
        thread::sleep(PAUSE);
    }
}

/// Tells whether an error says that the operation was refused for its content.
fn settles(error: &Error) -> bool {
    match error {
        Error::Refused { message } => message.starts_with("refused"),
        _ => false,
    }
}
