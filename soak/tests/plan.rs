use {
    mulberryshelf_soak::plan::{Fault, Plan},
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(20);

#[test]
fn plan_is_the_same_for_the_same_seed_only() {
    assert_eq!(Plan::draw(7, LENGTH, 9), Plan::draw(7, LENGTH, 9));
    assert_ne!(Plan::draw(7, LENGTH, 9), Plan::draw(8, LENGTH, 9));
}

#[test]
fn planned_plan_has_nothing_that_may_cost_an_answer() {
    let plan = Plan::draw(9, LENGTH, 9);
    assert!(plan.planned);
    for step in plan.steps {
        assert!(
            matches!(
                step.fault,
                Fault::Configure
                    | Fault::Drain(_)
                    | Fault::Move { good: true }
                    | Fault::Reload(_)
                    | Fault::Restart(_)
                    | Fault::RestartAll(_)
            ),
            "{}",
            step.fault
        );
    }
}

/// Every fault comes within a hundred seeds, and names a machine that is there.
#[test]
fn plans_draw_from_all_faults() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..100 {
        for step in Plan::draw(seed, LENGTH, 9).steps {
            let text = step.fault.to_string();
            kinds.insert(text.split(['(', ' ']).next().unwrap().to_string());
            if let Fault::Kill(place, _) | Fault::Restart(place) | Fault::Drain(place) = step.fault
            {
                assert!(place < 9);
            }
        }
    }
    let all = [
        "Configure",
        "Crash",
        "Drain",
        "Kill",
        "KillAll",
        "Link",
        "Misbehave",
        "Move",
        "Pause",
        "Reload",
        "Reset",
        "Restart",
        "RestartAll",
        "Slow",
        "Store",
    ];
    assert_eq!(kinds.iter().map(String::as_str).collect::<Vec<_>>(), all);
}
