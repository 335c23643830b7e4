//! Prints the memory and time that one node needs at the size that the mesh is designed for: 14,000
//! hosts in 14 failure domains, and 1,000 services with a route and two versions each. It uses the
//! library's state machines directly, without a network. The figures feed docs/CAPACITY.md.

use {
    mulberryshelf::{
        member::{Contact, Offer, Record, Roster, State},
        resource::{Change, Key, Kind, Route, Spec, VersionSpec},
        snapshot::{Delta, Snapshot},
        traffic::Router,
        types::{Moment, Permille, Revision},
    },
    std::{
        fs,
        hint::black_box,
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Instant,
    },
};

const CHANGES: u64 = 200;
const DOMAINS: usize = 14;
const HOSTS: usize = 14_000;
const SERVICES: usize = 1_000;

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("cannot read /proc/self/status");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("/proc/self/status has no VmRSS");
    let digits = line.trim().trim_end_matches(" kB");
    digits.parse().expect("VmRSS is not a number of KiB")
}

fn record(number: usize) -> Record {
    let domain = number % DOMAINS;
    let bits = u32::try_from(number).expect("host number does not fit an IPv4 address");
    let name = |text: String| text.parse().expect("invalid name");
    Record {
        contact: Contact {
            address: SocketAddr::from((Ipv4Addr::from_bits(bits), 7000)),
            domain: format!("domain-{domain}").parse().expect("invalid name"),
            host: format!("host-{number}").parse().expect("invalid name"),
            region: format!("region-{}", domain % 5)
                .parse()
                .expect("invalid name"),
        },
        incarnation: Moment(1),
        offer: Some(Offer {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8000)),
            connections_max: 120,
            service: format!("service-{}", number % SERVICES)
                .parse()
                .expect("invalid name"),
            slots: 12,
            version: name(format!("service-{}-v1", number % SERVICES)),
        }),
        sequence: 1,
        state: State::Ready,
    }
}

fn version(service: usize, number: u64) -> Change {
    let key = Key {
        kind: Kind::Version,
        name: format!("service-{service}-v{number}")
            .parse()
            .expect("invalid name"),
    };
    let service = format!("service-{service}").parse().expect("invalid name");
    Change::Put(key, Spec::Version(VersionSpec { service }))
}

fn route(service: usize) -> Change {
    let name = format!("service-{service}");
    let key = Key {
        kind: Kind::Route,
        name: name.parse().expect("invalid name"),
    };
    let first = format!("{name}-v1").parse().expect("invalid name");
    let spec = Route {
        path: "/".into(),
        service: name.parse().expect("invalid name"),
        shares: [(first, Permille::WHOLE)].into(),
    };
    Change::Put(key, Spec::Route(spec))
}

fn delta(base: &Snapshot, change: Change) -> Delta {
    let to = base.revision.next();
    let mut next = base.clone();
    next.apply_change(to, &change);
    Delta {
        changes: vec![(to, change)],
        digest: next.digest,
        from: base.revision,
        to,
    }
}

/// Prints the growth of the resident memory since a reading in KiB, and returns the present one.
fn report_growth(what: &str, before: u64) -> u64 {
    let now = resident_kib();
    println!("{what:42} {:6} KiB", now.saturating_sub(before));
    now
}

/// Prints the mean time of one of `CHANGES` repetitions in microseconds.
fn report_time(what: &str, started: Instant) {
    let each = started.elapsed().as_micros() / u128::from(CHANGES);
    println!("{what:42} {each:6} us");
}

fn main() {
    let start = resident_kib();
    let mut roster = Roster::default();
    let records: Vec<Arc<Record>> = (0..HOSTS).map(|number| Arc::new(record(number))).collect();
    for record in &records {
        roster.merge(Moment(1), record.clone());
    }
    let resident = report_growth("roster of 14,000 hosts", start);
    let mut snapshot = Snapshot::default();
    for service in 0..SERVICES {
        let changes = [version(service, 1), version(service, 2), route(service)];
        for change in &changes {
            snapshot.apply_change(Revision(1), change);
        }
    }
    snapshot.revision = Revision(1);
    let resident = report_growth("3,000 resources", resident);
    let (domain, region) = ("domain-0".parse(), "region-0".parse());
    let mut traffic = Router::new(
        domain.expect("invalid name"),
        region.expect("invalid name"),
        1,
    );
    traffic.install(Arc::new(snapshot.clone()));
    traffic.apply_membership(Moment(1), records);
    report_growth("routing state of the same", resident);
    report_growth("all of it", start);
    let deltas: Vec<Delta> = (0..CHANGES)
        .map(|number| delta(&snapshot, version(0, 3 + number)))
        .collect();
    let started = Instant::now();
    for delta in &deltas {
        black_box(snapshot.apply_delta(delta).expect("delta does not apply"));
    }
    report_time("a change with 3,000 resources held", started);
    let next = Arc::new(
        snapshot
            .apply_delta(&deltas[0])
            .expect("delta does not apply"),
    );
    let started = Instant::now();
    for _ in 0..CHANGES {
        traffic.install(next.clone());
    }
    report_time("its installation for requests", started);
    black_box((roster, traffic));
}
