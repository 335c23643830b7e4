//! What the root of a tree does: it judges, paces, tells the others, and records the end.

use {
    super::{Action, Controller, LEND, PROGRESS, RECORD, REPEAT},
    crate::{
        resource::{Change, Key, Kind, Resource, Rollout, Spec},
        rollout::Id,
        rollout::attempt::Attempt,
        rollout::evidence::Side,
        rollout::message::{Batch, Message, Origin, Progress},
        rollout::outcome::{Cause, End, Finding, Outcome},
        source::Operation,
        world::{Host, Moment, Name, Permille, Revision, Version},
    },
    std::collections::BTreeMap,
};

impl Controller {
    /// Does what the root of a tree has to.
    pub(super) fn govern(&mut self, now: Moment) -> Vec<Action> {
        let listens = now < self.listens_until;
        let mut actions = Vec::new();
        let mut moved = false;
        let names: Vec<Name> = self.attempts.keys().cloned().collect();
        for name in names {
            let (cause, changed) = self.decide(now, &name, listens);
            moved |= changed;
            if let Some((id, finding)) = cause {
                actions.extend(self.veto(None, &id, &finding));
            }
        }
        actions.extend(self.say(now, moved));
        if !listens {
            actions.extend(self.record(now));
        }
        actions
    }

    fn decide(&mut self, now: Moment, name: &Name, listens: bool) -> (Option<(Id, Finding)>, bool) {
        let Some(attempt) = self.attempts.get_mut(name) else {
            return (None, false);
        };
        let domains = &self.domains;
        attempt.judge(now, &self.domain, |host| domains.get(&host).copied());
        let attempt = &self.attempts[name];
        if self.vetoes.contains_key(&attempt.id) {
            return (None, false);
        }
        let endpoints = self.endpoints(&attempt.spec);
        let mut cause = attempt.verdict(now, endpoints.new_hosts);
        let before = attempt.share();
        let mut changed = false;
        if cause.is_none()
            && !listens
            && let Some(attempt) = self.attempts.get_mut(name)
        {
            cause = attempt.pace(now, &endpoints);
            changed = attempt.share() != before;
        }
        let attempt = &self.attempts[name];
        let found = cause.map(|cause| (attempt.id.clone(), self.finding(now, attempt, cause)));
        (found, changed)
    }

    fn finding(&self, now: Moment, attempt: &Attempt, cause: Cause) -> Finding {
        Finding {
            at: now,
            baseline: attempt.tally(Side::Baseline),
            candidate: attempt.tally(Side::Candidate),
            cause,
            domain: self.domain.clone(),
            host: self.host.clone(),
            route: attempt.spec.route.clone(),
        }
    }

    /// Tells the nodes below and the other roots what has changed, and now and then all of it.
    fn say(&mut self, now: Moment, moved: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        let repeat = now.since(self.repeated_at) >= REPEAT;
        if repeat {
            self.repeated_at = now;
        }
        if moved || repeat {
            actions.extend(self.stages(now));
        }
        if now.since(self.said_at) < PROGRESS {
            return actions;
        }
        self.said_at = now;
        if now.since(self.lent_at) >= LEND {
            self.lent_at = now;
            actions.extend(self.lend(now));
        }
        let all: Vec<Progress> = self
            .attempts
            .values_mut()
            .filter_map(|attempt| attempt.progress(now, REPEAT))
            .collect();
        if !all.is_empty() {
            let origin = Origin {
                domain: self.domain.clone(),
                host: self.host.clone(),
                region: self.region.clone(),
            };
            let message = Message::Progress(origin, all);
            let siblings = self.role.siblings.iter();
            actions.extend(siblings.map(|host| Action::Send(host.clone(), message.clone())));
        }
        actions
    }

