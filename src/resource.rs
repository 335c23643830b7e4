//! The resources that operators declare and that every node applies. See docs/api.md.

use {
    crate::{
        rollout::outcome::Outcome,
        types::{Moment, Name, Permille, Revision, Service, Version},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        str::FromStr,
    },
};

/// The kinds of resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Limits of one service. The name of the resource is the name of the service.
    Limits,
    /// A timed move of a route's traffic from one version to another.
    Rollout,
    /// The shares of a service's traffic that its versions get.
    Route,
    /// A version of a service. The name of the resource is the version that upstreams announce.
    Version,
}

impl Kind {
    /// Every kind, in order.
    pub const ALL: [Self; 4] = [Self::Limits, Self::Rollout, Self::Route, Self::Version];
}

impl Display for Kind {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Limits => "limits",
            Self::Rollout => "rollout",
            Self::Route => "route",
            Self::Version => "version",
        })
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.to_string() == text)
            .ok_or_else(|| format!("unknown kind `{text}`: one of limits, rollout, route, version"))
    }
}

/// The identity of a resource: its kind and name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The kind of the resource.
    pub kind: Kind,
    /// The name, unique within the kind.
    pub name: Name,
}

impl Display for Key {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// An accepted resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// The kind and name of the resource.
    pub key: Key,
    /// The revision that last changed this resource.
    pub revision: Revision,
    /// The specification that the operator declared.
    pub spec: Spec,
}

/// The specification of a resource, by kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spec {
    /// The limits of a service.
    Limits(Limits),
    /// A rollout of a version.
    Rollout(Rollout),
    /// A route of a service.
    Route(Route),
    /// A version of a service.
    Version(VersionSpec),
}

impl Spec {
    /// Returns the kind that this specification belongs to.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Limits(_) => Kind::Limits,
            Self::Rollout(_) => Kind::Rollout,
            Self::Route(_) => Kind::Route,
            Self::Version(_) => Kind::Version,
        }
    }
}

/// Limits on the requests to one service. Absent values have the defaults given in docs/api.md.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The maximum length of a request body, in bytes.
    pub body_bytes: Option<u64>,
    /// The maximum number of requests that wait at the node of one upstream.
    pub queue: Option<u32>,
    /// The time limit of a request, in milliseconds.
    pub timeout_ms: Option<u64>,
}

/// A move of one route's traffic from one version to another by a deadline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The time by which the rollout has to be finished.
    pub deadline: Moment,
    /// The version that has the traffic at the start.
    pub from: Version,
    /// How the rollout ended. It is recorded by the mesh, never by operators.
    #[serde(default)]
    pub outcome: Option<Box<Outcome>>,
    /// Whether completion or rollback is preferred at the deadline if there is little evidence.
    #[serde(default)]
    pub preference: Preference,
    /// The route whose traffic moves.
    pub route: Name,
    /// When the rollout was accepted. It is set by the mesh, and distinguishes this attempt from
    /// earlier ones of the same name.
    #[serde(default)]
    pub started: Moment,
    /// The version that the traffic moves to.
    pub to: Version,
}

impl Rollout {
    /// Returns the rollout as an operator declares it, without the fields that the mesh records.
    #[must_use]
    pub fn into_declared(self) -> Self {
        Self {
            outcome: None,
            started: Moment::default(),
            ..self
        }
    }

    /// Returns the rollout in JSON without the fields that the mesh records.
    ///
    /// # Errors
    /// Fails if the rollout cannot be encoded, which its types rule out.
    pub fn to_declared_json(&self) -> serde_json::Result<serde_json::Value> {
        let mut value = serde_json::to_value(self)?;
        if let Some(fields) = value.as_object_mut() {
            fields.remove("outcome");
            fields.remove("started");
        }
        Ok(value)
    }
}

/// What a rollout does at its deadline if there is little evidence. See docs/design/rollouts.md.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Preference {
    /// Completes at the deadline unless there is evidence against the new version.
    #[default]
    Completion,
    /// Rolls back at the deadline unless there is evidence for the new version.
    Rollback,
}

/// A route, which distributes the requests for a service below a path over versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path prefix that requests have to match.
    #[serde(default = "root")]
    pub path: String,
    /// The service that callers address.
    pub service: Service,
    /// The share of each version, in thousandths. The shares add up to 1000.
    pub shares: BTreeMap<Version, Permille>,
}

fn root() -> String {
    "/".into()
}

/// The declaration of a version of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// The service that the version belongs to.
    pub service: Service,
}

/// One change to the accepted state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Removes a resource.
    Delete(Key),
    /// Creates or replaces a resource.
    Put(Key, Spec),
}

impl Change {
    /// Returns the key of the changed resource.
    #[must_use]
    pub fn key(&self) -> &Key {
        match self {
            Self::Delete(key) | Self::Put(key, _) => key,
        }
    }
}
