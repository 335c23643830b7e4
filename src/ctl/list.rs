//! `mulberryctl list`: show every resource of a kind.

use {
    super::{client, parse, usage},
    crate::error::Result,
    getopts::Options,
};

pub(super) fn run(arguments: &[String]) -> Result {
    let mut options = Options::new();
    client::options(&mut options);
    let brief = "Usage: mulberryctl list KIND [OPTIONS]";
    let Some(matches) = parse(&mut options, brief, arguments)? else {
        return Ok(());
    };
    let [kind] = matches.free.as_slice() else {
        return Err(usage("a kind is needed".into()));
    };
    let value = client::Client::open(&matches)?.get(&format!("/v1/{kind}"))?;
    println!("{value:#}");
    Ok(())
}
