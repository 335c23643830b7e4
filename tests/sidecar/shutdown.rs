//! Tests of the decision when a stopping node exits.

use {
    mulberryshelf::{
        sidecar::shutdown::{Action, Activity, Periods, Shutdown},
        types::Moment,
    },
    std::time::Duration,
};

const PERIODS: Periods = Periods {
    accept: Duration::from_millis(2500),
    offer: Duration::from_millis(2500),
    grace: Duration::from_millis(5400),
};

const BUSY: Activity = Activity {
    busy: true,
    unconfirmed: 0,
};

fn idle(unconfirmed: usize) -> Activity {
    Activity {
        busy: false,
        unconfirmed,
    }
}

/// Steps a stop every 50 ms. Returns each action other than `Continue`, with its time in milliseconds.
fn play(activity: impl Fn(u64) -> Activity) -> Vec<(u64, Action)> {
    let began = Moment::default() + Duration::from_secs(100);
    let mut shutdown = Shutdown::new(began);
    let mut actions = Vec::new();
    for step in 1_u64.. {
        let elapsed_ms = step * 50;
        let now = began + Duration::from_millis(elapsed_ms);
        let action = shutdown.next(now, PERIODS, activity(elapsed_ms));
        if action != Action::Continue {
            actions.push((elapsed_ms, action));
        }
        if action == Action::Exit {
            return actions;
        }
    }
    unreachable!()
}

/// At a moment without requests a stopping node used to exit at the end of the period, while its peers still sent it
/// some.
#[test]
fn node_exits_once_all_peers_have_confirmed_the_withdrawal() {
    let actions = play(|elapsed_ms| idle(if elapsed_ms < 2700 { 3 } else { 0 }));
    assert_eq!(actions, [(2500, Action::Withdraw), (2700, Action::Exit)]);
}

#[test]
fn request_that_arrived_before_the_confirmation_is_finished() {
    let actions = play(|elapsed_ms| match elapsed_ms {
        2550..4000 => BUSY,
        _ => idle(0),
    });
    assert_eq!(actions, [(2500, Action::Withdraw), (4000, Action::Exit)]);
}

#[test]
fn unreachable_peer_delays_the_exit_by_a_second_at_most() {
    let actions = play(|_| idle(1));
    assert_eq!(actions, [(2500, Action::Withdraw), (3500, Action::Exit)]);
}

/// The response to the last request must reach its sender, however long it ran.
#[test]
fn second_begins_when_the_last_request_has_ended() {
    let actions = play(|elapsed_ms| match elapsed_ms {
        0..3800 => Activity {
            busy: true,
            unconfirmed: 1,
        },
        _ => idle(1),
    });
    assert_eq!(actions, [(2500, Action::Withdraw), (4750, Action::Exit)]);
}

#[test]
fn node_exits_at_the_end_of_the_grace_period_in_any_case() {
    let actions = play(|_| BUSY);
    assert_eq!(actions, [(2500, Action::Withdraw), (5400, Action::Exit)]);
}
