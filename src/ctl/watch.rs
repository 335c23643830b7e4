//! `mulberryctl watch`: show changes as they happen, or those of one rollout until it ends. A watch
//! that is cut off is resumed from the last bookmark.

use {
    super::{
        client::{Client, Form, options, segment, settle},
        parse, show, table, usage,
    },
    crate::error::{Error, Result},
    getopts::Options,
    serde_json::Value,
    std::{
        io::{BufRead, BufReader, Write},
        thread,
        time::Duration,
    },
};

/// Wait before a watch that was cut off is resumed.
const PAUSE: Duration = Duration::from_secs(1);
/// Maximum number of times that a watch is resumed without a line in between.
const RESUMES_MAX: u32 = 30;

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let mut known = Options::new();
    options(&mut known);
    known.optopt(
        "",
        "resource-version",
        "show only changes after this version",
        "N",
    );
    known.optopt("", "timeout", "end after this many seconds", "SECONDS");
    let brief = "Usage: mulberryctl watch KIND [NAME] [OPTIONS]

A watch of one rollout ends when the rollout is completed (exit code 0) or rolled back (1).";
    let Some(matches) = parse(&mut known, brief, arguments, out)? else {
        return Ok(());
    };
    let (kind, name) = match matches.free.as_slice() {
        [kind] => (kind, None),
        [kind, name] => (kind, Some(name)),
        _ => return Err(usage("a kind and optionally a name are required".into())),
    };
    let name = name.map_or_else(String::new, |name| format!("/{}", segment(name)));
    let mut watch = Watch {
        client: Client::open(&matches)?,
        ends: kind == "rollout" && !name.is_empty(),
        form: Form::open(&matches)?,
        path: format!("/v1/{}{name}?watch=true", segment(kind)),
        since: matches.opt_str("resource-version"),
        timeout: matches.opt_str("timeout"),
    };
    watch.follow(out)
}

struct Watch {
    client: Client,
    ends: bool,
    form: Form,
    path: String,
    since: Option<String>,
    timeout: Option<String>,
}

/// What follows the end of a stream.
enum Next {
    Ended,
    Resume { heard: bool },
}

impl Watch {
    fn follow(&mut self, out: &mut dyn Write) -> Result {
        let mut resumes = 0;
        loop {
            let failure = match self.stream(out) {
                Ok(Next::Ended) => return Ok(()),
                Ok(Next::Resume { heard }) => {
                    resumes = if heard { 0 } else { resumes };
                    None
                }
                Err(error @ Error::Peer { .. }) => Some(error),
                Err(error) => return Err(error),
            };
            resumes += 1;
            if resumes > RESUMES_MAX {
                return Err(failure.unwrap_or_else(|| {
                    cut("the stream ends without a line each time it is opened")
                }));
            }
            thread::sleep(PAUSE);
        }
    }

    fn stream(&mut self, out: &mut dyn Write) -> Result<Next> {
        let mut path = self.path.clone();
        for (name, value) in [
            ("resourceVersion", &self.since),
            ("timeoutSeconds", &self.timeout),
        ] {
            if let Some(value) = value {
                path.extend(["&", name, "=", &segment(value)]);
            }
        }
        let mut answer = self.client.stream(&path)?;
        let status = answer.status().as_u16();
        if status != 200 {
            let text = answer.body_mut().read_to_string();
            settle(status, &text.map_err(|error| cut(&error.to_string()))?)?;
        }
        let mut heard = false;
        for line in BufReader::new(answer.into_body().into_reader()).lines() {
            let Ok(line) = line else {
                return Ok(Next::Resume { heard });
            };
            heard = true;
            if self.take(out, &line)? {
                return Ok(Next::Ended);
            }
        }
        Ok(match self.timeout {
            Some(_) => Next::Ended,
            None => Next::Resume { heard },
        })
    }

    /// Prints a line, and returns whether it is the last one.
    fn take(&mut self, out: &mut dyn Write, line: &str) -> Result<bool> {
        let event: Value = serde_json::from_str(line).map_err(|error| cut(&error.to_string()))?;
        if self.form == Form::Json {
            show(out, line)?;
        }
        let object = &event["object"];
        match event["type"].as_str() {
            Some("BOOKMARK") => {
                self.since = Some(table::text(&event["resourceVersion"]));
                return Ok(false);
            }
            Some("ERROR") => {
                settle(410, &event["problem"].to_string())?;
            }
            _ => {}
        }
        if self.form == Form::Table {
            let kind = event["type"].as_str().unwrap_or("?");
            let course = course(object);
            let cells = table::row(object).join("  ");
            show(out, format_args!("{kind:6}  {cells}{course}"))?;
        }
        if !self.ends {
            return Ok(false);
        }
        match phase(object) {
            Some("Completed") => Ok(true),
            Some("RolledBack") => Err(Error::Refused {
                message: "the rollout was rolled back".into(),
            }),
            _ => Ok(event["type"] == "DELETE"),
        }
    }
}

/// Returns the progress of a rollout: its phase, and its new version's share of requests (in
/// permille) at the node that is watched.
fn course(object: &Value) -> String {
    let phase = phase(object).unwrap_or_default();
    match object["status"]["progress"]["share"].as_u64() {
        Some(share) => format!("  {phase} {share}‰"),
        None if phase.is_empty() => String::new(),
        None => format!("  {phase}"),
    }
}

fn phase(object: &Value) -> Option<&str> {
    object["status"]["phase"].as_str()
}

fn cut(message: &str) -> Error {
    Error::Peer {
        step: "watch",
        peer: "the node".into(),
        message: message.into(),
    }
}
