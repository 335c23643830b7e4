//! Each check of the ledger reports the violation that it is for, and accepts what is allowed.

use {
    mulberryshelf_soak::ledger::{BadMove, Call, Closed, Disturbance, Kind, Ledger},
    mulberryshelf_standin::{Reply, Run},
    std::time::{Duration, Instant},
};

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Returns a ledger with one request, which `i-1` responded to after 20 ms, and its run.
fn served_ledger(begin: Instant, kind: Kind) -> Ledger {
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
        account: None,
        begun: begin + ms(5),
        body: String::new(),
        caller: None,
        has_credentials: false,
        finished: true,
        id: id.into(),
        instance: instance.into(),
        left_ms: 2000,
        service: "desk".into(),
        target: "/status/7".into(),
    }
}

fn reply(ledger: &mut Ledger) -> &mut Reply {
    ledger.calls[0].reply.as_mut().unwrap()
}

/// Returns the violations in the ledger of a served request after `change`.
fn violations_after(kind: Kind, change: impl Fn(&mut Ledger, Instant)) -> Vec<String> {
    let begin = Instant::now();
    let mut ledger = served_ledger(begin, kind);
    change(&mut ledger, begin);
    let violations = ledger.violations();
    violations.iter().map(ToString::to_string).collect()
}

#[test]
fn served_request_has_no_violations() {
    for kind in [Kind::Once, Kind::Probe(1), Kind::Safe] {
        assert_eq!(violations_after(kind, |_, _| {}), Vec::<String>::new());
    }
}

#[test]
fn second_run_is_reported_unless_the_request_is_safe() {
    let twice = |ledger: &mut Ledger, begin| ledger.runs.push(run(begin, "a", "i-2"));
    assert_eq!(
        violations_after(Kind::Once, twice),
        ["a Once status=200: ran 2 times"]
    );
    assert_eq!(violations_after(Kind::Safe, twice), Vec::<String>::new());
}

#[test]
fn run_with_another_body_is_reported() {
    let change = |ledger: &mut Ledger, _| ledger.calls[0].body = "b".into();
    let text = "a Safe status=200: ran with another body";
    assert_eq!(violations_after(Kind::Safe, change), [text]);
}

#[test]
fn run_at_an_endpoint_of_another_service_is_reported() {
    let change = |ledger: &mut Ledger, _| ledger.runs[0].service = "hub".into();
    let text = "a Safe status=200: ran at i-1 of hub";
    assert_eq!(violations_after(Kind::Safe, change), [text]);
}

#[test]
fn false_statement_that_a_request_has_not_run_is_reported() {
    let claim_not_run = |ledger: &mut Ledger, _| {
        *reply(ledger) = Reply {
            not_run: true,
            status: 503,
            ..Reply::default()
        };
    };
    let text = "a Safe status=503: the response states that the request has not run, but it ran";
    assert_eq!(violations_after(Kind::Safe, claim_not_run), [text]);
    let never = |ledger: &mut Ledger, begin| {
        claim_not_run(ledger, begin);
        ledger.runs.clear();
    };
    assert_eq!(violations_after(Kind::Safe, never), Vec::<String>::new());
}

#[test]
fn response_to_another_request_is_reported() {
    let other = |ledger: &mut Ledger, _| reply(ledger).id = Some("b".into());
    let text = "a Safe status=200: the response names another request";
    assert_eq!(violations_after(Kind::Safe, other), [text]);
    let body = |ledger: &mut Ledger, _| reply(ledger).body = "i-1 b".into();
    let text = "a Safe status=200: the response is unsigned or was made for another request";
    assert_eq!(violations_after(Kind::Safe, body), [text]);
    let unsigned = |ledger: &mut Ledger, _| reply(ledger).signed = false;
    assert_eq!(violations_after(Kind::Safe, unsigned), [text]);
}

#[test]
fn success_without_a_finished_run_is_reported() {
    let unfinished = |ledger: &mut Ledger, _| ledger.runs[0].finished = false;
    let text = "a Once status=200: responded to without a finished run";
    assert_eq!(violations_after(Kind::Once, unfinished), [text]);
}

#[test]
fn missing_route_is_reported_except_for_probes() {
    let missing = |ledger: &mut Ledger, _| {
        ledger.runs.clear();
        reply(ledger).status = 404;
    };
    let text = "a Safe status=404: unexpected status";
    assert_eq!(violations_after(Kind::Safe, missing), [text]);
    assert_eq!(
        violations_after(Kind::Probe(1), missing),
        Vec::<String>::new()
    );
}

