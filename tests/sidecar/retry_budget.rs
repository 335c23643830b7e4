use {
    mulberryshelf::{
        sidecar::retry_budget::{Allowance, RetryBudget},
        types::{Moment, Service},
    },
    std::time::Duration,
};

const ALLOWANCE: Allowance = Allowance {
    extra: 60.0,
    ratio: 0.2,
    window: Duration::from_secs(10),
};

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Duration::from_millis(millis)
}

fn desk() -> Service {
    "desk".parse().unwrap()
}

/// All requests of eleven nodes fail for 30 seconds. The sum of their retries in any window must stay within the
/// shared allowance.
#[test]
fn all_nodes_together_keep_the_shared_allowance() {
    let mut nodes: Vec<RetryBudget> = (0..11).map(|_| RetryBudget::new(ALLOWANCE)).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for millis in 0..30_000 {
        let node = &mut nodes[usize::try_from(millis % 11).unwrap()];
        if millis % 3 == 0 {
            requests.push(millis);
            node.deposit(at(millis), &desk());
        }
        if node.try_withdraw(at(millis), &desk(), 11) {
            retries.push(millis);
        }
    }
    let count_in_window = |times: &[u64], end: u64| {
        let start = end.saturating_sub(10_000);
        times.iter().filter(|at| (start..end).contains(at)).count()
    };
    for end in (1_000..30_000).step_by(500) {
        #[expect(clippy::cast_precision_loss)]
        let allowed = 0.2 * count_in_window(&requests, end) as f64 + 60.0;
        #[expect(clippy::cast_precision_loss)]
        let made = count_in_window(&retries, end) as f64;
        assert!(made <= allowed, "{made} of {allowed} at {end}");
    }
    assert!(!retries.is_empty());
}

#[test]
fn services_do_not_share_their_allowance() {
    let hub: Service = "hub".parse().unwrap();
    let mut retries = RetryBudget::new(ALLOWANCE);
    while retries.try_withdraw(at(0), &desk(), 1) {}
    assert!(retries.try_withdraw(at(0), &hub, 1));
}
