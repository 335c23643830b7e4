use {
    mulberryshelf::{
        sidecar::{
            Announcement,
            load_balancer::Offer,
            renewal::{ANNOUNCEMENT_DELAY_MAX, Arrival, Next, Ports, Renewal},
        },
        types::Moment,
    },
    std::{collections::HashSet, time::Duration},
};

const HEARTBEAT: Duration = Duration::from_millis(1500);
/// A time of day, in microseconds.
const START: Moment = Moment(1_800_000_000_000_000);

fn announcement(age_at_start: Duration) -> Announcement {
    let started = Duration::from_micros(START.0).saturating_sub(age_at_start);
    Announcement {
        draining: false,
        incarnation: u64::try_from(started.as_millis()).unwrap(),
        instance: "i-1".into(),
        offer: Offer {
            cold: Duration::ZERO,
            cold_rate: 0,
            service: "desk".parse().unwrap(),
            slots: 4,
            version: "v1".parse().unwrap(),
        },
        sequence: 1,
    }
}

/// An announcement to the address of an earlier process could arrive late at that of the next one.
#[test]
fn successive_processes_have_different_ports_while_an_announcement_may_be_late() {
    let ports = Ports {
        first: 7380,
        last: 7395,
    };
    let mut seen = HashSet::new();
    let mut started_at = START;
    while started_at.since(START) < ANNOUNCEMENT_DELAY_MAX + HEARTBEAT {
        let port = ports.choose(started_at, HEARTBEAT, &[7380]).unwrap();
        assert!((7381..=7395).contains(&port));
        assert!(seen.insert(port), "{port}");
        started_at = started_at + HEARTBEAT;
    }
    let taken: Vec<u16> = (7380..=7395).collect();
    assert_eq!(ports.choose(START, HEARTBEAT, &taken), None);
}

#[test]
fn announcement_of_a_start_before_the_process_is_not_trusted_until_it_cannot_be_late() {
    let renewal = Renewal::new(START);
    let old = announcement(Duration::from_secs(60));
    let outdated = |after, arrival| {
        renewal.may_be_outdated(START + Duration::from_millis(after), &old, arrival)
    };
    assert!(outdated(100, Arrival::Control));
    assert!(outdated(14_999, Arrival::Control));
    assert!(!outdated(15_000, Arrival::Control));
    assert!(!outdated(100, Arrival::Renewal));
    let leaving = Announcement {
        draining: true,
        ..old.clone()
    };
    assert!(!renewal.may_be_outdated(START, &leaving, Arrival::Control));
    let new = announcement(Duration::from_millis(900));
    assert!(!renewal.may_be_outdated(START, &new, Arrival::Control));
    renewal.settle();
    assert!(!renewal.may_be_outdated(START, &old, Arrival::Control));
}

#[test]
fn upstream_is_sent_to_the_renewal_address_and_back() {
    let renewal = Renewal::new(START);
    assert_eq!(renewal.next(Arrival::Control, true), Next::Unchanged);
    let address = "127.0.0.1:7381".parse().unwrap();
    renewal.set_address(Some(address));
    assert_eq!(renewal.next(Arrival::Control, true), Next::Renewal(address));
    assert_eq!(renewal.next(Arrival::Control, false), Next::Unchanged);
    assert_eq!(renewal.next(Arrival::Renewal, false), Next::Control);
}
