//! The whole accepted configuration at one revision, and the deltas between revisions. A delta is
//! applied whole or not at all, and never leads to a lower revision. See docs/design.md.

use {
    crate::{
        resource::{Change, Key, Kind, Resource, Spec},
        world::{Name, Revision},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The sum of the hashes of all resources, which tells whether two nodes hold the same state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

/// The accepted configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The sum of the resources' hashes.
    pub digest: Digest,
    /// Every resource.
    pub resources: BTreeMap<Key, Resource>,
    /// The revision of this state.
    pub revision: Revision,
}

/// The step from one revision to another one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// What changes, in order.
    pub changes: Vec<(Revision, Change)>,
    /// The digest of the state that results.
    pub digest: Digest,
    /// The revision it starts from.
    pub from: Revision,
    /// The revision it leads to.
    pub to: Revision,
}

/// Says why a delta or a snapshot was not taken; nothing of it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// It leads no further than the revision that is in force.
    #[error("leads to revision {offered}, and {held} is in force")]
    Backwards {
        /// The revision in force.
        held: Revision,
        /// The revision that was offered.
        offered: Revision,
    },
    /// It refers to something that the result would not have.
    #[error("a reference of the result leads nowhere")]
    Dangling,
    /// The result has another digest than its sender's.
    #[error("the digest of the result differs from its sender's")]
    Digest,
    /// It starts from a revision later than the one in force.
    #[error("starts from revision {from}, and {held} is in force")]
    Gap {
        /// Where it starts.
        from: Revision,
        /// The revision in force.
        held: Revision,
    },
}

fn hash(resource: &Resource) -> u64 {
    let bytes = postcard::to_stdvec(resource).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

impl Snapshot {
    /// Looks a resource up.
    #[must_use]
    pub fn get(&self, kind: Kind, name: &Name) -> Option<&Resource> {
        self.resources.get(&Key {
            kind,
            name: name.clone(),
        })
    }

    /// Makes one change as part of `revision`.
    pub fn change(&mut self, revision: Revision, change: &Change) {
        let added = match change {
            Change::Delete(_) => None,
            Change::Put(key, spec) => Some(Resource {
                key: key.clone(),
                revision,
                spec: spec.clone(),
            }),
        };
        let removed = self.resources.remove(change.key());
        if let Some(resource) = &removed {
            self.digest.0 = self.digest.0.wrapping_sub(hash(resource));
        }
        if let Some(resource) = added {
            self.digest.0 = self.digest.0.wrapping_add(hash(&resource));
            self.resources.insert(resource.key.clone(), resource);
        }
    }

    /// Gives the state after `delta`, or says why it can't be taken.
    ///
    /// # Errors
    /// Refuses what leads backwards, leaves a gap, dangles or has another digest.
    pub fn apply(&self, delta: &Delta) -> Result<Self, Refusal> {
        let held = self.revision;
        if delta.to <= held {
            return Err(Refusal::Backwards {
                held,
                offered: delta.to,
            });
        }
        if delta.from > held {
            return Err(Refusal::Gap {
                from: delta.from,
                held,
            });
        }
        let mut next = self.clone();
        let fresh = delta
            .changes
            .iter()
            .filter(|(revision, _)| *revision > held);
        for (revision, change) in fresh {
            next.change(*revision, change);
        }
        next.revision = delta.to;
        if next.digest != delta.digest {
            return Err(Refusal::Digest);
        }
        if next.dangles_after(delta) {
            return Err(Refusal::Dangling);
        }
        Ok(next)
    }

    /// Says whether what a delta put refers to nothing, or what it deleted is referred to. The rest
    /// was sound before.
    fn dangles_after(&self, delta: &Delta) -> bool {
        let changed = || delta.changes.iter().map(|(_, change)| change.key());
        let missing = |resource: &Resource| {
            references(&resource.spec)
                .iter()
                .any(|(_, key)| !self.resources.contains_key(key))
        };
        if changed().any(|key| !self.resources.contains_key(key)) {
            return self.resources.values().any(missing);
        }
        changed()
            .filter_map(|key| self.resources.get(key))
            .any(missing)
    }

    /// Checks a state that came from elsewhere.
    ///
    /// # Errors
    /// Refuses a state whose digest is not `digest` or whose references dangle.
    pub fn verify(&self, digest: Digest) -> Result<(), Refusal> {
        let sum = self.resources.values().map(hash).fold(0, u64::wrapping_add);
        if sum != digest.0 || self.digest != digest {
            return Err(Refusal::Digest);
        }
        if self.dangling().next().is_some() {
            return Err(Refusal::Dangling);
        }
        Ok(())
    }

    /// Lists every reference that leads nowhere, with the field that makes it.
    pub fn dangling(&self) -> impl Iterator<Item = (&Key, String, Key)> {
        self.resources.values().flat_map(|resource| {
            references(&resource.spec)
                .into_iter()
                .filter(|(_, key)| !self.resources.contains_key(key))
                .map(|(field, key)| (&resource.key, field, key))
        })
    }
}

/// Lists what a specification refers to, with the field that does.
#[must_use]
pub fn references(spec: &Spec) -> Vec<(String, Key)> {
    let version = |name: &crate::world::Version| Key {
        kind: Kind::Version,
        name: name.clone().into(),
    };
    match spec {
        Spec::Limits(_) | Spec::Version(_) => Vec::new(),
        Spec::Rollout(rollout) => vec![
            ("spec.from".into(), version(&rollout.from)),
            ("spec.to".into(), version(&rollout.to)),
            (
                "spec.route".into(),
                Key {
                    kind: Kind::Route,
                    name: rollout.route.clone(),
                },
            ),
        ],
        Spec::Route(route) => route
            .shares
            .keys()
            .map(|name| (format!("spec.shares.{name}"), version(name)))
            .collect(),
    }
}
