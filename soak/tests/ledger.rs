//! Every check finds what it is there for, and lets pass what is allowed.

use {
    mulberryshelf_soak::ledger::{BadMove, Call, Closed, Disturbance, Kind, Ledger},
    mulberryshelf_standin::{Reply, Run},
    std::time::{Duration, Instant},
};

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// A request that was answered by `i-1` after 20 ms, and its run.
fn served(begin: Instant, kind: Kind) -> Ledger {
    let id = "a".to_string();
    let reply = Reply {
        body: "i-1 a".into(),
        id: Some(id.clone()),
        signed: true,
        status: 200,
        ..Reply::default()
    };
    let call = Call {
        body: String::new(),
        deadline: ms(2500),
        ended: begin + ms(20),
        id,
        kind,
        lifetime: 1,
        machine: 0,
        reply: Some(reply),
        sent: begin,
    };
    Ledger {
        calls: vec![call],
        runs: vec![run(begin, "a", "i-1")],
        ..Ledger::default()
    }
}

fn run(begin: Instant, id: &str, instance: &str) -> Run {
    Run {
        begun: begin + ms(5),
        body: String::new(),
        caller: None,
        finished: true,
        id: id.into(),
        instance: instance.into(),
        left_ms: 2000,
        target: "/status/7".into(),
    }
}

fn reply(ledger: &mut Ledger) -> &mut Reply {
    ledger.calls[0].reply.as_mut().unwrap()
}

/// Gives what is wrong once a served request was changed.
fn found(kind: Kind, change: impl Fn(&mut Ledger, Instant)) -> Vec<String> {
    let begin = Instant::now();
    let mut ledger = served(begin, kind);
    change(&mut ledger, begin);
    let violations = ledger.violations();
    violations.iter().map(ToString::to_string).collect()
}

#[test]
fn served_request_breaks_nothing() {
    for kind in [Kind::Once, Kind::Probe(1), Kind::Safe] {
        assert_eq!(found(kind, |_, _| {}), Vec::<String>::new());
    }
}

#[test]
fn request_that_ran_twice_is_found_if_it_may_not() {
    let twice = |ledger: &mut Ledger, begin| ledger.runs.push(run(begin, "a", "i-2"));
    assert_eq!(found(Kind::Once, twice), ["a Once status=200: ran 2 times"]);
    assert_eq!(found(Kind::Safe, twice), Vec::<String>::new());
}

#[test]
fn request_that_ran_with_another_body_is_found() {
    let change = |ledger: &mut Ledger, _| ledger.calls[0].body = "b".into();
    let text = "a Safe status=200: ran with another body";
    assert_eq!(found(Kind::Safe, change), [text]);
}

#[test]
fn refusal_that_is_not_true_is_found() {
    let refuse = |ledger: &mut Ledger, _| {
        *reply(ledger) = Reply {
            not_run: true,
            status: 503,
            ..Reply::default()
        };
    };
    let text = "a Safe status=503: told that it had not run, and it did";
    assert_eq!(found(Kind::Safe, refuse), [text]);
    let never = |ledger: &mut Ledger, begin| {
        refuse(ledger, begin);
        ledger.runs.clear();
    };
    assert_eq!(found(Kind::Safe, never), Vec::<String>::new());
}

#[test]
fn answer_of_another_request_is_found() {
    let other = |ledger: &mut Ledger, _| reply(ledger).id = Some("b".into());
    let text = "a Safe status=200: the answer is another request's";
    assert_eq!(found(Kind::Safe, other), [text]);
    let body = |ledger: &mut Ledger, _| reply(ledger).body = "i-1 b".into();
    let text = "a Safe status=200: the answer is not the endpoint's own";
    assert_eq!(found(Kind::Safe, body), [text]);
    let unsigned = |ledger: &mut Ledger, _| reply(ledger).signed = false;
    assert_eq!(found(Kind::Safe, unsigned), [text]);
}

#[test]
fn answer_without_a_run_is_found() {
    let unfinished = |ledger: &mut Ledger, _| ledger.runs[0].finished = false;
    let text = "a Once status=200: answered, and no run of it ended";
    assert_eq!(found(Kind::Once, unfinished), [text]);
}

