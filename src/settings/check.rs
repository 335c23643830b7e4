//! Checks settings whole: each one by itself, then those that must fit each other.

use {
    super::{Fault, Settings, Stop, Tokens, reader::Reader},
    std::net::SocketAddr,
};

/// Reads settings from JSON text, or gives every fault.
pub(super) fn settings(text: &str) -> Result<Settings, Vec<Fault>> {
    let root = serde_json::from_str(text).map_err(|error| {
        vec![Fault {
            message: format!("the text is not JSON: {error}"),
            path: ".".into(),
            value: None,
        }]
    })?;
    let mut reader = Reader::new(root);
    match read(&mut reader) {
        Some(settings) if reader.faults.is_empty() => Ok(settings),
        _ => Err(reader.faults),
    }
}

/// Reads every setting before the first that is missing ends it, so that each fault is found.
fn read(reader: &mut Reader) -> Option<Settings> {
    let (admin, api) = (reader.address("admin"), reader.address("api"));
    let (proxy, quic) = (reader.address("proxy"), reader.address("quic"));
    exposure(reader, admin);
    ports(reader, [("admin", admin), ("api", api), ("proxy", proxy)]);
    let (authority, certificate) = (reader.file("authority"), reader.file("certificate"));
    let key = reader.file("key");
    let (domain, host, region) = (
        reader.name("domain"),
        reader.name("host"),
        reader.name("region"),
    );
    let lease = reader.millis("lease_ms");
    let (spread, timeout) = (
        reader.millis("stop.spread_ms"),
        reader.millis("stop.timeout_ms"),
    );
    let peers = reader.peers("peers");
    let platform = reader.url("platform");
    let statsd = reader.maybe_address("statsd");
    let tokens = (reader.token("tokens.read"), reader.token("tokens.write"));
    if tokens.0.is_some() && tokens.0 == tokens.1 {
        reader.fault("tokens.write", None, "is equal to `tokens.read`");
    }
    Some(Settings {
        admin: admin?,
        api: api?,
        authority: authority?,
        certificate: certificate?,
        domain: domain?,
        host: host?,
        key: key?,
        lease: lease?,
        peers,
        platform: platform?,
        proxy: proxy?,
        quic: quic?,
        region: region?,
        statsd,
        stop: Stop {
            spread: spread?,
            timeout: timeout?,
        },
        tokens: Tokens {
            read: tokens.0?,
            write: tokens.1?,
        },
    })
}

/// Refuses an admin port that others than this host can reach, unless that is meant.
fn exposure(reader: &mut Reader, admin: Option<SocketAddr>) {
    let exposed = reader.flag("admin_exposed").unwrap_or(true);
    let Some(admin) = admin.filter(|admin| !exposed && !admin.ip().is_loopback()) else {
        return;
    };
    reader.fault(
        "admin",
        Some(format!("\"{admin}\"")),
        "is not loopback, and whoever reaches this port can drain the host; \
         set `admin_exposed` to true if that is meant",
    );
}

/// Refuses two TCP ports that are the same one.
fn ports(reader: &mut Reader, ports: [(&str, Option<SocketAddr>); 3]) {
    for (index, (path, address)) in ports.iter().enumerate() {
        let Some(address) = address else { continue };
        let taken = ports[..index]
            .iter()
            .find(|(_, other)| other.is_some_and(|other| clash(other, *address)));
        if let Some((other, _)) = taken {
            let value = Some(format!("\"{address}\""));
            reader.fault(path, value, format!("is the port of `{other}`"));
        }
    }
}

fn clash(one: SocketAddr, other: SocketAddr) -> bool {
    let any = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && (any || one.ip() == other.ip())
}
