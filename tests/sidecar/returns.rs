use {
    mulberryshelf::{sidecar::returns::Returns, traffic::quarantine::Fingerprint, world::Moment},
    std::time::Duration,
};

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Duration::from_millis(millis)
}

fn request(body: &str) -> Fingerprint {
    Fingerprint::new("desk", "POST", "/reserve/7", body.as_bytes())
}

fn refused() -> Returns {
    let mut returns = Returns::default();
    let after = Duration::from_millis(400);
    returns.refuse(at(0), request("slot 7"), at(2_000), after);
    returns
}

#[test]
fn caller_that_waited_as_told_is_known() {
    let returns = refused();
    let known = returns.returned(at(410), request("slot 7"), at(2_006));
    assert_eq!(known, Some(at(0)));
}

#[test]
fn caller_that_comes_back_at_once_gains_nothing() {
    let returns = refused();
    assert_eq!(returns.returned(at(20), request("slot 7"), at(2_000)), None);
}

/// Callers' times to wait differ, so that less time left alone says nothing.
#[test]
fn another_caller_or_another_request_is_not_taken_for_it() {
    let returns = refused();
    assert_eq!(
        returns.returned(at(410), request("slot 7"), at(2_300)),
        None
    );
    assert_eq!(
        returns.returned(at(410), request("slot 8"), at(2_000)),
        None
    );
}

#[test]
fn refusals_are_forgotten_oldest_first() {
    let mut returns = refused();
    for number in 0..5000 {
        let fingerprint = request(&format!("slot {number} and more"));
        returns.refuse(at(1), fingerprint, at(2_000), Duration::ZERO);
    }
    assert_eq!(
        returns.returned(at(410), request("slot 7"), at(2_000)),
        None
    );
    let newest = request("slot 4999 and more");
    assert_eq!(returns.returned(at(410), newest, at(2_000)), Some(at(1)));
}
