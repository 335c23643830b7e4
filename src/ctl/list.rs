//! `mulberryctl list`: show every resource of a kind.

use {
    super::{
        client::{Client, Form, options, segment},
        parse, table, usage,
    },
    crate::error::Result,
    getopts::Options,
    std::io::Write,
};

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let mut known = Options::new();
    options(&mut known);
    let brief = "Usage: mulberryctl list KIND [OPTIONS]";
    let Some(matches) = parse(&mut known, brief, arguments, out)? else {
        return Ok(());
    };
    let [kind] = matches.free.as_slice() else {
        return Err(usage("a kind is required".into()));
    };
    let form = Form::open(&matches)?;
    let answer = Client::open(&matches)?.get(&format!("/v1/{}", segment(kind)))?;
    let items = answer["items"].as_array().cloned().unwrap_or_default();
    table::documents(out, form, &answer, &items)
}