#[test]
fn route_that_is_not_found_is_found_unless_it_was_just_stated() {
    let missing = |ledger: &mut Ledger, _| {
        ledger.runs.clear();
        reply(ledger).status = 404;
    };
    let text = "a Safe status=404: this answer was not to be expected";
    assert_eq!(found(Kind::Safe, missing), [text]);
    assert_eq!(found(Kind::Probe(1), missing), Vec::<String>::new());
}

#[test]
fn held_request_is_found_unless_its_node_stood_still() {
    let hold = |ledger: &mut Ledger, begin| ledger.calls[0].ended = begin + ms(5000);
    let text = "a Safe status=200: no answer after 5s";
    assert_eq!(found(Kind::Safe, hold), [text]);
    let paused = |machine| {
        move |ledger: &mut Ledger, begin| {
            hold(ledger, begin);
            ledger.disturbances.push(Disturbance {
                from: begin + ms(100),
                machine,
                until: begin + ms(200),
            });
        }
    };
    assert_eq!(found(Kind::Safe, paused(0)), Vec::<String>::new());
    assert_eq!(found(Kind::Safe, paused(1)), [text]);
}

#[test]
fn lost_answer_is_found_in_planned_work_only() {
    let lose = |planned, took| {
        move |ledger: &mut Ledger, begin| {
            ledger.planned = planned;
            ledger.calls[0].ended = begin + ms(took);
            *reply(ledger) = Reply::default();
        }
    };
    let text = "a Once status=0: lost in planned work, 100ms after it was sent";
    assert_eq!(found(Kind::Once, lose(true, 100)), [text]);
    assert_eq!(found(Kind::Once, lose(false, 100)), Vec::<String>::new());
    // A connection that ends before anybody has read the request is the platform's own race.
    let unread = |took| {
        move |ledger: &mut Ledger, begin| {
            lose(true, took)(ledger, begin);
            ledger.runs.clear();
        }
    };
    assert_eq!(found(Kind::Once, unread(100)), Vec::<String>::new());
    let text = "a Once status=0: lost in planned work, 300ms after it was sent";
    assert_eq!(found(Kind::Once, unread(300)), [text]);
}

#[test]
fn node_that_goes_back_is_found_within_its_lifetime() {
    let back = |lifetime, sent| {
        move |ledger: &mut Ledger, begin| {
            let later = served(begin + ms(sent), Kind::Probe(1));
            ledger.calls.extend(later.calls);
            ledger.calls[0].kind = Kind::Probe(2);
            ledger.calls[1].lifetime = lifetime;
            ledger.calls[1].reply.as_mut().unwrap().status = 404;
        }
    };
    assert_eq!(
        found(Kind::Safe, back(1, 100)),
        ["a: machine 0 went back from 2"]
    );
    assert_eq!(found(Kind::Safe, back(2, 100)), Vec::<String>::new());
    // Sent before the newer one was seen.
    assert_eq!(found(Kind::Safe, back(1, 10)), Vec::<String>::new());
}

#[test]
fn work_of_an_endpoint_that_left_is_found() {
    let close = |from| {
        move |ledger: &mut Ledger, begin: Instant| {
            ledger.closed.push(Closed {
                from: begin + ms(from),
                instance: "i-1".into(),
                until: begin + ms(50),
            });
        }
    };
    assert_eq!(
        found(Kind::Safe, close(0)),
        ["a: began at i-1, which had left"]
    );
    assert_eq!(found(Kind::Safe, close(10)), Vec::<String>::new());
}

#[test]
fn bad_version_that_gets_more_than_its_bound_is_found() {
    let play = |bad: usize, good: usize| {
        found(Kind::Safe, |ledger, begin| {
            let count = |number, instance: &str| vec![run(begin, "b", instance); number];
            ledger.runs = [count(bad, "i-1"), count(good, "i-2")].concat();
            ledger.runs.push(run(begin, "a", "i-2"));
            ledger.bad_moves.push(BadMove {
                from: begin,
                instances: vec!["i-1".into()],
                service: vec!["i-1".into(), "i-2".into()],
                until: begin + ms(1000),
            });
        })
    };
    assert_eq!(play(60, 39), Vec::<String>::new());
    assert_eq!(play(61, 38), ["a bad version got 61 of 100 runs"]);
}
