use {
    mulberryshelf::{
        sidecar::{
            pace::{Estimate, Pace},
            queue::{Action, Demand, Queue},
        },
        traffic::admission::Ticket,
        types::Moment,
    },
    std::time::Duration,
};

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Duration::from_millis(millis)
}

fn pace(percent: u16) -> Pace {
    Pace::parse(&format!("0,0,4,{percent}")).unwrap()
}

/// An upstream that reports no valid pace must be treated as one of the usual pace.
#[test]
fn only_the_fourth_figure_from_1_to_10000_is_a_pace() {
    for (load, percent) in [
        ("3,0,4,250", 250),
        ("3, 0, 4, 80", 80),
        ("0,0,0,10000", 10_000),
    ] {
        assert_eq!(
            Pace::parse(load).map(Pace::percent),
            Some(percent),
            "{load}"
        );
    }
    for load in [
        "",
        "3,0,4",
        "3,0,4,",
        "3,0,4,0",
        "3,0,4,10001",
        "3,0,4,+250",
        "3,0,4,-1",
        "3,0,4,2.5",
        "3,0,4,x",
    ] {
        assert_eq!(Pace::parse(load), None, "{load}");
    }
}

/// A pace that is not renewed must not keep requests away from an upstream for longer than other work lasts.
#[test]
fn pace_fades_to_usual_within_600_ms_in_both_directions() {
    for (reported, half) in [(250, 175), (50, 75)] {
        let mut estimate = Estimate::default();
        assert_eq!(estimate.at(at(0)), None);
        estimate.record(at(0), pace(reported));
        let percent = |millis| estimate.at(at(millis)).unwrap().percent();
        assert_eq!([0, 300, 600, 5000].map(percent), [reported, half, 100, 100]);
    }
}

/// Guards against an average that takes the slow period of a host for the speed of its upstream: it would keep requests
/// away long after that period.
#[test]
fn run_times_are_averaged_at_the_usual_pace_and_expected_at_the_present_one() {
    let demand = |now, target| Demand {
        account: None,
        deadline: at(now + 5000),
        priority: 1,
        returned: false,
        route: 1,
        target: at(now + target),
    };
    let mut queue = Queue::default();
    queue.set_slots(1);
    for (number, percent, run_time) in [(0, 100, 100), (1, 250, 250), (2, 50, 50)] {
        let started = 1000 * number;
        queue.arrive(at(started), Ticket(number), demand(started, 4000));
        queue.record_pace(at(started + run_time), pace(percent));
        queue.finish(at(started + run_time), Ticket(number), 1, true);
        let load = queue.load(at(started + run_time));
        assert_eq!(load.run_time, Duration::from_millis(100), "{percent}");
        assert_eq!(load.pace, Some(pace(percent)));
    }
    // Two runs of 100 ms at the usual pace end within 300 ms, at a pace of 250 they don't.
    queue.arrive(at(9000), Ticket(9), demand(9000, 4000));
    assert_eq!(queue.arrive(at(9000), Ticket(10), demand(9000, 300)), []);
    queue.cancel(Ticket(10));
    queue.record_pace(at(9000), pace(250));
    let declined = queue.arrive(at(9000), Ticket(11), demand(9000, 300));
    assert!(
        matches!(declined[..], [Action::Decline(..)]),
        "{declined:?}"
    );
}
