//! Prints what one node holds and spends at the size to design for: 14,000 hosts in 14 failure domains
//! and 1,000 services with a route and two versions each. It drives the decisions' own types. The
//! figures feed docs/CAPACITY.md.

use {
    mulberryshelf::{
        member::{Contact, Offer, Record, Roster, State},
        resource::{Change, Key, Kind, Route, Spec, VersionSpec},
        snapshot::{Delta, Snapshot},
        traffic::Router,
        world::{Moment, Permille, Revision},
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

fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the process's status");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("the resident size");
    let digits = line.trim().trim_end_matches(" kB");
    digits.parse().expect("a number of KiB")
}

fn record(number: usize) -> Record {
    let domain = number % DOMAINS;
    let bits = u32::try_from(number).expect("a small number");
    let name = |text: String| text.parse().expect("a name");
    Record {
        contact: Contact {
            address: SocketAddr::from((Ipv4Addr::from_bits(bits), 7000)),
            domain: format!("domain-{domain}").parse().expect("a name"),
            host: format!("host-{number}").parse().expect("a name"),
            region: format!("region-{}", domain % 5).parse().expect("a name"),
        },
        incarnation: Moment(1),
        offer: Some(Offer {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8000)),
            connections_max: 120,
            service: format!("service-{}", number % SERVICES)
                .parse()
                .expect("a name"),
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
            .expect("a name"),
    };
    let service = format!("service-{service}").parse().expect("a name");
    Change::Put(key, Spec::Version(VersionSpec { service }))
}

fn route(service: usize) -> Change {
    let name = format!("service-{service}");
    let key = Key {
        kind: Kind::Route,
        name: name.parse().expect("a name"),
    };
    let first = format!("{name}-v1").parse().expect("a name");
    let spec = Route {
        path: "/".into(),
        service: name.parse().expect("a name"),
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

fn report(what: &str, since: u64) -> u64 {
    let now = resident_kib();
    println!("{what:42} {:6} KiB", now.saturating_sub(since));
    now
}

fn report_time(what: &str, began: Instant) {
    let each = began.elapsed().as_micros() / u128::from(CHANGES);
    println!("{what:42} {each:6} us");
}

fn main() {
    let start = resident_kib();
    let mut roster = Roster::default();
    let records: Vec<Arc<Record>> = (0..HOSTS).map(|number| Arc::new(record(number))).collect();
    for record in &records {
        roster.merge(Moment(1), record.clone());
    }
    let mark = report("roster of 14,000 hosts", start);
    let mut snapshot = Snapshot::default();
    for service in 0..SERVICES {
        let changes = [version(service, 1), version(service, 2), route(service)];
        for change in &changes {
            snapshot.apply_change(Revision(1), change);
        }
    }
    snapshot.revision = Revision(1);
    let mark = report("3,000 resources", mark);
    let (domain, region) = ("domain-0".parse(), "region-0".parse());
    let mut traffic = Router::new(domain.expect("a name"), region.expect("a name"), 1);
    traffic.install(Arc::new(snapshot.clone()));
    traffic.apply_membership(Moment(1), records);
    report("routing state of the same", mark);
    report("all of it", start);
    let deltas: Vec<Delta> = (0..CHANGES)
        .map(|number| delta(&snapshot, version(0, 3 + number)))
        .collect();
    let began = Instant::now();
    for delta in &deltas {
        black_box(snapshot.apply_delta(delta).expect("a sound delta"));
    }
    report_time("a change with 3,000 resources held", began);
    let next = Arc::new(snapshot.apply_delta(&deltas[0]).expect("a sound delta"));
    let began = Instant::now();
    for _ in 0..CHANGES {
        traffic.install(next.clone());
    }
    report_time("its installation for requests", began);
    black_box((roster, traffic));
}
