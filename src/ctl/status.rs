//! `mulberryctl status`: show which revision each failure domain runs.

use {
    super::{
        client::{Client, Form, options},
        parse, show, table, usage,
    },
    crate::error::Result,
    getopts::Options,
    std::io::Write,
};

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let mut known = Options::new();
    options(&mut known);
    let brief = "Usage: mulberryctl status [OPTIONS]";
    let Some(matches) = parse(&mut known, brief, arguments, out)? else {
        return Ok(());
    };
    if let Some(extra) = matches.free.first() {
        return Err(usage(format!("unexpected argument `{extra}`")));
    }
    let form = Form::open(&matches)?;
    let answer = Client::open(&matches)?.get("/v1/status")?;
    if form == Form::Json {
        return show(out, format_args!("{answer:#}"));
    }
    let domains = answer["domains"].as_object().into_iter().flatten();
    let rows = domains.map(|(domain, held)| {
        let reached = if held["reached"] == true { "yes" } else { "no" };
        [
            domain.clone(),
            table::text(&held["revision"]),
            reached.into(),
        ]
    });
    table::rows_of(
        out,
        &["DOMAIN", "REVISION", "REACHED"],
        &rows.collect::<Vec<_>>(),
    )?;
    show(
        out,
        format_args!("this node runs revision {}", answer["resourceVersion"]),
    )
}
