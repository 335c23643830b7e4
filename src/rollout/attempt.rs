//! One attempt of a rollout at one node: the share in force, what was counted, and, at the root of a
//! failure domain's tree, the judge and the ramp.

use {
    super::{
        Id, Tag,
        brake::Brake,
        evidence::{Count, Row, Rows, Side, Sums},
        judge::{Judge, MEASURES, Weight},
        message::{Origin, Progress, Stage},
        outcome::{Cause, Report, Tally},
        ramp::{Facts, Plan, Ramp},
    },
    crate::{
        resource::{Preference, Rollout},
        world::{Domain, Host, Moment, Permille},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The chance that a good version is ever found bad by one failure domain or by all together.
const FALSE_ALARM: f64 = 0.01;

/// Among how many tests the chance is split: two measures, each by domain, by all and by the pool.
const TESTS: f64 = 6.0;

/// The answers a second below which a domain lends its evidence.
const RATE_LENT: f64 = 100.0;

/// How long a failure domain that was heard of counts as reached.
const REACHED: Duration = Duration::from_secs(15);

/// How long after the deadline failure domains out of reach are waited for.
const GRACE: Duration = Duration::from_secs(10);

/// The part of the candidate's slots that a rollout fills.
const UTILIZATION: f64 = 0.8;

/// What the members tell of the two versions' endpoints, as one failure domain sees them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Endpoints {
    /// Every failure domain that has hosts.
    pub domains: BTreeSet<Domain>,
    /// How many hosts the new version has.
    pub new_hosts: usize,
    /// How many requests the new version runs at a time for the callers of the domain.
    pub new_slots: f64,
    /// How many hosts the old version has.
    pub old_hosts: usize,
}

/// What the root of another tree last said.
#[derive(Debug)]
struct Heard {
    at: Moment,
    domain: Domain,
    progress: Progress,
    via: Host,
}

/// An attempt.
#[derive(Debug)]
pub struct Attempt {
    /// Its name.
    pub id: Id,
    /// What was declared.
    pub spec: Rollout,
    /// The brake of this node.
    pub brake: Brake,
    /// What was counted and not sent or judged yet.
    pub rows: Rows,
    heard: BTreeMap<Host, Heard>,
    judge: Judge,
    lent: Rows,
    pool: Judge,
    ramp: Ramp,
    said: Option<(Moment, Progress)>,
    share: Permille,
    stage_at: Moment,
}

impl Attempt {
    /// Begins at the first stage.
    #[must_use]
    pub fn new(now: Moment, id: Id, spec: Rollout) -> Self {
        let mut ramp = Ramp::new(now, Permille(0));
        if spec.outcome.is_some() {
            ramp.finish();
        }
        let share = ramp.stage();
        Self {
            id,
            spec,
            brake: Brake::default(),
            rows: Rows::default(),
            heard: BTreeMap::new(),
            judge: Judge::new(now),
            lent: Rows::default(),
            pool: Judge::new(now),
            ramp,
            said: None,
            share,
            stage_at: Moment::default(),
        }
    }

    /// Gives the share that the failure domain gives the new version.
    #[must_use]
    pub fn share(&self) -> Permille {
        self.share
    }

    /// Gives what a version has given to the callers of this domain since this node began to judge.
    #[must_use]
    pub fn tally(&self, side: Side) -> Tally {
        self.judge.tally(side)
    }

    /// Tells whether this failure domain has finished.
    #[must_use]
    pub fn done(&self) -> bool {
        self.share == Permille::WHOLE
    }

    fn plan(&self) -> Plan {
        Plan {
            deadline: self.spec.deadline,
            preference: self.spec.preference,
            started: self.id.started,
        }
    }

    /// Takes in what this node has counted.
    pub fn count(&mut self, now: Moment, count: &Count, domain: Option<&Domain>, new_hosts: usize) {
        let side = if count.version == self.spec.to {
            Side::Candidate
        } else if count.version == self.spec.from {
            Side::Baseline
        } else {
            return;
        };
        let sums = Sums::from(count);
        self.brake.count(now, side, &count.host, sums, new_hosts);
        let place = match (side, domain) {
            (Side::Baseline, Some(domain)) => domain.as_str(),
            _ => count.host.as_str(),
        };
        let place = Tag::of(place);
        self.rows.add(Row { place, side, sums });
    }

    /// Takes the share over that the root of the tree has set; says whether it was news.
    pub fn follow(&mut self, now: Moment, stage: &Stage) -> bool {
        if stage.at <= self.stage_at {
            return false;
        }
        self.stage_at = stage.at;
        if stage.share != self.share {
            self.share = stage.share;
            self.ramp = Ramp::new(now, stage.share);
        }
        true
    }

    /// Goes on from the share that others have come to, as a root that has just begun.
    pub fn adopt(&mut self, now: Moment, share: Permille) {
        if share > self.share {
            self.share = share;
            self.ramp = Ramp::new(now, share);
        }
    }

    /// Notes how far another failure domain is.
    pub fn hear(&mut self, now: Moment, origin: &Origin, via: &Host, progress: Progress) {
        let heard = Heard {
            at: now,
            domain: origin.domain.clone(),
            progress,
            via: via.clone(),
        };
        self.heard.insert(origin.host.clone(), heard);
    }

    /// Judges what was counted, at the root of a tree, and what other domains have lent.
    pub fn judge(&mut self, now: Moment, own: &Domain, domain: impl Fn(Tag) -> Option<Tag>) {
        let own = Tag::of(own.as_str());
        let lends = self.judge.rate().is_none_or(|rate| rate < RATE_LENT);
        for row in self.rows.take() {
            let place = match row.side {
                Side::Baseline => Some(row.place),
                Side::Candidate => domain(row.place),
            };
            if lends && place == Some(own) {
                self.lent.add(row);
            }
            self.judge.add(row);
        }
        let span = self.plan().span();
        self.judge.close(now, span, &domain);
        self.pool.close(now, span, &domain);
    }

    /// Takes evidence in that other domains, which have little of it, have lent.
    pub fn borrow(&mut self, rows: Vec<Row>) {
        for row in rows {
            self.pool.add(row);
        }
    }

    /// Gives the neighbour through which evidence is lent, if another root judges what domains with
    /// little traffic have together: the one of the first domain by name.
    #[must_use]
    pub fn lender(&self, now: Moment, own: &Domain) -> Option<Host> {
        let first = self.reached(now).min_by_key(|heard| &heard.domain)?;
        (first.domain < *own).then(|| first.via.clone())
    }

    /// Takes out the evidence to lend. It only concerns hosts of the lender's own domain, so that links
    /// play no part.
    pub fn lend(&mut self) -> Vec<Row> {
        self.lent.take()
    }

    fn reached(&self, now: Moment) -> impl Iterator<Item = &Heard> {
        self.heard
            .values()
            .filter(move |heard| now.since(heard.at) < REACHED)
    }

    /// Gives what is wrong with the new version, by this domain's evidence and by all domains' together.
    #[must_use]
    pub fn verdict(&self, now: Moment, new_hosts: usize) -> Option<Cause> {
        if now >= self.plan().closing() {
            return self.verdict_alone(now);
        }
        let own = self.judge.weights();
        let single = new_hosts < 2 && self.judge.hosts() < 2;
        let pooled = self.pool.weights();
        let roots = 1 + self.reached(now).count();
        (0..MEASURES.len())
            .find(|measure| {
                let all: Vec<Weight> = self
                    .reached(now)
                    .map(|heard| heard.progress.weights[*measure])
                    .chain([own[*measure]])
                    .collect();
                let bound = bound(1) + f64::from(u32::try_from(roots).unwrap_or(1)).ln();
                combined(&[own[*measure]], single) >= bound
                    || combined(&[pooled[*measure]], single) >= self::bound(1)
                    || combined(&all, single) >= self::bound(all.len())
            })
            .map(|measure| MEASURES[measure])
    }

    /// Judges while the old version has no traffic to compare with: then an overloaded domain looks like
    /// a bad version, so no single domain carries the verdict either.
    fn verdict_alone(&self, now: Moment) -> Option<Cause> {
        let own = self.judge.weights();
        (0..MEASURES.len())
            .find(|measure| {
                let each: Vec<f64> = self
                    .reached(now)
                    .map(|heard| heard.progress.weights[*measure])
                    .chain([own[*measure]])
                    .map(|weight| f64::from(weight.robust) / 100.0)
                    .collect();
                let most = each.iter().copied().fold(0.0, f64::max);
                let lone = if each.len() == 1 { 0.0 } else { most };
                each.iter().sum::<f64>() - lone >= bound(each.len())
            })
            .map(|measure| MEASURES[measure])
    }

    /// Gives what speaks against the new version in any failure domain, though not enough for a verdict.
    fn suspicion(&self, now: Moment, new_hosts: usize) -> Option<Cause> {
        let single = new_hosts < 2 && self.judge.hosts() < 2;
        let heard = self.reached(now).map(|heard| heard.progress.weights);
        let all: Vec<[Weight; 2]> = heard
            .chain([self.judge.weights(), self.pool.weights()])
            .collect();
        let speaks =
            |measure: usize| move |weights: &[Weight; 2]| combined(&[weights[measure]], single);
        (0..MEASURES.len())
            .find(|measure| {
                all.iter()
                    .map(speaks(*measure))
                    .any(|sum| sum >= bound(1) / 2.0)
            })
            .map(|measure| MEASURES[measure])
    }

    fn answers(&self) -> u64 {
        let others = self.heard.values();
        let others: u64 = others.map(|heard| heard.progress.candidate.done).sum();
        others + self.tally(Side::Candidate).done
    }

    /// Gives the most that the new version's endpoints carry of this domain's traffic.
    fn carried(&self, endpoints: &Endpoints) -> Permille {
        if endpoints.new_hosts == 0 {
            return Permille(0);
        }
        let demand = self.judge.busy().max(0.001);
        let share = 1000.0 * endpoints.new_slots * UTILIZATION / demand;
        // The value is within the range of a share.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let share = share.clamp(0.0, 1000.0) as u16;
        Permille(share)
    }

    /// Sets the share, at the root of a tree; gives a reason to take the version back at the end.
    pub fn pace(&mut self, now: Moment, endpoints: &Endpoints) -> Option<Cause> {
        let plan = self.plan();
        let carried = self.carried(endpoints);
        let suspicion = self.suspicion(now, endpoints.new_hosts);
        let facts = Facts {
            answers: self.answers(),
            calm: suspicion.is_none(),
            carried,
            own_answers: self.tally(Side::Candidate).done,
            rate: self.judge.rate(),
        };
        let closes = now >= plan.closing() && self.spec.outcome.is_none();
        if closes && self.share < Permille::WHOLE && suspicion.is_some() {
            return suspicion;
        }
        if closes && !self.ramp.done() {
            if let Some(cause) = overdue(&plan, &facts) {
                return Some(cause);
            }
            self.ramp.finish();
        }
        self.ramp.step(now, &plan, &facts);
        let share = self.ramp.share(now, &plan, carried);
        if share != self.share {
            self.share = share;
            self.stage_at = now;
        }
        None
    }

    /// Gives what to tell the nodes below.
    #[must_use]
    pub fn stage(&self, now: Moment) -> Stage {
        Stage {
            at: now,
            attempt: self.id.tag(),
            share: self.share,
        }
    }

    /// Gives what to tell the other roots, if it has changed or was last told long ago.
    pub fn progress(&mut self, now: Moment, quiet: Duration) -> Option<Progress> {
        let progress = Progress {
            attempt: self.id.tag(),
            candidate: self.tally(Side::Candidate),
            done: self.done(),
            share: self.share,
            weights: self.judge.weights(),
        };
        let due = self
            .said
            .as_ref()
            .is_none_or(|(at, said)| now.since(*at) >= quiet || differs(said, &progress));
        due.then(|| {
            self.said = Some((now, progress.clone()));
            progress
        })
    }

    /// Tells whether every failure domain that can be reached has finished; those out of reach are
    /// waited for until a while after the deadline.
    #[must_use]
    pub fn all_done(&self, now: Moment, endpoints: &Endpoints, own: &Domain) -> bool {
        if !self.done() || !self.reached(now).all(|heard| heard.progress.done) {
            return false;
        }
        let reached: BTreeSet<&Domain> = self.reached(now).map(|heard| &heard.domain).collect();
        let missing = |domain: &Domain| domain != own && !reached.contains(domain);
        now >= self.spec.deadline + GRACE || !endpoints.domains.iter().any(missing)
    }

    /// Reports how far every failure domain is.
    #[must_use]
    pub fn reports(&self, now: Moment, own: &Domain, known: &BTreeSet<Domain>) -> Vec<Report> {
        let mut reports = BTreeMap::new();
        for domain in known {
            reports.insert(
                domain,
                Report {
                    candidate: Tally::default(),
                    domain: domain.clone(),
                    done: false,
                    reached: false,
                    share: Permille(0),
                },
            );
        }
        for heard in self.heard.values() {
            let reached = now.since(heard.at) < REACHED;
            let report = Report {
                candidate: heard.progress.candidate,
                domain: heard.domain.clone(),
                done: heard.progress.done,
                reached,
                share: heard.progress.share,
            };
            reports.insert(&heard.domain, report);
        }
        let mine = Report {
            candidate: self.tally(Side::Candidate),
            domain: own.clone(),
            done: self.done(),
            reached: true,
            share: self.share,
        };
        reports.insert(own, mine);
        reports.into_values().collect()
    }

    /// Counts the reached failure domains whose names come before `own`, so that nodes that could all
    /// record an end do so one after the other.
    #[must_use]
    pub fn rank(&self, now: Moment, own: &Domain) -> u32 {
        let before: BTreeSet<&Domain> = self
            .reached(now)
            .map(|heard| &heard.domain)
            .filter(|domain| *domain < own)
            .collect();
        u32::try_from(before.len()).unwrap_or(u32::MAX)
    }
}

/// Says why a rollout that is not done when its time is over is taken back, if it is.
fn overdue(plan: &Plan, facts: &Facts) -> Option<Cause> {
    if facts.carried < Permille::WHOLE {
        return Some(Cause::Capacity);
    }
    let strict = plan.preference == Preference::Rollback;
    strict.then_some(Cause::TooLittleEvidence)
}

fn differs(said: &Progress, now: &Progress) -> bool {
    let moved = |measure: usize| {
        let (old, new) = (said.weights[measure], now.weights[measure]);
        old.all.abs_diff(new.all) >= 50 || old.robust.abs_diff(new.robust) >= 50
    };
    said.done != now.done || said.share != now.share || moved(0) || moved(1)
}

/// Adds the evidence of failure domains up, without the host that it rests on most.
fn combined(weights: &[Weight], single: bool) -> f64 {
    let sum: f64 = weights.iter().map(|weight| f64::from(weight.all)).sum();
    if single {
        return sum / 100.0;
    }
    let mut lost: BTreeMap<Tag, f64> = BTreeMap::new();
    for weight in weights {
        *lost.entry(weight.worst).or_default() +=
            f64::from(weight.all - weight.robust.min(weight.all));
    }
    let most = lost.values().copied().fold(0.0, f64::max);
    (sum - most) / 100.0
}

/// Gives what the evidence of `roots` trees together must come to. Each one's is at most exponentially
/// distributed for a good version, so their sum is at most Erlang distributed.
fn bound(roots: usize) -> f64 {
    let alarm = FALSE_ALARM / TESTS;
    let mut bound = -alarm.ln();
    while erlang_tail(roots, bound) > alarm {
        bound += 0.25;
    }
    bound
}

fn erlang_tail(shape: usize, x: f64) -> f64 {
    let mut term = 1.0;
    let mut sum = 1.0;
    for step in 1..shape {
        term *= x / f64::from(u32::try_from(step).unwrap_or(u32::MAX));
        sum += term;
    }
    sum * (-x).exp()
}
