//! Takes the operator's orders from the store.

use crate::sidecar::{
    document::Order,
    history::Epoch,
    node::Core,
    rollout::{Phase, Reading, Rollout, RolloutState},
    store::RolloutRecord,
};

/// Takes an order that was read, with the records that were read with it. Returns the order if it is to be carried out.
pub(super) fn take(core: &Core, order: Order, records: &[RolloutRecord]) -> Option<Order> {
    let mut rollouts = core.rollouts.borrow_mut();
    let states = core.rollout_states.borrow();
    let state = states.get(&order.service);
    let held = rollouts.by_service.get(&order.service).map(Rollout::order);
    let published = state.map(|state| &state.order);
    // The rollout of an order that only peers know of is restored with its record.
    let published = published.filter(|published| published.mark != order.mark);
    let known: Vec<Order> = held.into_iter().chain(published).cloned().collect();
    let read_at = order.mark;
    let (order, outcome) = match rollouts.orders.identify(order, &known, records) {
        Reading::New(order) => (order, "taken"),
        Reading::Repeated(order) => (order, "repeated"),
        Reading::Known => return None,
    };
    let now = core.now();
    core.log.record(
        now,
        "order",
        format_args!(
            "outcome={outcome} service={} to={} duration_ms={} order={} position={read_at}",
            order.service,
            order.to,
            order.duration.as_millis(),
            order.mark
        ),
    );
    let held = rollouts.by_service.get(&order.service).map(Rollout::order);
    if held.is_some_and(|held| held.mark == order.mark) {
        return None;
    }
    let rollout = match state {
        Some(state) if state.order.mark == order.mark => Rollout::from_state(now, state),
        _ => Rollout::new(now, order.clone()),
    };
    rollouts.by_service.insert(order.service.clone(), rollout);
    Some(order)
}

/// Restores the state of a rollout from its record after a full read of the store in the given epoch, so that no request is
/// routed by the document alone.
pub(super) fn restore_rollout(
    core: &Core,
    order: Order,
    records: &[RolloutRecord],
    epoch: Option<Epoch>,
) {
    let recorded =
        |record: &&RolloutRecord| record.service == order.service && record.mark == order.mark;
    let record = records.iter().find(recorded);
    if let Some(record) = record {
        let mut rollouts = core.rollouts.borrow_mut();
        rollouts.apply_record(core.now(), record, epoch);
    }
    let phase = record.map_or(Phase::Running, |record| record.phase);
    core.install_state(RolloutState::without_leader(order, phase));
}
