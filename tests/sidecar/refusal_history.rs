use {
    mulberryshelf::{
        sidecar::refusal_history::RefusalHistory, traffic::quarantine::Fingerprint, types::Moment,
    },
    std::time::Duration,
};

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Duration::from_millis(millis)
}

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::new("desk", "POST", "/reserve/7", body.as_bytes())
}

fn refused() -> RefusalHistory {
    let mut returns = RefusalHistory::default();
    let after = Duration::from_millis(400);
    returns.record(at(0), fingerprint("slot 7"), at(2_000), after);
    returns
}

#[test]
fn caller_that_waited_its_retry_time_is_recognised() {
    let returns = refused();
    let refused_at = returns.refused_at(at(410), fingerprint("slot 7"), at(2_006));
    assert_eq!(refused_at, Some(at(0)));
}

#[test]
fn caller_that_returns_too_early_is_not_recognised() {
    let returns = refused();
    assert_eq!(
        returns.refused_at(at(20), fingerprint("slot 7"), at(2_000)),
        None
    );
}

/// Retry times differ between callers, so a shorter remaining time alone does not identify a returning caller.
#[test]
fn other_callers_and_other_requests_are_not_recognised() {
    let returns = refused();
    assert_eq!(
        returns.refused_at(at(410), fingerprint("slot 7"), at(2_300)),
        None
    );
    assert_eq!(
        returns.refused_at(at(410), fingerprint("slot 8"), at(2_000)),
        None
    );
}

#[test]
fn oldest_refusals_are_evicted_first() {
    let mut returns = refused();
    for number in 0..5000 {
        let request = fingerprint(&format!("slot {number} and more"));
        returns.record(at(1), request, at(2_000), Duration::ZERO);
    }
    assert_eq!(
        returns.refused_at(at(410), fingerprint("slot 7"), at(2_000)),
        None
    );
    let newest = fingerprint("slot 4999 and more");
    assert_eq!(returns.refused_at(at(410), newest, at(2_000)), Some(at(1)));
}
