//! Joins the state machines of a node: the leases that it gives and holds, and for each account its roles as the owner
//! and as a borrower.

use {
    super::{
        borrower::{Answer, Borrower, Permit, QueryId, Verdict},
        lease::{HOLD, Holdings, Lease, Lessor},
        owner::{Ledger, Pool},
        quota::Quota,
        rank::Rank,
        reserve::Reserve,
    },
    crate::types::{AccountName, Host, Moment},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// Maximum time for which an owner refuses that does not hold the leases of all nodes, as further ones may arrive.
const INCOMPLETE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Query for permits to the owner of an account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The identifier that the answer repeats.
    pub id: QueryId,
    /// The owner, as this node sees it.
    pub owner: Host,
    /// The number of permits that are wanted.
    pub wanted: u32,
}

/// What to do with a request that has neither a permit nor a refusal yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The verdict is known.
    Done(Verdict),
    /// The query is to be sent, and its answer waited for.
    Ask(Query),
    /// There is no owner, so the local allowance applies.
    Local,
}

#[derive(Debug, Default)]
struct State {
    /// The known nodes that rank above this one.
    above: Vec<Host>,
    borrower: Borrower,
    ledger: Ledger,
    reserve: Reserve,
    used: Moment,
}

/// Limits of all accounts at a node.
#[derive(Debug)]
pub struct Limiter {
    accounts: HashMap<AccountName, State>,
    holdings: Holdings,
    known: BTreeSet<Host>,
    lessor: Lessor,
    next_query: u64,
    own: Host,
    started: Moment,
}

impl Limiter {
    /// Creates the limiter of a node that has just started.
    #[must_use]
    pub fn new(own: Host, started: Moment) -> Self {
        Self {
            accounts: HashMap::new(),
            holdings: Holdings::default(),
            known: BTreeSet::from([own.clone()]),
            lessor: Lessor::new(own.clone(), started),
            next_query: started.0,
            own,
            started,
        }
    }

    /// Sets the known nodes of the region, among which the limits are divided; this one is added.
    pub fn set_known(&mut self, mut known: BTreeSet<Host>) {
        known.insert(self.own.clone());
        if known == self.known {
            return;
        }
        self.known = known;
        for (account, state) in &mut self.accounts {
            state.above = above(account, &self.own, &self.known);
        }
    }

    /// Returns the message to send to another node of the region, `None` if none is due.
    pub fn lease(&mut self, now: Moment, to: &Host) -> Option<Lease> {
        self.lessor.lease(now, to, &self.known)
    }

    /// Records a new connection to another node of the region.
    pub fn reconnect(&mut self, to: &Host) {
        self.lessor.reconnect(to);
    }

    /// Records the message of another node of the region.
    pub fn receive_lease(&mut self, now: Moment, from: &Host, lease: Lease, horizon: Duration) {
        self.lessor.hear(now, from, lease.sent);
        // A time from before the start was sent by an earlier process of this host.
        let echo = lease.echo.filter(|echo| *echo >= self.started);
        if let (Some(echo), Some(absent)) = (echo, lease.absent) {
            self.holdings.renew(now, from, echo, absent, horizon);
        }
    }

    /// Returns the number of nodes whose leases this node holds, including its own.
    #[must_use]
    pub fn held_leases(&self, now: Moment) -> usize {
        self.holdings.count(now)
    }

    /// Returns the number of known nodes of the region, including this one.
    #[must_use]
    pub fn known_count(&self) -> usize {
        self.known.len()
    }

    /// Hands out permits to another node or to this one.
    pub fn hand_out(
        &mut self,
        now: Moment,
        account: &AccountName,
        quota: &Quota,
        wanted: u32,
    ) -> Answer {
        // Before that, this node may know only a few of the others, and would take the parts for larger than they are.
        if now.since(self.started) < HOLD {
            return Answer::NotOwner;
        }
        self.renew_own(now, quota.horizon);
        self.add(now, account);
        let Some(state) = self.accounts.get_mut(account) else {
            return Answer::NotOwner;
        };
        let ages = self.holdings.ages(now, &state.above);
        let pool = Pool::new(quota, self.known.len(), ages);
        if pool.is_empty() {
            return Answer::NotOwner;
        }
        match state.ledger.hand_out(now, quota, &pool, wanted) {
            Ok(count) => Answer::Granted(count),
            Err(after) if (pool.part_count() as usize) < self.known.len() => {
                Answer::Full(after.min(INCOMPLETE_RETRY_AFTER))
            }
            Err(after) => Answer::Full(after),
        }
    }

