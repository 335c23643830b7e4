//! `mulberryctl authority`: create a development authority and certificates for nodes.

use {
    super::{parse_options, usage},
    crate::{
        error::{Error, Result},
        tls::Authority,
        types::{Domain, Host},
    },
    getopts::Options,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

pub(super) fn run(arguments: &[String], out: &mut dyn std::io::Write) -> Result {
    let mut options = Options::new();
    options.optopt("o", "out", "the directory to write to", "DIR");
    let brief = "Usage: mulberryctl authority --out DIR HOST.DOMAIN...

Creates DIR/authority.pem unless it exists, and DIR/HOST.pem and DIR/HOST.key for each host.
For development only: the authority's private key stays in DIR.";
    let Some(matches) = parse_options(&mut options, brief, arguments, out)? else {
        return Ok(());
    };
    let directory = matches
        .opt_str("out")
        .map(PathBuf::from)
        .ok_or_else(|| usage("--out DIR is required".into()))?;
    let authority = load_or_create(&directory)?;
    for name in &matches.free {
        let (host, domain) = parse_host_and_domain(name)?;
        let identity = authority.issue_node_identity(&host, &domain)?;
        write_file(
            &directory.join(format!("{host}.pem")),
            &identity.certificate,
        )?;
        write_file(&directory.join(format!("{host}.key")), &identity.key)?;
    }
    super::write_line(
        out,
        format_args!(
            "wrote {} certificates to {}",
            matches.free.len(),
            directory.display()
        ),
    )
}

fn parse_host_and_domain(name: &str) -> Result<(Host, Domain)> {
    let (host, domain) = name
        .split_once('.')
        .ok_or_else(|| usage(format!("`{name}` is not of the form HOST.DOMAIN")))?;
    let host = host.parse().map_err(|error| usage(format!("{error}")))?;
    let domain = domain.parse().map_err(|error| usage(format!("{error}")))?;
    Ok((host, domain))
}

fn load_or_create(directory: &Path) -> Result<Authority> {
    let (certificate, key) = (
        directory.join("authority.pem"),
        directory.join("authority.key"),
    );
    if let (Ok(certificate), Ok(key)) = (fs::read_to_string(&certificate), fs::read_to_string(&key))
    {
        return Ok(Authority::from_pem(certificate, key));
    }
    fs::create_dir_all(directory).map_err(|source| Error::File {
        step: "create",
        path: directory.into(),
        source,
    })?;
    let authority = Authority::generate()?;
    write_file(&certificate, authority.certificate())?;
    write_file(&key, authority.key())?;
    Ok(authority)
}

fn write_file(path: &Path, text: &str) -> Result {
    fs::write(path, text).map_err(|source| Error::File {
        step: "write",
        path: path.into(),
        source,
    })
}
