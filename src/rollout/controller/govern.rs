//! The duties of the root of a tree: it judges rollouts, sets their shares, announces them to its
//! children and the other roots, and records outcomes.

use {
    super::{
        Action, Controller, POOL_INTERVAL, PROGRESS_INTERVAL, RECORD_TIMEOUT, REPEAT_INTERVAL,
    },
    crate::{
        resource::{Change, Key, Kind, Resource, Rollout, Spec},
        rollout::AttemptId,
        rollout::attempt::Attempt,
        rollout::evidence::Side,
        rollout::message::{Batch, Message, Origin, Progress},
        rollout::outcome::{Cause, End, Finding, Outcome},
        source::Operation,
        types::{Host, Moment, Name, Permille, Revision, Version},
    },
    std::collections::BTreeMap,
};

impl Controller {
    /// Evaluates all rollouts once. While the root only listens, vetoes may be raised, but no share is
    /// raised and no outcome is recorded.
    pub(super) fn evaluate(&mut self, now: Moment) -> Vec<Action> {
        let listening = now < self.listens_until;
        let mut actions = Vec::new();
        let mut share_changed = false;
        let names: Vec<Name> = self.attempts.keys().cloned().collect();
        for name in names {
            let (veto, changed) = self.evaluate_attempt(now, &name, listening);
            share_changed |= changed;
            if let Some((id, finding)) = veto {
                actions.extend(self.apply_veto(None, &id, &finding));
            }
        }
        actions.extend(self.announce(now, share_changed));
        if !listening {
            actions.extend(self.record_ends(now));
        }
        actions
    }