    /// Counts a request of an account.
    pub fn count(&mut self, now: Moment, account: &AccountName) {
        self.add(now, account).borrower.count(now);
    }

    /// Returns what to do next for the `waiting` requests of an account that have no permit.
    pub fn step(
        &mut self,
        now: Moment,
        account: &AccountName,
        quota: &Quota,
        waiting: usize,
    ) -> Step {
        let verdict = self.add(now, account).borrower.take(now);
        if verdict != Verdict::Wait {
            return Step::Done(verdict);
        }
        let owner = self.owner(now, account);
        if owner == self.own {
            return match self.hand_out(now, account, quota, 1) {
                Answer::Granted(_) => {
                    Step::Done(Verdict::Granted(Permit(now + super::PERMIT_VALIDITY)))
                }
                Answer::Full(after) => Step::Done(Verdict::Refused(after)),
                Answer::NotOwner => Step::Local,
            };
        }
        let id = QueryId(self.next_query);
        self.next_query += 1;
        match self.add(now, account).borrower.ask(now, id, waiting) {
            Some(wanted) => Step::Ask(Query { id, owner, wanted }),
            None => Step::Done(Verdict::Wait),
        }
    }

    /// Records the answer to a query. Returns whether it answers the query in flight.
    pub fn answer(
        &mut self,
        now: Moment,
        account: &AccountName,
        id: QueryId,
        answer: Answer,
    ) -> bool {
        self.accounts
            .get_mut(account)
            .is_some_and(|state| state.borrower.answer(now, id, answer))
    }

    /// Takes a permit from the local allowance, for a request that has got no answer from the owner.
    ///
    /// # Errors
    /// Returns the time until there is room if there is none.
    pub fn take_local(
        &mut self,
        now: Moment,
        account: &AccountName,
        quota: &Quota,
    ) -> Result<(), Duration> {
        let (started, known_count) = (self.started, self.known.len());
        let state = self.add(now, account);
        let place = state.above.len();
        state
            .reserve
            .try_take(now, started, quota, known_count, place)
    }

    /// Takes back a permit whose request has not run, for another request of this node.
    pub fn give_back(&mut self, now: Moment, account: &AccountName, permit: Permit) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.borrower.give_back(now, permit);
        }
    }

    /// Renews the lease of this node's own parts, and removes what is no longer needed. To be called more often than leases
    /// end.
    pub fn prune(&mut self, now: Moment, horizon: Duration) {
        self.renew_own(now, horizon);
        self.holdings.prune(now);
        self.accounts
            .retain(|_, state| now.since(state.used) < horizon || !state.borrower.is_idle(now));
    }

    fn renew_own(&mut self, now: Moment, horizon: Duration) {
        if let Some(absent) = self.lessor.own_lease(now, &self.known) {
            let own = self.own.clone();
            self.holdings.renew(now, &own, now, absent, horizon);
        }
    }

    /// Returns the owner of an account as this node sees it: the node that ranks highest of those that it hears.
    fn owner(&mut self, now: Moment, account: &AccountName) -> Host {
        let heard = self.lessor.heard(now);
        let candidates = heard.filter(|host| self.known.contains(*host));
        let highest = candidates
            .max_by_key(|host| Rank::new(account, host))
            .cloned();
        let own = Rank::new(account, &self.own);
        match highest {
            Some(highest) if Rank::new(account, &highest) > own => highest,
            _ => self.own.clone(),
        }
    }

    fn add(&mut self, now: Moment, account: &AccountName) -> &mut State {
        let (own, known) = (&self.own, &self.known);
        if !self.accounts.contains_key(account) {
            let state = State {
                above: above(account, own, known),
                ..State::default()
            };
            self.accounts.insert(account.clone(), state);
        }
        let state = self.accounts.entry(account.clone()).or_default();
        state.used = now;
        state
    }
}

/// Returns the known nodes that rank above this one.
fn above(account: &AccountName, own: &Host, known: &BTreeSet<Host>) -> Vec<Host> {
    let own = Rank::new(account, own);
    let above = known.iter().filter(|host| Rank::new(account, host) > own);
    above.cloned().collect()
}