    fn lend(&mut self, now: Moment) -> Vec<Action> {
        let mut lent: BTreeMap<Host, Vec<Batch>> = BTreeMap::new();
        for attempt in self.attempts.values_mut() {
            let rows = attempt.lend();
            let Some(host) = attempt.lender(now, &self.domain) else {
                attempt.borrow(rows);
                continue;
            };
            if !rows.is_empty() {
                let batch = Batch {
                    attempt: attempt.id.tag(),
                    rows,
                    share: attempt.share(),
                };
                lent.entry(host).or_default().push(batch);
            }
        }
        lent.into_iter()
            .map(|(host, batches)| Action::Send(host, Message::Evidence(batches)))
            .collect()
    }

    /// Has ends recorded in the platform's table. Whoever records writes under the same operation id
    /// and on the condition that nothing has changed, so it is recorded once.
    fn record(&mut self, now: Moment) -> Vec<Action> {
        let snapshot = self.snapshot.clone();
        let mut actions = Vec::new();
        for (id, resource, rollout) in Self::rollouts(&snapshot) {
            let Some(end) = self.end(now, &id, rollout) else {
                continue;
            };
            if self.is_turn(now, &id)
                && let Some(operation) = self.operation(now, &id, resource, rollout, end)
            {
                actions.push(Action::Submit(operation));
            }
        }
        actions
    }

    fn end(&self, now: Moment, id: &Id, rollout: &Rollout) -> Option<End> {
        let attempt = self.attempts.get(&id.name)?;
        if self.vetoes.contains_key(id) {
            let gone =
                self.hosts_of(&rollout.from) == 0 || !self.has_whole(&rollout.route, &rollout.to);
            let keeps = rollout.outcome.is_some() && gone;
            return (!keeps).then_some(End::RolledBack);
        }
        let endpoints = self.endpoints(rollout);
        let done = rollout.outcome.is_none() && attempt.all_done(now, &endpoints, &self.domain);
        done.then_some(End::Completed)
    }

    fn has_whole(&self, route: &Name, version: &Version) -> bool {
        let route = self.snapshot.get(Kind::Route, route);
        matches!(route.map(|held| &held.spec), Some(Spec::Route(route))
            if route.shares.get(version) == Some(&Permille::WHOLE))
    }

    fn is_turn(&mut self, now: Moment, id: &Id) -> bool {
        let since = *self.ready_since.entry(id.clone()).or_insert(now);
        let raised = self
            .vetoes
            .get(id)
            .is_some_and(|finding| finding.host == self.host);
        let rank = match self.attempts.get(&id.name) {
            Some(attempt) if !raised => attempt.rank(now, &self.domain),
            _ => 0,
        };
        let last = self.submitted_at.get(id).copied().unwrap_or_default();
        if now < since + RECORD * rank || now.since(last) < RECORD {
            return false;
        }
        self.submitted_at.insert(id.clone(), now);
        true
    }

    fn operation(
        &self,
        now: Moment,
        id: &Id,
        resource: &Resource,
        rollout: &Rollout,
        end: End,
    ) -> Option<Operation> {
        let route = self.snapshot.get(Kind::Route, &rollout.route)?;
        let Spec::Route(spec) = &route.spec else {
            return None;
        };
        let (whole, finding) = match end {
            End::Completed => (&rollout.to, None),
            End::RolledBack => (&rollout.from, self.vetoes.get(id).cloned()),
        };
        let attempt = self.attempts.get(&id.name)?;
        let outcome = Outcome {
            at: now,
            domains: attempt.reports(now, &self.domain, &self.known()),
            end,
            finding,
        };
        let mut shares = spec.clone();
        shares.shares = [(whole.clone(), Permille::WHOLE)].into();
        let mut ended = rollout.clone();
        ended.outcome = Some(Box::new(outcome));
        let put = |key: &Key, spec: Spec, revision: Revision| {
            (Change::Put(key.clone(), spec), Some(revision))
        };
        Some(Operation {
            changes: vec![
                put(&resource.key, Spec::Rollout(ended), resource.revision),
                put(&route.key, Spec::Route(shares), route.revision),
            ],
            id: format!("rollout-{:08x}-{}-{end}", id.tag().0, resource.revision),
        })
    }
}
