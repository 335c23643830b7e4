//! `mulberryctl apply`: create or replace resources, all or none.

use {
    super::{client, parse, usage},
    crate::error::{Error, Result},
    getopts::Options,
    serde_json::{Value, json},
    std::{fs, path::PathBuf},
};

pub(super) fn run(arguments: &[String]) -> Result {
    let mut options = Options::new();
    client::options(&mut options);
    options.optopt(
        "f",
        "file",
        "the resources, one or an array of them, in JSON",
        "FILE",
    );
    options.optopt("", "operation", "the id that makes asking again safe", "ID");
    let brief = "Usage: mulberryctl apply -f FILE [OPTIONS]";
    let Some(matches) = parse(&mut options, brief, arguments)? else {
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
    let operation = matches
        .opt_str("operation")
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let body = json!({ "operation": operation, "resources": resources });
    let reply = client::Client::open(&matches)?.post("/v1/apply", &body)?;
    println!("accepted as {}", reply["resourceVersion"]);
    Ok(())
}
