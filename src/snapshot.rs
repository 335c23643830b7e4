//! The accepted configuration at one revision, and the deltas that lead to a later one. A delta is
//! applied as a whole or not at all, and never leads to a lower revision. The digest of the result
//! shows that sender and receiver hold the same state. See docs/design.md.

use {
    crate::{
        resource::{Change, Key, Kind, Resource, Spec},
        types::{Name, Revision},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The wrapping sum of the hashes of all resources. Nodes compare it to find whether they hold the same
/// state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

/// The accepted configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The digest of `resources`.
    pub digest: Digest,
    /// All resources, by kind and name.
    pub resources: BTreeMap<Key, Resource>,
    /// The revision of this state.
    pub revision: Revision,
}

/// The changes that lead from one revision to a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The changes in ascending order, each with the revision that it belongs to.
    pub changes: Vec<(Revision, Change)>,
    /// The digest of the resulting state.
    pub digest: Digest,
    /// The revision that the delta starts from. The receiver may already hold a later one.
    pub from: Revision,
    /// The revision that the delta leads to.
    pub to: Revision,
}

/// The reason why a delta or a snapshot was refused. No part of it is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It leads to a revision that is not later than the one in force.
    #[error("leads to revision {offered}, but revision {held} is already in force")]
    Stale {
        /// The revision in force.
        held: Revision,
        /// The revision that was offered.
        offered: Revision,
    },
    /// The result would contain a reference to a resource that does not exist.
    #[error("the result contains a reference to a resource that does not exist")]
    DanglingReference,
    /// The digest of the result differs from the one that the sender states.
    #[error("the digest of the result differs from the digest that the sender states")]
    DigestMismatch,
    /// It starts from a revision later than the one in force, so changes in between are missing.
    #[error("starts from revision {from}, but revision {held} is in force")]
    Gap {
        /// The revision that the delta starts from.
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
    /// Returns the resource of this kind and name, or `None` if there is none.
    #[must_use]
    pub fn get(&self, kind: Kind, name: &Name) -> Option<&Resource> {
        self.resources.get(&Key {
            kind,
            name: name.clone(),
        })
    }

    /// Applies one change as part of `revision` and updates the digest. References are not checked.
    pub fn apply_change(&mut self, revision: Revision, change: &Change) {
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

    /// Returns the state after `delta`. Changes up to the present revision are skipped.
    ///
    /// # Errors
    /// Fails if the delta does not lead to a later revision, starts after the present one, results
    /// in another digest than the stated one or leaves a dangling reference.
    pub fn apply_delta(&self, delta: &Delta) -> Result<Self, Error> {
        let held = self.revision;
        if delta.to <= held {
            return Err(Error::Stale {
                held,
                offered: delta.to,
            });
        }
        if delta.from > held {
            return Err(Error::Gap {
                from: delta.from,
                held,
            });
        }
        let mut next = self.clone();
        let newer = delta
            .changes
            .iter()
            .filter(|(revision, _)| *revision > held);
        for (revision, change) in newer {
            next.apply_change(*revision, change);
        }
        next.revision = delta.to;
        if next.digest != delta.digest {
            return Err(Error::DigestMismatch);
        }
        if next.has_dangling_after(delta) {
            return Err(Error::DanglingReference);
        }
        Ok(next)
    }

    /// Returns whether a resource that `delta` put has a dangling reference, or one that it deleted
    /// is still referenced. Other resources are not checked, as they were valid before.
    fn has_dangling_after(&self, delta: &Delta) -> bool {
        let changed_keys = || delta.changes.iter().map(|(_, change)| change.key());
        let dangles = |resource: &Resource| {
            references(&resource.spec)
                .iter()
                .any(|(_, key)| !self.resources.contains_key(key))
        };
        if changed_keys().any(|key| !self.resources.contains_key(key)) {
            return self.resources.values().any(dangles);
        }
        changed_keys()
            .filter_map(|key| self.resources.get(key))
            .any(dangles)
    }

    /// Checks a state that was received from a peer or the platform.
    ///
    /// # Errors
    /// Fails if the digest of the resources is not `digest` or a reference dangles.
    pub fn verify(&self, digest: Digest) -> Result<(), Error> {
        let sum = self.resources.values().map(hash).fold(0, u64::wrapping_add);
        if sum != digest.0 || self.digest != digest {
            return Err(Error::DigestMismatch);
        }
        if self.dangling_references().next().is_some() {
            return Err(Error::DanglingReference);
        }
        Ok(())
    }

    /// Returns every dangling reference: the key of the resource, the field that holds the reference
    /// and the missing key.
    pub fn dangling_references(&self) -> impl Iterator<Item = (&Key, String, Key)> {
        self.resources.values().flat_map(|resource| {
            references(&resource.spec)
                .into_iter()
                .filter(|(_, key)| !self.resources.contains_key(key))
                .map(|(field, key)| (&resource.key, field, key))
        })
    }
}

/// Returns the references of a specification, each with the field that holds it.
#[must_use]
pub fn references(spec: &Spec) -> Vec<(String, Key)> {
    let version = |name: &crate::types::Version| Key {
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
