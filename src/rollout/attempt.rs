//! One attempt of a rollout at one node: the current share, the collected counts and, at the root of a
//! failure domain's tree, the judge and the ramp.

use {
    super::{
        AttemptId, Tag,
        breaker::CircuitBreaker,
        evidence::{Count, Row, Rows, Side, Sums},
        judge::{JUDGED_CAUSES, Judge, Weight},
        message::{Origin, Progress, Stage},
        outcome::{Cause, Report, Tally},
        ramp::{Observation, Ramp, Schedule},
    },
    crate::{
        resource::{Preference, Rollout},
        types::{Domain, Host, Moment, Permille},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The probability that a good version is ever found bad, by one failure domain or by all together.
const FALSE_ALARM_PROBABILITY: f64 = 0.01;

/// The number of tests that share the probability: two measures, each by domain, by all and by the pool.
const TEST_COUNT: f64 = 6.0;

/// The answers per second below which a domain sends its evidence to the pool.
const POOL_RATE_MAX: f64 = 100.0;

/// How long a failure domain counts as reached after its last progress message.
const REACHED_TIMEOUT: Duration = Duration::from_secs(15);

/// How long after the deadline a rollout still waits for failure domains that are out of reach.
const UNREACHED_GRACE: Duration = Duration::from_secs(10);

/// The fraction of the new version's slots that a rollout fills at most.
const UTILIZATION_MAX: f64 = 0.8;

/// The endpoints of both versions, as one failure domain knows them from the member records.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Endpoints {
    /// All failure domains that have hosts.
    pub domains: BTreeSet<Domain>,
    /// The number of ready hosts of the new version.
    pub candidate_hosts: usize,
    /// The concurrent requests that the new version can run for the callers of the domain.
    pub candidate_slots: f64,
    /// The number of ready hosts of the old version.
    pub baseline_hosts: usize,
}

/// The last progress received from the root of another tree.
#[derive(Debug)]
struct Remote {
    received_at: Moment,
    domain: Domain,
    progress: Progress,
    via: Host,
}

/// The state of one attempt at one node.
#[derive(Debug)]
pub struct Attempt {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The rollout as declared, with its outcome once recorded.
    pub spec: Rollout,
    /// The circuit breaker of this node, which stops requests to the new version before any verdict.
    pub breaker: CircuitBreaker,
    /// Counts that are neither sent to the parent nor judged yet.
    pub rows: Rows,
    remotes: BTreeMap<Host, Remote>,
    judge: Judge,
    pool_rows: Rows,
    pool: Judge,
    ramp: Ramp,
    last_sent: Option<(Moment, Progress)>,
    share: Permille,
    stage_at: Moment,
}

impl Attempt {
    /// Creates an attempt at the first stage, or at the last one if the outcome is recorded.
    #[must_use]
    pub fn new(now: Moment, id: AttemptId, spec: Rollout) -> Self {
        let mut ramp = Ramp::new(now, Permille(0));
        if spec.outcome.is_some() {
            ramp.finish();
        }
        let share = ramp.stage_share();
        Self {
            id,
            spec,
            breaker: CircuitBreaker::default(),
            rows: Rows::default(),
            remotes: BTreeMap::new(),
            judge: Judge::new(now),
            pool_rows: Rows::default(),
            pool: Judge::new(now),
            ramp,
            last_sent: None,
            share,
            stage_at: Moment::default(),
        }
    }

    /// Returns the share of the new version in this failure domain.
    #[must_use]
    pub fn share(&self) -> Permille {
        self.share
    }

    /// Returns the answers of one version to callers of this domain since this node began to judge.
    #[must_use]
    pub fn tally(&self, side: Side) -> Tally {
        self.judge.tally(side)
    }

    /// Returns whether this failure domain has moved all traffic to the new version.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.share == Permille::WHOLE
    }

    fn schedule(&self) -> Schedule {
        Schedule {
            deadline: self.spec.deadline,
            preference: self.spec.preference,
            started: self.id.started,
        }
    }

    /// Adds counts of this node. Counts of versions outside the rollout are ignored.
    pub fn record(&mut self, now: Moment, count: &Count, domain: Option<&Domain>, hosts: usize) {
        let side = if count.version == self.spec.to {
            Side::Candidate
        } else if count.version == self.spec.from {
            Side::Baseline
        } else {
            return;
        };
        let sums = Sums::from(count);
        self.breaker.record(now, side, &count.host, sums, hosts);
        let place = match (side, domain) {
            (Side::Baseline, Some(domain)) => domain.as_str(),
            _ => count.host.as_str(),
        };
        let place = Tag::of(place);
        self.rows.add(Row { place, side, sums });
    }

    /// Applies the share set by the root of the tree. Returns `false` for an outdated stage.
    pub fn apply_stage(&mut self, now: Moment, stage: &Stage) -> bool {
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

    /// Raises the share to what other nodes have reached; called by a root that still only listens.
    pub fn raise_share(&mut self, now: Moment, share: Permille) {
        if share > self.share {
            self.share = share;
            self.ramp = Ramp::new(now, share);
        }
    }

    /// Records the progress of another failure domain, received from the neighbour `via`.
    pub fn record_remote(&mut self, now: Moment, origin: &Origin, via: &Host, progress: Progress) {
        let remote = Remote {
            received_at: now,
            domain: origin.domain.clone(),
            progress,
            via: via.clone(),
        };
        self.remotes.insert(origin.host.clone(), remote);
    }

    /// Judges collected and pooled evidence, at the root of a tree. `domain` finds the domain of a host.
    pub fn judge(&mut self, now: Moment, own: &Domain, domain: impl Fn(Tag) -> Option<Tag>) {
        let own = Tag::of(own.as_str());
        let is_pooled = self.judge.answers_per_s().is_none_or(|r| r < POOL_RATE_MAX);
        for row in self.rows.take() {
            let place = match row.side {
                Side::Baseline => Some(row.place),
                Side::Candidate => domain(row.place),
            };
            if is_pooled && place == Some(own) {
                self.pool_rows.add(row);
            }
            self.judge.record(row);
        }
        let span = self.schedule().span();
        self.judge.close_window(now, span, &domain);
        self.pool.close_window(now, span, &domain);
    }

    /// Adds evidence of domains with little traffic to the pool.
    pub fn add_to_pool(&mut self, rows: Vec<Row>) {
        for row in rows {
            self.pool.record(row);
        }
    }

    /// Returns the neighbour that leads to the root which judges the pooled evidence: that of the first
    /// reached domain by name. `None` if that is this root or no other domain is reached.
    #[must_use]
    pub fn pool_next_hop(&self, now: Moment, own: &Domain) -> Option<Host> {
        let first = self.reached(now).min_by_key(|remote| &remote.domain)?;
        (first.domain < *own).then(|| first.via.clone())
    }

    /// Removes and returns the evidence for the pool. It covers only hosts in the callers' own domain, so
    /// that links between domains do not affect it.
    pub fn take_pool_rows(&mut self) -> Vec<Row> {
        self.pool_rows.take()
    }

    fn reached(&self, now: Moment) -> impl Iterator<Item = &Remote> {
        self.remotes
            .values()
            .filter(move |remote| now.since(remote.received_at) < REACHED_TIMEOUT)
    }

    /// Returns the fault that the evidence of this domain, of the pool or of all domains together proves.
    #[must_use]
    pub fn verdict(&self, now: Moment, candidate_hosts: usize) -> Option<Cause> {
        if now >= self.schedule().cutover() {
            return self.verdict_without_baseline(now);
        }
        let own = self.judge.weights();
        let single_host = candidate_hosts < 2 && self.judge.host_count() < 2;
        let pooled = self.pool.weights();
        let roots = 1 + self.reached(now).count();
        (0..JUDGED_CAUSES.len())
            .find(|measure| {
                let all: Vec<Weight> = self
                    .reached(now)
                    .map(|remote| remote.progress.weights[*measure])
                    .chain([own[*measure]])
                    .collect();
                let threshold = threshold(1) + f64::from(u32::try_from(roots).unwrap_or(1)).ln();
                combined(&[own[*measure]], single_host) >= threshold
                    || combined(&[pooled[*measure]], single_host) >= self::threshold(1)
                    || combined(&all, single_host) >= self::threshold(all.len())
            })
            .map(|measure| JUDGED_CAUSES[measure])
    }

    /// Returns the verdict while the old version has no traffic to compare with. An overloaded domain
    /// then looks like a bad version, so a single domain is not enough either.
    fn verdict_without_baseline(&self, now: Moment) -> Option<Cause> {
        let own = self.judge.weights();
        (0..JUDGED_CAUSES.len())
            .find(|measure| {
                let each: Vec<f64> = self
                    .reached(now)
                    .map(|remote| remote.progress.weights[*measure])
                    .chain([own[*measure]])
                    .map(|weight| f64::from(weight.robust) / 100.0)
                    .collect();
                let largest = each.iter().copied().fold(0.0, f64::max);
                let excluded = if each.len() == 1 { 0.0 } else { largest };
                each.iter().sum::<f64>() - excluded >= threshold(each.len())
            })
            .map(|measure| JUDGED_CAUSES[measure])
    }

    /// Returns the measure in which any domain or the pool has half the evidence that a verdict needs.
    fn suspicion(&self, now: Moment, candidate_hosts: usize) -> Option<Cause> {
        let single_host = candidate_hosts < 2 && self.judge.host_count() < 2;
        let others = self.reached(now).map(|remote| remote.progress.weights);
        let all: Vec<[Weight; 2]> = others
            .chain([self.judge.weights(), self.pool.weights()])
            .collect();
        let evidence = |measure: usize| {
            move |weights: &[Weight; 2]| combined(&[weights[measure]], single_host)
        };
        (0..JUDGED_CAUSES.len())
            .find(|measure| {
                all.iter()
                    .map(evidence(*measure))
                    .any(|sum| sum >= threshold(1) / 2.0)
            })
            .map(|measure| JUDGED_CAUSES[measure])
    }

    fn answer_count(&self) -> u64 {
        let others = self.remotes.values();
        let others: u64 = others.map(|remote| remote.progress.candidate.done).sum();
        others + self.tally(Side::Candidate).done
    }

    /// Returns the largest share of this domain's traffic that the new version's endpoints can carry.
    fn capacity(&self, endpoints: &Endpoints) -> Permille {
        if endpoints.candidate_hosts == 0 {
            return Permille(0);
        }
        let demand = self.judge.concurrency().max(0.001);
        let share = 1000.0 * endpoints.candidate_slots * UTILIZATION_MAX / demand;
        // The value is within the range of a share.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let share = share.clamp(0.0, 1000.0) as u16;
        Permille(share)
    }

    /// Sets the share, at the root of a tree. Returns the cause if the version is rolled back at cutover.
    pub fn update_share(&mut self, now: Moment, endpoints: &Endpoints) -> Option<Cause> {
        let schedule = self.schedule();
        let capacity = self.capacity(endpoints);
        let suspicion = self.suspicion(now, endpoints.candidate_hosts);
        let observation = Observation {
            total_answers: self.answer_count(),
            is_unsuspected: suspicion.is_none(),
            capacity,
            domain_answers: self.tally(Side::Candidate).done,
            answers_per_s: self.judge.answers_per_s(),
        };
        let is_past_cutover = now >= schedule.cutover() && self.spec.outcome.is_none();
        if is_past_cutover && self.share < Permille::WHOLE && suspicion.is_some() {
            return suspicion;
        }
        if is_past_cutover && !self.ramp.is_done() {
            if let Some(cause) = overdue_cause(&schedule, &observation) {
                return Some(cause);
            }
            self.ramp.finish();
        }
        self.ramp.step(now, &schedule, &observation);
        let share = self.ramp.share(now, &schedule, capacity);
        if share != self.share {
            self.share = share;
            self.stage_at = now;
        }
        None
    }

    /// Returns the stage to announce to the child nodes.
    #[must_use]
    pub fn stage(&self, now: Moment) -> Stage {
        Stage {
            at: now,
            attempt: self.id.tag(),
            share: self.share,
        }
    }

    /// Returns the progress for the other roots if it changed or was last sent `repeat_interval` ago.
    pub fn due_progress(&mut self, now: Moment, repeat_interval: Duration) -> Option<Progress> {
        let progress = Progress {
            attempt: self.id.tag(),
            candidate: self.tally(Side::Candidate),
            done: self.is_done(),
            share: self.share,
            weights: self.judge.weights(),
        };
        let due = self.last_sent.as_ref().is_none_or(|(at, last)| {
            now.since(*at) >= repeat_interval || has_changed(last, &progress)
        });
        due.then(|| {
            self.last_sent = Some((now, progress.clone()));
            progress
        })
    }

    /// Returns whether all reached failure domains have finished and none is out of reach. From
    /// `UNREACHED_GRACE` after the deadline, domains out of reach are ignored.
    #[must_use]
    pub fn are_all_domains_done(&self, now: Moment, endpoints: &Endpoints, own: &Domain) -> bool {
        if !self.is_done() || !self.reached(now).all(|remote| remote.progress.done) {
            return false;
        }
        let reached: BTreeSet<&Domain> = self.reached(now).map(|remote| &remote.domain).collect();
        let missing = |domain: &Domain| domain != own && !reached.contains(domain);
        now >= self.spec.deadline + UNREACHED_GRACE || !endpoints.domains.iter().any(missing)
    }

    /// Returns a report per domain, sorted by name; `known` domains without progress are not reached.
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
        for remote in self.remotes.values() {
            let reached = now.since(remote.received_at) < REACHED_TIMEOUT;
            let report = Report {
                candidate: remote.progress.candidate,
                domain: remote.domain.clone(),
                done: remote.progress.done,
                reached,
                share: remote.progress.share,
            };
            reports.insert(&remote.domain, report);
        }
        let own_report = Report {
            candidate: self.tally(Side::Candidate),
            domain: own.clone(),
            done: self.is_done(),
            reached: true,
            share: self.share,
        };
        reports.insert(own, own_report);
        reports.into_values().collect()
    }

    /// Returns the number of reached failure domains whose names sort before `own`. Nodes that could all
    /// record the outcome take turns by this rank.
    #[must_use]
    pub fn recording_rank(&self, now: Moment, own: &Domain) -> u32 {
        let before: BTreeSet<&Domain> = self
            .reached(now)
            .map(|remote| &remote.domain)
            .filter(|domain| *domain < own)
            .collect();
        u32::try_from(before.len()).unwrap_or(u32::MAX)
    }
}

