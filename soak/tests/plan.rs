use {
    mulberryshelf_soak::plan::{Fault, Plan},
    std::time::Duration,
};

const RUN_LENGTH: Duration = Duration::from_secs(20);

#[test]
fn plan_depends_on_its_seed() {
    assert_eq!(Plan::draw(7, RUN_LENGTH, 9), Plan::draw(7, RUN_LENGTH, 9));
    assert_ne!(Plan::draw(7, RUN_LENGTH, 9), Plan::draw(8, RUN_LENGTH, 9));
}

#[test]
fn planned_plan_has_no_fault_that_may_cost_a_response() {
    let plan = Plan::draw(9, RUN_LENGTH, 9);
    assert!(plan.planned);
    for step in plan.steps {
        assert!(
            matches!(
                step.fault,
                Fault::Configure
                    | Fault::Drain(_)
                    | Fault::Misreport(..)
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

/// Every kind of fault occurs within 100 seeds, and names an existing machine.
#[test]
fn plans_cover_all_faults() {
    let mut names = std::collections::BTreeSet::new();
    for seed in 0..100 {
        for step in Plan::draw(seed, RUN_LENGTH, 9).steps {
            let text = step.fault.to_string();
            names.insert(text.split(['(', ' ']).next().unwrap().to_string());
            if let Fault::Kill(index, _) | Fault::Restart(index) | Fault::Drain(index) = step.fault
            {
                assert!(index < 9);
            }
        }
    }
    let all = [
        "BackUp",
        "Configure",
        "Crash",
        "CrashDomain",
        "Drain",
        "Hoard",
        "Kill",
        "KillAll",
        "Leave",
        "Link",
        "Misbehave",
        "Misreport",
        "Move",
        "Pause",
        "Reload",
        "Reset",
        "Restart",
        "RestartAll",
        "Restore",
        "Slow",
        "Store",
    ];
    assert_eq!(names.iter().map(String::as_str).collect::<Vec<_>>(), all);
}
