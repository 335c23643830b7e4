//! Shell of the accounts' limits: asks for the permits of callers' requests, answers the queries of other nodes and
//! exchanges leases with them. The decisions are made by [`Limiter`]. Requests wait for permits in their own tasks.

use {
    super::{
        document::Account,
        forward::{self, Attempts, Call, Reply, with_jitter},
        frame::{Contact, Frame},
        metrics::Metrics,
        node::Core,
    },
    crate::{
        accounts::{
            borrower::{Answer, Permit, QUERY_TIMEOUT, QueryId, Verdict},
            lease::{self, Lease},
            limiter::{Limiter, Step},
            quota::{Quota, Terms},
            usage::{Count, Usage},
        },
        types::{AccountName, Host, Moment},
    },
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, VecDeque},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::oneshot, time::timeout},
};

/// Minimum time after which a refused caller may return. A shorter one costs more than the wait that it saves.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Maximum time after which a caller may return that was refused without an answer of the account's owner: by then the
/// next owner is known.
const RETRY_AFTER_MAX: Duration = lease::HOLD;

/// Label of the accounts that have no figures of their own. It is not the name of an account, as those begin with a
/// letter or digit.
const OTHER_ACCOUNTS: &str = "-";

/// Senders of the verdicts for requests that wait for permits, in the order in which they arrived.
type Waiting = VecDeque<oneshot::Sender<Verdict>>;

/// Permits of all accounts at this node.
pub(super) struct Permits {
    /// Number of nodes whose leases this node holds, as last logged.
    held: Cell<usize>,
    limiter: RefCell<Limiter>,
    usage: RefCell<Usage>,
    waiting: RefCell<HashMap<AccountName, Waiting>>,
}

impl Permits {
    pub fn new(own: Host, started: Moment) -> Self {
        Self {
            held: Cell::default(),
            limiter: RefCell::new(Limiter::new(own, started)),
            usage: RefCell::default(),
            waiting: RefCell::default(),
        }
    }

    /// Has the next lease to a node sent at once, as it has just connected.
    pub fn reconnect(&self, host: &Host) {
        self.limiter.borrow_mut().reconnect(host);
    }

    pub fn update_metrics(&self, metrics: &Metrics) {
        let usage = self.usage.borrow();
        let (top, rest) = usage.top();
        let top = top
            .into_iter()
            .map(|(account, count)| (account.as_str(), count));
        let rest = (rest != Count::default()).then_some((OTHER_ACCOUNTS, rest));
        metrics.set_accounts(top.chain(rest));
    }
}

/// Forwards a request if its account has not reached its limit. A request that has not run gives its permit back.
pub(super) async fn forward(core: &Rc<Core>, call: &Call, attempts: &mut Attempts) -> Reply {
    let Some(account) = &call.account else {
        return forward::send(core, call, attempts).await;
    };
    let permit = match acquire(core, account).await {
        Ok(permit) => permit,
        Err(after) => return Reply::Limited(after),
    };
    let reply = forward::send(core, call, attempts).await;
    if let (Some(permit), Reply::Refused(..)) = (permit, &reply) {
        let mut limiter = core.permits.limiter.borrow_mut();
        limiter.give_back(core.now(), &account.name, permit);
    }
    reply
}

/// Returns the permit for a request of an account, `None` if the request needs none that could be returned.
///
/// # Errors
/// Returns the time until there is room if the account has reached its limit.
async fn acquire(core: &Core, account: &Account) -> Result<Option<Permit>, Duration> {
    let result = match quota(core, account) {
        Some(quota) => wait_for_permit(core, &account.name, &quota).await,
        None => Ok(None),
    };
    let mut usage = core.permits.usage.borrow_mut();
    usage.record(&account.name, result.is_ok());
    result
}

async fn wait_for_permit(
    core: &Core,
    account: &AccountName,
    quota: &Quota,
) -> Result<Option<Permit>, Duration> {
    let (sender, verdict) = oneshot::channel();
    {
        let mut limiter = core.permits.limiter.borrow_mut();
        limiter.count(core.now(), account);
        let mut waiting = core.permits.waiting.borrow_mut();
        match waiting.get_mut(account) {
            Some(queue) => queue.push_back(sender),
            None => {
                waiting.insert(account.clone(), VecDeque::from([sender]));
            }
        }
    }
    advance(core, account, quota);
    let verdict = timeout(QUERY_TIMEOUT, verdict).await;
    let now = core.now();
    let refuse = |after: Duration| Err(with_jitter(after.max(RETRY_AFTER_MIN)));
    match verdict {
        Ok(Ok(Verdict::Granted(permit))) if now < permit.0 => Ok(Some(permit)),
        Ok(Ok(Verdict::Refused(after))) => refuse(after),
        // There was no answer in time, no owner, or the permit expired while this process was paused.
        _ => {
            let mut limiter = core.permits.limiter.borrow_mut();
            match limiter.take_local(now, account, quota) {
                Ok(()) => Ok(None),
                Err(after) => refuse(after.min(RETRY_AFTER_MAX)),
            }
        }
    }
}

