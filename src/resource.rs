//! Declared resources: what operators write and every node runs. See docs/api.md.

use {
    crate::{
        rollout::outcome::Outcome,
        world::{Moment, Name, Permille, Revision, Service, Version},
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
    /// Limits of one service; its name is the service's.
    Limits,
    /// A move of a route's traffic between versions.
    Rollout,
    /// Which versions of a service take which share of its traffic.
    Route,
    /// A version of a service; its name is what upstreams announce.
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

/// Names one resource.
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

/// A resource as it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// The kind and name.
    pub key: Key,
    /// The revision that last changed this resource.
    pub revision: Revision,
    /// What the operator declared.
    pub spec: Spec,
}

/// What an operator declares, by kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spec {
    /// Limits of a service.
    Limits(Limits),
    /// A move between versions.
    Rollout(Rollout),
    /// A route.
    Route(Route),
    /// A version.
    Version(VersionSpec),
}

impl Spec {
    /// The kind that this specification belongs to.
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

/// Bounds on the work that one service takes. Absent values take the defaults of docs/api.md.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The longest body of a request, in bytes.
    pub body_bytes: Option<u64>,
    /// The most requests that wait at the node of one upstream.
    pub queue: Option<u32>,
    /// The longest that a request may take, in milliseconds.
    pub timeout_ms: Option<u64>,
}

/// A move of one route's traffic from a version to another one by a deadline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// When the move has to be finished.
    pub deadline: Moment,
    /// The version that has the traffic now.
    pub from: Version,
    /// How it ended; recorded by the mesh, never by operators.
    #[serde(default)]
    pub outcome: Option<Box<Outcome>>,
    /// What to favour where timely completion and safety pull apart.
    #[serde(default)]
    pub preference: Preference,
    /// The route whose traffic moves.
    pub route: Name,
    /// When it was accepted; set by the mesh. Sets this attempt apart from earlier ones of its name.
    #[serde(default)]
    pub started: Moment,
    /// The version that takes the traffic over.
    pub to: Version,
}

impl Rollout {
    /// Gives what an operator declares, without what the mesh records.
    #[must_use]
    pub fn declared(self) -> Self {
        Self {
            outcome: None,
            started: Moment::default(),
            ..self
        }
    }

    /// Gives in JSON what an operator declared.
    ///
    /// # Errors
    /// Fails if it can't be encoded, which its types rule out.
    pub fn show(&self) -> serde_json::Result<serde_json::Value> {
        let mut value = serde_json::to_value(self)?;
        if let Some(fields) = value.as_object_mut() {
            fields.remove("outcome");
            fields.remove("started");
        }
        Ok(value)
    }
}

/// What a rollout favours where evidence is scarce. See docs/design/rollouts.md.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Preference {
    /// Completes at the deadline unless there is evidence against the version.
    #[default]
    Completion,
    /// Takes the version back at the deadline unless there is evidence for it.
    Rollback,
}

/// Sends requests for a service, below a path, to versions by share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The prefix of the paths that this route serves.
    #[serde(default = "root")]
    pub path: String,
    /// The service that callers ask for.
    pub service: Service,
    /// The share of each version, in thousandths; they add up to 1000.
    pub shares: BTreeMap<Version, Permille>,
}

fn root() -> String {
    "/".into()
}

/// Declares that a version of a service exists.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// The service that this is a version of.
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
    /// The resource that is changed.
    #[must_use]
    pub fn key(&self) -> &Key {
        match self {
            Self::Delete(key) | Self::Put(key, _) => key,
        }
    }
}
