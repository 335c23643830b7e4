//! Checks the settings: each one by itself, and those that must be consistent with each other.

use {
    super::{Fault, Settings, StopLimits, Tokens, reader::Reader},
    std::net::SocketAddr,
};

/// Parses settings from JSON text. Returns every fault if there are any.
pub(super) fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let root = serde_json::from_str(text).map_err(|error| {
        vec![Fault {
            message: format!("the text is not JSON: {error}"),
            path: ".".into(),
            value: None,
        }]
    })?;
    let mut reader = Reader::new(root);
    match read_all(&mut reader) {
        Some(settings) if reader.faults.is_empty() => Ok(settings),
        _ => Err(reader.faults),
    }
}

/// Reads every setting before returning `None` for a missing one, so that all faults are found.
fn read_all(reader: &mut Reader) -> Option<Settings> {
    let (admin, api) = (reader.address("admin"), reader.address("api"));
    let (proxy, quic) = (reader.address("proxy"), reader.address("quic"));
    check_admin_exposure(reader, admin);
    check_ports(reader, [("admin", admin), ("api", api), ("proxy", proxy)]);
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
    let statsd = reader.optional_address("statsd");
    let tokens = (reader.token("tokens.read"), reader.token("tokens.write"));
    if tokens.0.is_some() && tokens.0 == tokens.1 {
        reader.add_fault("tokens.write", None, "is equal to `tokens.read`");
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
        stop: StopLimits {
            spread: spread?,
            timeout: timeout?,
        },
        tokens: Tokens {
            read: tokens.0?,
            write: tokens.1?,
        },
    })
}

/// Adds a fault if other hosts can reach the admin port and the settings do not allow it explicitly.
fn check_admin_exposure(reader: &mut Reader, admin: Option<SocketAddr>) {
    let exposed = reader.flag("admin_exposed").unwrap_or(true);
    let Some(admin) = admin.filter(|admin| !exposed && !admin.ip().is_loopback()) else {
        return;
    };
    reader.add_fault(
        "admin",
        Some(format!("\"{admin}\"")),
        "is not loopback, and whoever reaches this port can drain the host; \
         set `admin_exposed` to true if that is meant",
    );
}

/// Adds a fault for each TCP port that is the same as an earlier one.
fn check_ports(reader: &mut Reader, ports: [(&str, Option<SocketAddr>); 3]) {
    for (index, (path, address)) in ports.iter().enumerate() {
        let Some(address) = address else { continue };
        let conflicting = ports[..index]
            .iter()
            .find(|(_, other)| other.is_some_and(|other| ports_conflict(other, *address)));
        if let Some((other, _)) = conflicting {
            let value = Some(format!("\"{address}\""));
            reader.add_fault(path, value, format!("is the port of `{other}`"));
        }
    }
}

/// Returns whether two sockets cannot be bound at the same time. Port 0 stands for any free port and
/// never conflicts.
fn ports_conflict(first: SocketAddr, other: SocketAddr) -> bool {
    let unspecified = first.ip().is_unspecified() || other.ip().is_unspecified();
    first.port() != 0 && first.port() == other.port() && (unspecified || first.ip() == other.ip())
}