/// Gives the requests that wait for permits of an account their verdicts, as far as those are known, or sends a query.
fn advance(core: &Core, account: &AccountName, quota: &Quota) {
    let permits = &core.permits;
    loop {
        let now = core.now();
        let mut waiting = permits.waiting.borrow_mut();
        let Some(queue) = waiting.get_mut(account) else {
            return;
        };
        queue.retain(|sender| !sender.is_closed());
        if queue.is_empty() {
            waiting.remove(account);
            return;
        }
        let mut limiter = permits.limiter.borrow_mut();
        match limiter.step(now, account, quota, queue.len()) {
            Step::Done(Verdict::Wait) => return,
            Step::Done(verdict) => {
                let sent = queue.pop_front().map(|sender| sender.send(verdict));
                if let Some(Err(Verdict::Granted(permit))) = sent {
                    limiter.give_back(now, account, permit);
                }
            }
            Step::Ask(query) => {
                let frame = Frame::PermitQuery(query.id, account.clone(), query.wanted);
                if core.peers.try_send(&query.owner, &frame) {
                    return;
                }
                limiter.answer(now, account, query.id, Answer::NotOwner);
                // Requests whose senders are dropped use the local allowance.
                queue.clear();
            }
            Step::Local => queue.clear(),
        }
    }
}

/// Returns the answer to another node's query for permits. An account that this node's document does not limit is one
/// whose document is on its way.
pub(super) fn answer_query(core: &Core, id: QueryId, account: AccountName, wanted: u32) -> Frame {
    let known = core.document.borrow().accounts.get(&account).cloned();
    let quota = known.and_then(|known| quota(core, &known));
    let answer = quota.map_or(Answer::NotOwner, |quota| {
        let mut limiter = core.permits.limiter.borrow_mut();
        limiter.hand_out(core.now(), &account, &quota, wanted)
    });
    Frame::PermitAnswer(id, account, answer)
}

/// Handles the owner's answer to a query of this node.
pub(super) fn receive_answer(core: &Core, id: QueryId, account: &AccountName, answer: Answer) {
    let permits = &core.permits;
    let now = core.now();
    if !permits
        .limiter
        .borrow_mut()
        .answer(now, account, id, answer)
    {
        return;
    }
    if answer == Answer::NotOwner {
        // Requests whose senders are dropped use the local allowance.
        permits.waiting.borrow_mut().remove(account);
        return;
    }
    let known = core.document.borrow().accounts.get(account).cloned();
    if let Some(quota) = known.and_then(|known| quota(core, &known)) {
        advance(core, account, &quota);
    }
}

/// Handles the lease of another node.
pub(super) fn receive_lease(core: &Core, from: &Contact, lease: Lease) {
    if let Some(horizon) = horizon(core)
        && from.region == core.contact.region
    {
        let mut limiter = core.permits.limiter.borrow_mut();
        limiter.receive_lease(core.now(), &from.host, lease, horizon);
    }
}

/// Sends the leases that are due. They are exchanged before the document has limits: otherwise all accounts would be refused
/// for [`lease::HOLD`] when it first has some.
pub(super) fn tick(core: &Core, now: Moment) {
    let Some(horizon) = horizon(core) else {
        return;
    };
    let mut limiter = core.permits.limiter.borrow_mut();
    limiter.set_known(core.peers.region_hosts());
    for host in core.peers.connected_region_hosts() {
        if let Some(lease) = limiter.lease(now, &host) {
            core.peers.send(&host, &Frame::Lease(lease));
        }
    }
    limiter.prune(now, horizon);
    let held = limiter.held_leases(now);
    if core.permits.held.replace(held) != held {
        core.log.record(
            now,
            "account-limits",
            format_args!("outcome=leases held={held} known={}", limiter.known_count()),
        );
    }
}

fn quota(core: &Core, account: &Account) -> Option<Quota> {
    Quota::new(account.limit?, terms(core)?)
}

fn terms(core: &Core) -> Option<Terms> {
    let settings = core.settings.borrow();
    let limits = settings.account_limits?;
    let others = settings
        .regions
        .iter()
        .filter(|region| **region != settings.region);
    Some(Terms {
        over: limits.over,
        regions: u32::try_from(others.count() + 1).unwrap_or(u32::MAX),
        slack: limits.slack,
        window: limits.window,
    })
}

fn horizon(core: &Core) -> Option<Duration> {
    terms(core).map(|terms| terms.horizon())
}