/// Returns why a rollout that is unfinished at the cutover is rolled back, or `None` to finish it.
fn overdue_cause(schedule: &Schedule, observation: &Observation) -> Option<Cause> {
    if observation.capacity < Permille::WHOLE {
        return Some(Cause::Capacity);
    }
    let prefers_rollback = schedule.preference == Preference::Rollback;
    prefers_rollback.then_some(Cause::TooLittleEvidence)
}

fn has_changed(last: &Progress, now: &Progress) -> bool {
    let weight_changed = |measure: usize| {
        let (old, new) = (last.weights[measure], now.weights[measure]);
        old.all.abs_diff(new.all) >= 50 || old.robust.abs_diff(new.robust) >= 50
    };
    last.done != now.done || last.share != now.share || weight_changed(0) || weight_changed(1)
}

/// Sums the evidence of failure domains, without the host that contributes most unless `single_host`.
fn combined(weights: &[Weight], single_host: bool) -> f64 {
    let sum: f64 = weights.iter().map(|weight| f64::from(weight.all)).sum();
    if single_host {
        return sum / 100.0;
    }
    let mut evidence_by_host: BTreeMap<Tag, f64> = BTreeMap::new();
    for weight in weights {
        *evidence_by_host.entry(weight.worst).or_default() +=
            f64::from(weight.all - weight.robust.min(weight.all));
    }
    let largest = evidence_by_host.values().copied().fold(0.0, f64::max);
    (sum - largest) / 100.0
}

/// Returns the evidence, as a logarithm, that `roots` trees need together for a verdict. For a good
/// version each tree's is at most exponentially distributed, so the sum is at most Erlang distributed.
fn threshold(roots: usize) -> f64 {
    let probability = FALSE_ALARM_PROBABILITY / TEST_COUNT;
    let mut threshold = -probability.ln();
    while erlang_tail(roots, threshold) > probability {
        threshold += 0.25;
    }
    threshold
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
