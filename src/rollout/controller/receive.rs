//! What a node makes of the messages of others: evidence goes up, stages come down, a veto goes everywhere.

use {
    super::{Action, Controller},
    crate::{
        rollout::message::{Batch, Message, Origin, Progress, Stage},
        rollout::outcome::Finding,
        rollout::{Id, Tag},
        world::{Host, Moment},
    },
};

impl Controller {
    pub(super) fn received(&mut self, now: Moment, host: &Host, message: Message) -> Vec<Action> {
        match message {
            Message::Evidence(batches) => self.evidence(now, host, batches),
            Message::Progress(origin, all) => self.progress(now, host, &origin, all),
            Message::Stages(stages) => self.staged(now, host, stages),
            Message::Veto(id, finding) => self.veto(Some(host), &id, &finding),
        }
    }

    /// Answers whoever still moves an attempt that is vetoed.
    fn correct(&self, host: &Host, attempt: Tag) -> Option<Action> {
        let (id, finding) = self.vetoes.iter().find(|(id, _)| id.tag() == attempt)?;
        let veto = Message::Veto(id.clone(), finding.clone());
        Some(Action::Send(host.clone(), veto))
    }

    fn evidence(&mut self, now: Moment, host: &Host, batches: Vec<Batch>) -> Vec<Action> {
        let domain = self.domain.clone();
        let mut actions = Vec::new();
        for batch in batches {
            actions.extend(self.correct(host, batch.attempt));
            let lent = self.role.siblings.contains(host);
            let begins = self.is_root() && now < self.listens_until;
            let Some(attempt) = self.by_tag(batch.attempt) else {
                continue;
            };
            let next = attempt.lender(now, &domain);
            if begins {
                attempt.adopt(now, batch.share);
            }
            if !lent {
                for row in batch.rows {
                    attempt.rows.add(row);
                }
            } else if let Some(next) = next.filter(|next| next != host) {
                actions.push(Action::Send(next, Message::Evidence(vec![batch])));
            } else {
                attempt.borrow(batch.rows);
            }
        }
        actions
    }

    fn progress(
        &mut self,
        now: Moment,
        host: &Host,
        origin: &Origin,
        all: Vec<Progress>,
    ) -> Vec<Action> {
        if origin.host == self.host {
            return Vec::new();
        }
        let mut actions = self.hand_on(host, origin, &all);
        for progress in all {
            actions.extend(self.correct(host, progress.attempt));
            let begins = self.is_root() && now < self.listens_until;
            if let Some(attempt) = self.by_tag(progress.attempt) {
                if begins {
                    attempt.adopt(now, progress.share);
                }
                attempt.hear(now, origin, host, progress);
            }
        }
        actions
    }

    /// Hands progress on between regions: what came from the own region to the others, and the other
    /// way round.
    fn hand_on(&self, from: &Host, origin: &Origin, all: &[Progress]) -> Vec<Action> {
        let is_own = |host: &Host| match self.endpoints.get(host) {
            Some(endpoint) => endpoint.region == self.region,
            None => true,
        };
        let inward = !is_own(from);
        self.role
            .siblings
            .iter()
            .filter(|host| *host != from && is_own(host) == inward)
            .map(|host| {
                let message = Message::Progress(origin.clone(), all.to_vec());
                Action::Send(host.clone(), message)
            })
            .collect()
    }

    fn staged(&mut self, now: Moment, host: &Host, stages: Vec<Stage>) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut news = Vec::new();
        for stage in stages {
            actions.extend(self.correct(host, stage.attempt));
            let from_parent = self.role.parent.as_ref() == Some(host);
            if let Some(attempt) = self.by_tag(stage.attempt)
                && from_parent
                && attempt.follow(now, &stage)
            {
                news.push(stage);
            }
        }
        if !news.is_empty() {
            actions.extend(self.below(&Message::Stages(news)));
        }
        actions
    }

    /// Takes a veto in for good and hands it on once.
    pub(super) fn veto(&mut self, from: Option<&Host>, id: &Id, finding: &Finding) -> Vec<Action> {
        if self.vetoes.contains_key(id) {
            return Vec::new();
        }
        self.vetoes.insert(id.clone(), finding.clone());
        self.stale = true;
        let neighbours = self.role.neighbours();
        neighbours
            .filter(|host| Some(*host) != from)
            .map(|host| Action::Send(host.clone(), Message::Veto(id.clone(), finding.clone())))
            .collect()
    }
}
