//! `mulberryctl get`: show one resource.

use {
    super::{client, parse, usage},
    crate::error::Result,
    getopts::Options,
};

pub(super) fn run(arguments: &[String]) -> Result {
    let mut options = Options::new();
    client::options(&mut options);
    let brief = "Usage: mulberryctl get KIND NAME [OPTIONS]";
    let Some(matches) = parse(&mut options, brief, arguments)? else {
        return Ok(());
    };
    let [kind, name] = matches.free.as_slice() else {
        return Err(usage("a kind and a name are needed".into()));
    };
    let value = client::Client::open(&matches)?.get(&format!("/v1/{kind}/{name}"))?;
    println!("{value:#}");
    Ok(())
}
