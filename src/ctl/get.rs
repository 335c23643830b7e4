//! `mulberryctl get`: show one resource.

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
    let brief = "Usage: mulberryctl get KIND NAME [OPTIONS]";
    let Some(matches) = parse(&mut known, brief, arguments, out)? else {
        return Ok(());
    };
    let [kind, name] = matches.free.as_slice() else {
        return Err(usage("a kind and a name are required".into()));
    };
    let form = Form::open(&matches)?;
    let path = format!("/v1/{}/{}", segment(kind), segment(name));
    let document = Client::open(&matches)?.get(&path)?;
    table::documents(out, form, &document, std::slice::from_ref(&document))
}
