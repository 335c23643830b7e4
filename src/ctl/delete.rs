//! `mulberryctl delete`: delete one resource.

use {
    super::{
        apply::settled,
        client::{Client, options, segment},
        parse, show, usage,
    },
    crate::error::Result,
    getopts::Options,
    std::io::Write,
};

pub(super) fn run(arguments: &[String], out: &mut dyn Write) -> Result {
    let mut known = Options::new();
    options(&mut known);
    known.optopt(
        "",
        "resource-version",
        "delete only if the resource is at this version",
        "N",
    );
    known.optopt(
        "",
        "operation",
        "an id under which the request can be repeated safely",
        "ID",
    );
    let brief = "Usage: mulberryctl delete KIND NAME [OPTIONS]";
    let Some(matches) = parse(&mut known, brief, arguments, out)? else {
        return Ok(());
    };
    let [kind, name] = matches.free.as_slice() else {
        return Err(usage("a kind and a name are required".into()));
    };
    let operation = super::apply::operation(&matches);
    let mut path = format!(
        "/v1/{}/{}?operation={}",
        segment(kind),
        segment(name),
        segment(&operation)
    );
    if let Some(version) = matches.opt_str("resource-version") {
        path.push_str("&resourceVersion=");
        path.push_str(&segment(&version));
    }
    let client = Client::open(&matches)?;
    let answer = settled(&operation, |again| {
        let again = if again || matches.opt_present("operation") {
            "&again=true"
        } else {
            ""
        };
        client.write("DELETE", &format!("{path}{again}"), "")
    })?;
    show(
        out,
        format_args!("deleted as {}", answer["resourceVersion"]),
    )
}