#[test]
fn late_response_is_reported_unless_its_node_was_disturbed() {
    let delay = |ledger: &mut Ledger, begin| ledger.calls[0].ended = begin + ms(5000);
    let text = "a Safe status=200: no response in time: the call took 5s";
    assert_eq!(violations_after(Kind::Safe, delay), [text]);
    let paused = |machine| {
        move |ledger: &mut Ledger, begin| {
            delay(ledger, begin);
            ledger.disturbances.push(Disturbance {
                from: begin + ms(100),
                machine,
                until: begin + ms(200),
            });
        }
    };
    assert_eq!(
        violations_after(Kind::Safe, paused(0)),
        Vec::<String>::new()
    );
    assert_eq!(violations_after(Kind::Safe, paused(1)), [text]);
}

#[test]
fn lost_request_is_reported_during_planned_work_only() {
    let lose = |planned, took| {
        move |ledger: &mut Ledger, begin| {
            ledger.planned = planned;
            ledger.calls[0].ended = begin + ms(took);
            *reply(ledger) = Reply::default();
        }
    };
    let text = "a Once status=0: lost in planned work, 100ms after it was sent";
    assert_eq!(violations_after(Kind::Once, lose(true, 100)), [text]);
    assert_eq!(
        violations_after(Kind::Once, lose(false, 100)),
        Vec::<String>::new()
    );
    // The platform accepts that a connection ends before the node has read the request.
    let unread = |took| {
        move |ledger: &mut Ledger, begin| {
            lose(true, took)(ledger, begin);
            ledger.runs.clear();
        }
    };
    assert_eq!(
        violations_after(Kind::Once, unread(100)),
        Vec::<String>::new()
    );
    let text = "a Once status=0: lost in planned work, 300ms after it was sent";
    assert_eq!(violations_after(Kind::Once, unread(300)), [text]);
}

#[test]
fn older_configuration_is_reported_unless_the_node_restarted() {
    let regress = |lifetime, sent| {
        move |ledger: &mut Ledger, begin| {
            let later = served_ledger(begin + ms(sent), Kind::Probe(1));
            ledger.calls.extend(later.calls);
            ledger.calls[0].kind = Kind::Probe(2);
            ledger.calls[1].lifetime = lifetime;
            ledger.calls[1].reply.as_mut().unwrap().status = 404;
        }
    };
    assert_eq!(
        violations_after(Kind::Safe, regress(1, 100)),
        ["a: machine 0 returned to a configuration before 2"]
    );
    assert_eq!(
        violations_after(Kind::Safe, regress(2, 100)),
        Vec::<String>::new()
    );
    // The request was sent before the newer configuration was observed.
    assert_eq!(
        violations_after(Kind::Safe, regress(1, 10)),
        Vec::<String>::new()
    );
}

#[test]
fn run_of_an_endpoint_that_left_is_reported() {
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
        violations_after(Kind::Safe, close(0)),
        ["a: run began on i-1 after it had left"]
    );
    assert_eq!(
        violations_after(Kind::Safe, close(10)),
        Vec::<String>::new()
    );
}

#[test]
fn excess_runs_of_a_bad_version_are_reported() {
    let violations = |bad: usize, good: usize| {
        violations_after(Kind::Safe, |ledger, begin| {
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
    assert_eq!(violations(60, 39), Vec::<String>::new());
    assert_eq!(violations(61, 38), ["a bad version got 61 of 100 runs"]);
}

#[test]
fn route_that_is_missing_at_a_machine_in_touch_is_reported_after_the_apply_time() {
    let missing = |accepted_ago, out_of_touch: Option<usize>| {
        move |ledger: &mut Ledger, begin: Instant| {
            reply(ledger).status = 404;
            ledger.runs.clear();
            let sent = begin + ms(accepted_ago);
            ledger.accepted.insert(1, begin);
            ledger.calls[0].sent = sent;
            ledger.calls[0].ended = sent + ms(20);
            ledger
                .out_of_touch
                .extend(out_of_touch.map(|machine| Disturbance {
                    from: begin,
                    machine,
                    until: sent + ms(10),
                }));
        }
    };
    let text = "a Probe(1) status=404: not in force at machine 0 2.5s after it was accepted";
    let reported =
        |accepted_ago, machine| violations_after(Kind::Probe(1), missing(accepted_ago, machine));
    assert_eq!(reported(2_500, None), [text]);
    assert_eq!(reported(2_500, Some(1)), [text]);
    assert_eq!(reported(2_500, Some(0)), Vec::<String>::new());
    assert_eq!(reported(1_500, None), Vec::<String>::new());
}
