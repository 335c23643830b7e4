use {
    mulberryshelf::{
        refusal::Reason,
        sidecar::queue::{Action, Demand, Queue},
        traffic::admission::Ticket,
        types::Moment,
    },
    proptest::prelude::*,
    std::{collections::BTreeSet, time::Duration},
};

const ROUTE: u64 = 1;

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Duration::from_millis(millis)
}

fn demand(now: u64, priority: u32, target: u64, deadline: u64) -> Demand {
    Demand {
        account: None,
        deadline: at(now + deadline),
        priority,
        returned: false,
        route: ROUTE,
        target: at(now + target),
    }
}

/// Returns a queue with a request running in each slot. No run time is measured yet, so 100 ms is assumed.
fn full_queue(slots: u32) -> Queue {
    let mut queue = Queue::default();
    queue.set_slots(slots);
    for number in 0..u64::from(slots) {
        let ticket = Ticket(1000 + number);
        let started = queue.arrive(at(0), ticket, demand(0, 0, 500, 1000));
        assert_eq!(started, [Action::Start(ticket)]);
    }
    queue
}

#[test]
fn more_urgent_requests_go_first_and_earlier_ones_among_them() {
    let mut queue = full_queue(1);
    for (ticket, priority, target) in [(1, 2, 400), (2, 1, 900), (3, 1, 600), (4, 0, 950)] {
        let waits = queue.arrive(at(1), Ticket(ticket), demand(1, priority, target, 2000));
        assert_eq!(waits, []);
    }
    let mut order = Vec::new();
    let mut running = Ticket(1000);
    for _ in 0..4 {
        let actions = queue.finish(at(10), running, ROUTE, true);
        let [Action::Start(next)] = actions[..] else {
            panic!("{actions:?}");
        };
        order.push(next.0);
        running = next;
    }
    assert_eq!(order, [4, 2, 3, 1]);
}

#[test]
fn request_that_would_be_late_is_turned_away_at_once_with_the_time_of_room() {
    let mut queue = full_queue(1);
    let mut outcomes = Vec::new();
    for ticket in 1..=6 {
        outcomes.push(queue.arrive(at(1), Ticket(ticket), demand(1, 1, 450, 2000)));
    }
    insta::assert_debug_snapshot!(outcomes);
}

#[test]
fn returned_request_waits_longer_than_a_new_one() {
    let mut queue = full_queue(1);
    for ticket in 1..=3 {
        let waits = queue.arrive(at(1), Ticket(ticket), demand(1, 1, 450, 2000));
        assert_eq!(waits, []);
    }
    let first = queue.arrive(at(1), Ticket(8), demand(1, 1, 451, 1000));
    assert!(matches!(
        first[..],
        [Action::Decline(_, Reason::Overloaded, _)]
    ));
    let returned = Demand {
        returned: true,
        ..demand(1, 1, 0, 1000)
    };
    assert_eq!(queue.arrive(at(1), Ticket(9), returned), []);
}

#[test]
fn request_that_will_miss_its_target_is_not_held_until_its_deadline() {
    let mut queue = full_queue(1);
    queue.finish(at(100), Ticket(1000), ROUTE, true);
    queue.arrive(at(100), Ticket(1), demand(100, 0, 900, 1000));
    queue.arrive(at(100), Ticket(2), demand(100, 1, 300, 400));
    let actions = queue.tick(at(420));
    assert!(matches!(
        actions[..],
        [Action::Decline(Ticket(2), Reason::Deadline, _)]
    ));
}

/// If it were served late, it would take a slot from a request that can still be on time; if declined, its caller may
/// return.
#[test]
fn overtaken_request_that_misses_its_target_is_declined() {
    let mut queue = full_queue(1);
    queue.finish(at(100), Ticket(1000), ROUTE, true);
    queue.arrive(at(100), Ticket(1), demand(100, 0, 900, 1000));
    queue.arrive(at(100), Ticket(2), demand(100, 1, 500, 2000));
    let returned = Demand {
        returned: true,
        ..demand(100, 1, 500, 2000)
    };
    queue.arrive(at(100), Ticket(3), returned);
    let actions = queue.tick(at(520));
    assert!(matches!(
        actions[..],
        [Action::Decline(Ticket(2), Reason::Deadline, _)]
    ));
}

