//! Tells which orders that are read from the store are to be carried out.
//!
//! An order is identified by its position in the store's history. A store that comes back from an older copy may have lost
//! the order of a rollout, or have an earlier one in its place; the operator then writes the lost one again. Neither is a
//! new order, though its position is. See docs/design/platform.md.

use {
    crate::{
        sidecar::{document::Order, history::Position, store::RolloutRecord},
        types::Service,
    },
    std::collections::{HashMap, VecDeque},
};

/// Maximum number of replaced orders that are remembered.
const REPLACED_MAX: usize = 32;

/// What an order that was read means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reading {
    /// It is known, or an earlier one than the known one.
    Known,
    /// It is this known one, which the operator has written again after a restore.
    Repeated(Order),
    /// It is to be carried out. Its position may be one of an earlier epoch, in which it was recorded.
    New(Order),
}

/// Orders that were read, beyond the last one for each service.
#[derive(Debug, Default)]
pub struct Orders {
    /// Position at which the known order of a service was written again.
    repeated: HashMap<Service, Position>,
    /// Position of the order of a service that was taken when no earlier one was known. It may repeat one that only other
    /// nodes know.
    unconfirmed: HashMap<Service, Position>,
    /// Orders in whose place later ones were carried out, oldest first.
    replaced: VecDeque<Order>,
}

impl Orders {
    /// Returns what an order means. `known` are the last known orders for its service, of which this node and its peers may
    /// have different ones, and `records` are those that were read with it.
    pub fn identify(
        &mut self,
        mut order: Order,
        known: &[Order],
        records: &[RolloutRecord],
    ) -> Reading {
        let record = records
            .iter()
            .find(|record| record.service == order.service);
        if let Some(mark) = self.earlier_mark(&order, known, record) {
            order.mark = mark;
        }
        if known.iter().any(|known| known.mark >= order.mark) {
            return Reading::Known;
        }
        let mut earlier = known.iter().rev();
        let earlier = earlier
            .find(|known| order.has_contents_of(known) && known.mark.epoch < order.mark.epoch);
        if let Some(earlier) = earlier {
            let repeated = self.repeated.get(&order.service);
            match repeated.filter(|repeated| repeated.epoch == order.mark.epoch) {
                None => {
                    self.repeated.insert(order.service, order.mark);
                    return Reading::Repeated(earlier.clone());
                }
                Some(repeated) if *repeated >= order.mark => return Reading::Known,
                Some(_) => {}
            }
        } else if known.is_empty()
            && let Some(record) = record.filter(|record| repeats(&order, record))
        {
            self.repeated.insert(order.service.clone(), order.mark);
            order.mark = record.mark;
        }
        if known.is_empty() {
            self.unconfirmed.insert(order.service.clone(), order.mark);
        }
        for known in known {
            self.replace(known.clone());
        }
        Reading::New(order)
    }

    /// Returns whether the order `taken`, of which no earlier one was known, repeats one that another node leads, and remembers
    /// that it does.
    pub fn recognise_repeated(&mut self, taken: &Order, led: &Order) -> bool {
        let unconfirmed = self.unconfirmed.get(&taken.service) == Some(&taken.mark);
        let repeats = unconfirmed && taken.may_repeat(led) && led.mark < taken.mark;
        if repeats {
            self.unconfirmed.remove(&taken.service);
            self.repeated.insert(taken.service.clone(), taken.mark);
        }
        repeats
    }

    /// Remembers an order in whose place a later one is carried out.
    pub fn replace(&mut self, order: Order) {
        if self.replaced.len() == REPLACED_MAX {
            self.replaced.pop_front();
        }
        self.replaced.push_back(order);
    }

    /// Returns the position that an order had before a restore that it has outlasted; `None` if it is not known from
    /// before.
    fn earlier_mark(
        &self,
        order: &Order,
        known: &[Order],
        record: Option<&RolloutRecord>,
    ) -> Option<Position> {
        let is_earlier =
            |mark: &Position| mark.version == order.mark.version && mark.epoch < order.mark.epoch;
        let same = self.replaced.iter().chain(known);
        let same = same.filter(|earlier| order.has_contents_of(earlier));
        let recorded = record.filter(|record| record.to == order.to);
        same.map(|earlier| earlier.mark)
            .chain(recorded.map(|record| record.mark))
            .find(is_earlier)
    }
}

/// Returns whether an order is the recorded one, written again after a restore.
fn repeats(order: &Order, record: &RolloutRecord) -> bool {
    record.to == order.to && record.mark.epoch < order.mark.epoch
}
