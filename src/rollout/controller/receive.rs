//! Handles messages from other nodes: evidence flows up the tree, stages flow down, and a veto is
//! forwarded to all neighbours.

use {
    super::{Action, Controller},
    crate::{
        rollout::message::{Batch, Message, Origin, Progress, Stage},
        rollout::outcome::Finding,
        rollout::{AttemptId, Tag},
        types::{Host, Moment},
    },
};

impl Controller {
    pub(super) fn handle_message(
        &mut self,
        now: Moment,
        host: &Host,
        message: Message,
    ) -> Vec<Action> {
        match message {
            Message::Evidence(batches) => self.handle_evidence(now, host, batches),
            Message::Progress(origin, updates) => self.handle_progress(now, host, &origin, updates),
            Message::Stages(stages) => self.handle_stages(now, host, stages),
            Message::Veto(id, finding) => self.apply_veto(Some(host), &id, &finding),
        }
    }

    /// Returns the veto to send to a host that still reports a vetoed attempt.
    fn veto_for(&self, host: &Host, attempt: Tag) -> Option<Action> {
        let (id, finding) = self.vetoes.iter().find(|(id, _)| id.tag() == attempt)?;
        let veto = Message::Veto(id.clone(), finding.clone());
        Some(Action::Send(host.clone(), veto))
    }

    fn handle_evidence(&mut self, now: Moment, host: &Host, batches: Vec<Batch>) -> Vec<Action> {
        let domain = self.domain.clone();
        let mut actions = Vec::new();
        for batch in batches {
            actions.extend(self.veto_for(host, batch.attempt));
            let from_sibling = self.position.siblings.contains(host);
            let is_new_root = self.is_root() && now < self.listens_until;
            let Some(attempt) = self.attempt_by_tag(batch.attempt) else {
                continue;
            };
            let pool_host = attempt.pool_next_hop(now, &domain);
            if is_new_root {
                attempt.raise_share(now, batch.share);
            }
            if !from_sibling {
                for row in batch.rows {
                    attempt.rows.add(row);
                }
            } else if let Some(pool_host) = pool_host.filter(|pool_host| pool_host != host) {
                actions.push(Action::Send(pool_host, Message::Evidence(vec![batch])));
            } else {
                attempt.add_to_pool(batch.rows);
            }
        }
        actions
    }

    fn handle_progress(
        &mut self,
        now: Moment,
        host: &Host,
        origin: &Origin,
        updates: Vec<Progress>,
    ) -> Vec<Action> {
        if origin.host == self.host {
            return Vec::new();
        }
        let mut actions = self.forward_progress(host, origin, &updates);
        for progress in updates {
            actions.extend(self.veto_for(host, progress.attempt));
            let is_new_root = self.is_root() && now < self.listens_until;
            if let Some(attempt) = self.attempt_by_tag(progress.attempt) {
                if is_new_root {
                    attempt.raise_share(now, progress.share);
                }
                attempt.record_remote(now, origin, host, progress);
            }
        }
        actions
    }

    /// Forwards progress between regions: from the own region to the others, and from another region to
    /// the own one. Hosts whose region is unknown count as in the own region.
    fn forward_progress(&self, from: &Host, origin: &Origin, updates: &[Progress]) -> Vec<Action> {
        let in_own_region = |host: &Host| match self.endpoints.get(host) {
            Some(endpoint) => endpoint.region == self.region,
            None => true,
        };
        let from_other_region = !in_own_region(from);
        self.position
            .siblings
            .iter()
            .filter(|host| *host != from && in_own_region(host) == from_other_region)
            .map(|host| {
                let message = Message::Progress(origin.clone(), updates.to_vec());
                Action::Send(host.clone(), message)
            })
            .collect()
    }

    fn handle_stages(&mut self, now: Moment, host: &Host, stages: Vec<Stage>) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut new_stages = Vec::new();
        for stage in stages {
            actions.extend(self.veto_for(host, stage.attempt));
            let from_parent = self.position.parent.as_ref() == Some(host);
            if let Some(attempt) = self.attempt_by_tag(stage.attempt)
                && from_parent
                && attempt.apply_stage(now, &stage)
            {
                new_stages.push(stage);
            }
        }
        if !new_stages.is_empty() {
            actions.extend(self.send_to_children(&Message::Stages(new_stages)));
        }
        actions
    }

    /// Records a veto and forwards it to all neighbours but the sender; ignores a known veto.
    pub(super) fn apply_veto(
        &mut self,
        from: Option<&Host>,
        id: &AttemptId,
        finding: &Finding,
    ) -> Vec<Action> {
        if self.vetoes.contains_key(id) {
            return Vec::new();
        }
        self.vetoes.insert(id.clone(), finding.clone());
        self.stale = true;
        let neighbours = self.position.neighbours();
        neighbours
            .filter(|host| Some(*host) != from)
            .map(|host| Action::Send(host.clone(), Message::Veto(id.clone(), finding.clone())))
            .collect()
    }
}
