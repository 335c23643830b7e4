//! Hands documents and moves on to the other nodes, and fetches what was missed.

use {
    super::{Link, Peers},
    crate::{
        sidecar::{
            document::Number,
            frame::{Contact, Frame},
            node::Core,
            ramp::{Phase, Ramp},
            spread::{self, Scope},
        },
        traffic::spill::Tier,
        world::{Host, Moment},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// How long a node that hands news on may take to confirm them: a round trip between regions, and the
/// processor time of a busy host.
const CONFIRMED_IN: Duration = Duration::from_millis(300);
/// How often news are handed to another node of the same place.
const RELAYS_MAX: usize = 3;
/// How long a node that is behind waits before it asks another domain of its region.
const REGION_PATIENCE: Duration = Duration::from_millis(400);
/// How long it waits before it asks another region.
const REMOTE_PATIENCE: Duration = Duration::from_millis(900);
/// How long an answer to a fetch may take.
const FETCHED_IN: Duration = Duration::from_millis(400);

/// News that a node was given to hand on and has not confirmed.
struct Awaited {
    asked: Vec<Host>,
    at: Moment,
    number: Number,
    scope: Scope,
}

/// What is under way of the spread.
#[derive(Default)]
pub(super) struct State {
    awaited: RefCell<Vec<Awaited>>,
    behind: RefCell<Option<Moment>>,
    fetched: RefCell<Option<Moment>>,
}

impl Peers {
    fn contacts_of(links: &[Rc<Link>]) -> Vec<Contact> {
        links.iter().map(|link| link.contact.clone()).collect()
    }
}

/// Hands the document in force on to all nodes of a scope that are not known to have it.
pub(in crate::sidecar) fn push(core: &Core, scope: Scope) {
    let number = core.number();
    let mut links = core.peers.sound();
    links.retain(|link| link.status.borrow().document < number);
    for hop in spread::hops(&core.contact, scope, &Peers::contacts_of(&links)) {
        let link = links.iter().find(|link| link.contact.host == hop.host);
        if let Some(link) = link {
            hand(core, link, hop.scope, &[]);
        }
    }
    let now = core.now();
    core.log.line(
        now,
        "spread",
        format_args!("number={number} scope={scope:?} nodes={}", links.len()),
    );
}

/// Hands the document in force to one node, which may have to hand it on.
fn hand(core: &Core, link: &Link, scope: Scope, asked: &[Host]) {
    let held = link.status.borrow().document;
    for frame in core.news(held, scope) {
        link.send(&frame, None);
    }
    if matches!(scope, Scope::Domain | Scope::Region) {
        let host = link.contact.host.clone();
        core.peers.spreading.awaited.borrow_mut().push(Awaited {
            asked: asked.iter().cloned().chain([host]).collect(),
            at: core.now(),
            number: core.number(),
            scope,
        });
    } else {
        let mut status = link.status.borrow_mut();
        status.document = status.document.max(core.number());
    }
}

/// Confirms a document that came from a node and hands it on.
pub(super) fn hand_on(core: &Core, link: &Link, scope: Scope) {
    if scope == Scope::Host {
        return;
    }
    link.send(&Frame::Status(core.status()), None);
    push(core, scope);
}

/// Hands what is in force while traffic moves on to all nodes of a scope. How it ended goes to everybody
/// directly, as it must not wait for anybody.
pub(in crate::sidecar) fn ramp(core: &Core, scope: Scope, ramp: &Ramp) {
    if ramp.phase != Phase::Running && scope == Scope::Mesh {
        core.peers
            .broadcast(&Frame::Ramp(Scope::Host, ramp.clone()));
        return;
    }
    let links = core.peers.sound();
    for hop in spread::hops(&core.contact, scope, &Peers::contacts_of(&links)) {
        core.peers
            .send(&hop.host, &Frame::Ramp(hop.scope, ramp.clone()));
    }
}

/// Asks a node for what is missing here, unless another one is being asked.
pub(super) fn fetch(core: &Core, link: &Link) {
    let now = core.now();
    let mut fetched = core.peers.spreading.fetched.borrow_mut();
    if fetched.is_some_and(|at| now.since(at) < FETCHED_IN) {
        return;
    }
    *fetched = Some(now);
    link.send(&Frame::Fetch(core.number()), None);
}

/// Asks the nearest node for the nodes that it knows, as the store does not tell.
pub(in crate::sidecar) fn introduce(core: &Core) {
    let links = core.peers.sound();
    let nearest = links
        .iter()
        .min_by_key(|link| core.tier(&link.contact) as usize);
    if let Some(link) = nearest {
        link.send(&Frame::Introduce, None);
    }
}

/// Asks the next node where news were not confirmed, and fetches what was missed.
pub(super) fn tick(core: &Core, now: Moment) {
    let mut late = Vec::new();
    core.peers.spreading.awaited.borrow_mut().retain(|awaited| {
        let overdue = now.since(awaited.at) >= CONFIRMED_IN;
        if overdue && !confirmed(core, awaited) {
            late.push((awaited.scope, awaited.asked.clone()));
        }
        !overdue
    });
    for (scope, asked) in late {
        ask_next(core, scope, &asked);
    }
    catch_up(core, now);
}

/// Fetches what was missed from the nearest node that has it. Distant ones are left time to bring it first: one copy
/// may be on its way to a node nearby.
fn catch_up(core: &Core, now: Moment) {
    let own = core.number();
    let links = core.peers.sound();
    let ahead = links
        .iter()
        .filter(|link| link.status.borrow().document > own);
    let nearest = ahead.min_by_key(|link| core.tier(&link.contact) as usize);
    let mut behind = core.peers.spreading.behind.borrow_mut();
    let Some(nearest) = nearest else {
        *behind = None;
        return;
    };
    let since = *behind.get_or_insert(now);
    let patience = match core.tier(&nearest.contact) {
        Tier::Own => Duration::ZERO,
        // Nothing can be served without a document.
        Tier::Region if !core.configured() => Duration::ZERO,
        Tier::Remote if !core.configured() => REGION_PATIENCE,
        Tier::Region => REGION_PATIENCE,
        Tier::Remote => REMOTE_PATIENCE,
    };
    if now.since(since) >= patience {
        fetch(core, nearest);
    }
}

fn confirmed(core: &Core, awaited: &Awaited) -> bool {
    let links = core.peers.links.borrow();
    let last = awaited.asked.last().and_then(|host| links.get(host));
    last.is_some_and(|link| link.status.borrow().document >= awaited.number)
}

fn ask_next(core: &Core, scope: Scope, asked: &[Host]) {
    let Some(last) = asked.last() else { return };
    if asked.len() >= RELAYS_MAX {
        return;
    }
    let place = {
        let known = core.peers.known.borrow();
        known.get(last).map(|known| known.contact.clone())
    };
    let Some(place) = place else { return };
    let links = core.peers.sound();
    let next = links.iter().find(|link| {
        let same = match scope {
            Scope::Region => link.contact.region == place.region,
            Scope::Host | Scope::Domain | Scope::Mesh => link.contact.domain == place.domain,
        };
        same && !asked.contains(&link.contact.host)
    });
    if let Some(link) = next {
        core.log.line(
            core.now(),
            "spread",
            format_args!("outcome=unconfirmed peer={last} next={}", link.contact.host),
        );
        hand(core, link, scope, asked);
    }
}