    fn evaluate_attempt(
        &mut self,
        now: Moment,
        name: &Name,
        listening: bool,
    ) -> (Option<(AttemptId, Finding)>, bool) {
        let Some(attempt) = self.attempts.get_mut(name) else {
            return (None, false);
        };
        let host_domains = &self.host_domains;
        attempt.judge(now, &self.domain, |host| host_domains.get(&host).copied());
        let attempt = &self.attempts[name];
        if self.vetoes.contains_key(&attempt.id) {
            return (None, false);
        }
        let endpoints = self.endpoints(&attempt.spec);
        let mut cause = attempt.verdict(now, endpoints.candidate_hosts);
        let before = attempt.share();
        let mut changed = false;
        if cause.is_none()
            && !listening
            && let Some(attempt) = self.attempts.get_mut(name)
        {
            cause = attempt.update_share(now, &endpoints);
            changed = attempt.share() != before;
        }
        let attempt = &self.attempts[name];
        let veto = cause.map(|cause| (attempt.id.clone(), self.finding(now, attempt, cause)));
        (veto, changed)
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

    /// Announces stages to the children and progress to the other roots: changes as they occur,
    /// everything once per [`REPEAT_INTERVAL`].
    fn announce(&mut self, now: Moment, share_changed: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        let repeat = now.since(self.repeated_at) >= REPEAT_INTERVAL;
        if repeat {
            self.repeated_at = now;
        }
        if share_changed || repeat {
            actions.extend(self.send_stages(now));
        }
        if now.since(self.progress_sent_at) < PROGRESS_INTERVAL {
            return actions;
        }
        self.progress_sent_at = now;
        if now.since(self.pooled_at) >= POOL_INTERVAL {
            self.pooled_at = now;
            actions.extend(self.send_pool_evidence(now));
        }
        let progress: Vec<Progress> = self
            .attempts
            .values_mut()
            .filter_map(|attempt| attempt.due_progress(now, REPEAT_INTERVAL))
            .collect();
        if !progress.is_empty() {
            let origin = Origin {
                domain: self.domain.clone(),
                host: self.host.clone(),
                region: self.region.clone(),
            };
            let message = Message::Progress(origin, progress);
            let siblings = self.position.siblings.iter();
            actions.extend(siblings.map(|host| Action::Send(host.clone(), message.clone())));
        }
        actions
    }

    fn send_pool_evidence(&mut self, now: Moment) -> Vec<Action> {
        let mut batches_by_host: BTreeMap<Host, Vec<Batch>> = BTreeMap::new();
        for attempt in self.attempts.values_mut() {
            let rows = attempt.take_pool_rows();
            let Some(host) = attempt.pool_next_hop(now, &self.domain) else {
                attempt.add_to_pool(rows);
                continue;
            };
            if !rows.is_empty() {
                let batch = Batch {
                    attempt: attempt.id.tag(),
                    rows,
                    share: attempt.share(),
                };
                batches_by_host.entry(host).or_default().push(batch);
            }
        }
        batches_by_host
            .into_iter()
            .map(|(host, batches)| Action::Send(host, Message::Evidence(batches)))
            .collect()
    }

    /// Submits the outcomes that are due to the platform's table. All nodes use the same operation id and
    /// write only if the revision is unchanged, so each outcome is recorded once.
    fn record_ends(&mut self, now: Moment) -> Vec<Action> {
        let snapshot = self.snapshot.clone();
        let mut actions = Vec::new();
        for (id, resource, rollout) in Self::rollouts(&snapshot) {
            let Some(end) = self.due_end(now, &id, rollout) else {
                continue;
            };
            if self.is_turn_to_record(now, &id)
                && let Some(operation) = self.end_operation(now, &id, resource, rollout, end)
            {
                actions.push(Action::Submit(operation));
            }
        }
        actions
    }

    fn due_end(&self, now: Moment, id: &AttemptId, rollout: &Rollout) -> Option<End> {
        let attempt = self.attempts.get(&id.name)?;
        if self.vetoes.contains_key(id) {
            let cannot_roll_back = self.host_count(&rollout.from) == 0
                || !self.has_all_traffic(&rollout.route, &rollout.to);
            let keeps_outcome = rollout.outcome.is_some() && cannot_roll_back;
            return (!keeps_outcome).then_some(End::RolledBack);
        }
        let endpoints = self.endpoints(rollout);
        let done = rollout.outcome.is_none()
            && attempt.are_all_domains_done(now, &endpoints, &self.domain);
        done.then_some(End::Completed)
    }

    fn has_all_traffic(&self, route: &Name, version: &Version) -> bool {
        let route = self.snapshot.get(Kind::Route, route);
        matches!(route.map(|held| &held.spec), Some(Spec::Route(route))
            if route.shares.get(version) == Some(&Permille::WHOLE))
    }

    fn is_turn_to_record(&mut self, now: Moment, id: &AttemptId) -> bool {
        let due_since = *self.end_due_since.entry(id.clone()).or_insert(now);
        let raised_here = self
            .vetoes
            .get(id)
            .is_some_and(|finding| finding.host == self.host);
        let rank = match self.attempts.get(&id.name) {
            Some(attempt) if !raised_here => attempt.recording_rank(now, &self.domain),
            _ => 0,
        };
        let last_submitted = self.submitted_at.get(id).copied().unwrap_or_default();
        if now < due_since + RECORD_TIMEOUT * rank || now.since(last_submitted) < RECORD_TIMEOUT {
            return false;
        }
        self.submitted_at.insert(id.clone(), now);
        true
    }

    fn end_operation(
        &self,
        now: Moment,
        id: &AttemptId,
        resource: &Resource,
        rollout: &Rollout,
        end: End,
    ) -> Option<Operation> {
        let route = self.snapshot.get(Kind::Route, &rollout.route)?;
        let Spec::Route(spec) = &route.spec else {
            return None;
        };
        let (version, finding) = match end {
            End::Completed => (&rollout.to, None),
            End::RolledBack => (&rollout.from, self.vetoes.get(id).cloned()),
        };
        let attempt = self.attempts.get(&id.name)?;
        let outcome = Outcome {
            at: now,
            domains: attempt.reports(now, &self.domain, &self.known_domains()),
            end,
            finding,
        };
        let mut shares = spec.clone();
        shares.shares = [(version.clone(), Permille::WHOLE)].into();
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