#[test]
fn closed_queue_declines_all_waiting_requests() {
    let mut queue = full_queue(1);
    queue.arrive(at(1), Ticket(1), demand(1, 1, 450, 2000));
    let actions = queue.decline_waiting(Reason::Leaving);
    assert!(matches!(
        actions[..],
        [Action::Decline(Ticket(1), Reason::Leaving, _)]
    ));
    assert_eq!(queue.load(at(1)).running, 1);
}

/// Offers three times the capacity for ten seconds, half of it urgent. Only requests that can still be on time may
/// run, and the urgent half must be served before the other.
#[test]
fn overload_runs_requests_that_can_be_on_time_and_urgent_ones_first() {
    let mut queue = Queue::default();
    queue.set_slots(4);
    let run = 100;
    let mut running: Vec<(u64, Ticket)> = Vec::new();
    let mut in_time = [0_u32; 2];
    let mut late = 0;
    let mut arrived = [0_u32; 2];
    let mut targets = std::collections::HashMap::new();
    let start = |now: u64, actions: Vec<Action>, running: &mut Vec<(u64, Ticket)>| {
        for action in actions {
            if let Action::Start(ticket) = action {
                running.push((now + run, ticket));
            }
        }
    };
    for now in 0..10_000_u64 {
        let ended: Vec<Ticket> = running
            .extract_if(.., |(end, _)| *end <= now)
            .map(|(_, ticket)| ticket)
            .collect();
        for ticket in ended {
            let (priority, target): (usize, u64) = targets[&ticket];
            if now <= target {
                in_time[priority] += 1;
            } else {
                late += 1;
            }
            let actions = queue.finish(at(now), ticket, ROUTE, true);
            start(now, actions, &mut running);
        }
        // The capacity is 40 requests per second; 120 arrive.
        if now % 25 < 3 {
            let ticket = Ticket(now);
            let priority = now % 2;
            arrived[usize::try_from(priority).unwrap()] += 1;
            targets.insert(ticket, (usize::try_from(priority).unwrap(), now + 400));
            let request = demand(now, u32::try_from(priority).unwrap(), 400, 1500);
            let actions = queue.arrive(at(now), ticket, request);
            start(now, actions, &mut running);
        }
    }
    let served: u32 = in_time.iter().sum();
    // At least nine tenths of the capacity must be answered on time, however many requests arrive beyond it.
    assert!(served >= 360, "{in_time:?} in time, {late} late");
    assert!(late * 20 <= served, "{in_time:?} in time, {late} late");
    let on_time_fraction =
        |priority: usize| f64::from(in_time[priority]) / f64::from(arrived[priority]);
    assert!(
        on_time_fraction(0) >= on_time_fraction(1) + 0.3,
        "{in_time:?} of {arrived:?}"
    );
}

proptest! {
    #[test]
    fn running_requests_never_exceed_slots(
        slots in 1..6_u32,
        steps in prop::collection::vec((0..4_u8, 0..3_u32, 1..800_u64), 1..200),
    ) {
        let mut queue = Queue::default();
        queue.set_slots(slots);
        let mut running = BTreeSet::new();
        let mut waiting = BTreeSet::new();
        let mut now = 0;
        for (number, (kind, priority, span)) in steps.into_iter().enumerate() {
            now += span / 20;
            let ticket = Ticket(number as u64);
            let actions = match kind {
                0 | 1 => {
                    waiting.insert(ticket);
                    queue.arrive(at(now), ticket, demand(now, priority, span, span * 2))
                }
                2 => match running.pop_first() {
                    Some(ended) => queue.finish(at(now), ended, ROUTE, true),
                    None => queue.tick(at(now)),
                },
                _ => queue.tick(at(now)),
            };
            for action in actions {
                match action {
                    Action::Start(ticket) => {
                        prop_assert!(waiting.remove(&ticket));
                        running.insert(ticket);
                    }
                    Action::Decline(ticket, ..) => prop_assert!(waiting.remove(&ticket)),
                }
            }
            prop_assert!(running.len() <= slots as usize);
            prop_assert_eq!(queue.load(at(now)).running as usize, running.len());
            prop_assert_eq!(queue.load(at(now)).queued as usize, waiting.len());
        }
    }
}
